#include "policy/prefill_timeline.hpp"

namespace poplarroute::policy
{

core::duration prefill_timeline::backlog(
    const core::endpoint_id& endpoint,
    bool interactive,
    core::time_point now) const
{
    const auto& until = interactive ? interactive_until_ : busy_until_;
    const auto found = until.find(endpoint);
    if (found == until.end() || found->second < now)
    {
        return {0};
    }
    return found->second - now;
}

void prefill_timeline::add(
    const core::endpoint_id& endpoint,
    bool interactive,
    core::duration compute_time,
    core::time_point now)
{
    const core::duration total_backlog = backlog(endpoint, false, now);
    const core::duration interactive_backlog = backlog(endpoint, true, now);
    busy_until_[endpoint] = now + total_backlog + compute_time;
    if (interactive)
    {
        interactive_until_[endpoint] = now + interactive_backlog + compute_time;
    }
}

} // namespace poplarroute::policy
