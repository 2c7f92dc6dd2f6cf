#include "policy/retry_allowance.hpp"

#include <algorithm>

namespace poplarroute::policy
{

void retry_allowance::set_bound(
    retry_bound bound, std::int64_t hosts, double part)
{
    bound_ = bound;
    hosts_ = std::max<std::int64_t>(hosts, 1);
    share_ = part;
}

void retry_allowance::forget(core::time_point now)
{
    const core::time_point since = now - bound_.window_;
    while (!requests_.empty() && requests_.front() < since)
    {
        requests_.pop_front();
    }
    while (!sends_.empty() && sends_.front() < since)
    {
        sends_.pop_front();
    }
}

void retry_allowance::request(core::time_point now)
{
    forget(now);
    requests_.push_back(now);
}

bool retry_allowance::take(std::int64_t sends, core::time_point now)
{
    forget(now);
    const double most =
        share_ *
        (bound_.ratio_ * static_cast<double>(requests_.size()) +
         static_cast<double>(bound_.slack_) / static_cast<double>(hosts_));
    if (static_cast<double>(sends_.size()) + static_cast<double>(sends) > most)
    {
        return false;
    }
    sends_.insert(sends_.end(), static_cast<std::size_t>(sends), now);
    return true;
}

} // namespace poplarroute::policy
