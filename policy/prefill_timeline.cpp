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
    core::duration span,
    core::time_point now)
{
    const core::duration all = backlog(endpoint, false, now);
    const core::duration urgent = backlog(endpoint, true, now);
    busy_until_[endpoint] = now + all + span;
    if (interactive)
    {
        interactive_until_[endpoint] = now + urgent + span;
    }
}

} // namespace poplarroute::policy
