#include "policy/retry_allowance.hpp"

#include <algorithm>

namespace poplarroute::policy
{

void retry_allowance::set_bound(
    retry_bound bound, std::optional<std::int64_t> hosts, double share)
{
    bound_ = bound;
    hosts_ = hosts;
    share_ = share;
}

void retry_allowance::expire_old(core::time_point now)
{
    const core::time_point since = now - bound_.window_;
    while (!requests_.empty() && requests_.front() < since)
    {
        requests_.pop_front();
    }
    while (!retries_.empty() && retries_.front() < since)
    {
        retries_.pop_front();
    }
}

void retry_allowance::request(core::time_point now)
{
    expire_old(now);
    requests_.push_back(now);
}

/// \return this process's part of the slack, as far as it has accrued.
double retry_allowance::own_slack(core::time_point now) const
{
    if (!hosts_)
    {
        return 0;
    }
    double accrued = 1;
    if (accrues_from_ && bound_.window_.ms_ > 0)
    {
        accrued = std::clamp(
            static_cast<double>((now - *accrues_from_).ms_) /
                static_cast<double>(bound_.window_.ms_),
            0.0,
            1.0);
    }
    return accrued * static_cast<double>(bound_.slack_) /
           static_cast<double>(std::max<std::int64_t>(*hosts_, 1));
}

bool retry_allowance::take(std::int64_t retries, core::time_point now)
{
    expire_old(now);
    const double max_retries =
        share_ * (bound_.ratio_ * static_cast<double>(requests_.size()) +
                  own_slack(now));
    if (static_cast<double>(retries_.size()) + static_cast<double>(retries) >
        max_retries)
    {
        return false;
    }
    retries_.insert(retries_.end(), static_cast<std::size_t>(retries), now);
    return true;
}

} // namespace poplarroute::policy
