#include "policy/ejection_record.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Ejection time after the first failure; it doubles up to a maximum.
constexpr core::duration min_ejection_time{500};
constexpr core::duration max_ejection_time{8'000};

/// Number of hosts whose calls must fail before an endpoint is ejected for all
/// hosts: a single one may have lost its own network connection.
constexpr int hosts_to_eject_for_all = 2;

} // namespace

void ejection_record::ejection::extend(core::time_point now)
{
    if (now < until_)
    {
        return;
    }
    length_ = length_.ms_ == 0 ? min_ejection_time
                               : std::min(length_ * 2, max_ejection_time);
    since_ = now;
    until_ = now + length_;
}

void ejection_record::record_failure(
    const core::host_id& host, core::time_point now)
{
    std::erase_if(
        by_host_,
        [now](const auto& item)
        {
            return now - item.second.until_ > max_ejection_time;
        });
    by_host_[host].extend(now);
}

void ejection_record::record_success(
    const core::host_id& host, core::time_point now)
{
    by_host_.erase(host);
    succeeded_at_ = now;
    for_all_ = {};
}

void ejection_record::eject_for_all(core::time_point now)
{
    for_all_.extend(now);
}

void ejection_record::eject_for_all(core::time_point now, core::duration time)
{
    for_all_.since_ = now;
    for_all_.until_ = std::max(for_all_.until_, now + time);
}

bool ejection_record::is_ejected_for(
    const core::host_id& host, core::time_point now) const
{
    if (now < for_all_.until_)
    {
        return true;
    }
    int failing_hosts = 0;
    for (const auto& [name, item] : by_host_)
    {
        if (now >= item.until_)
        {
            continue;
        }
        if (name == host)
        {
            return true;
        }
        failing_hosts += item.since_ > succeeded_at_ ? 1 : 0;
    }
    return failing_hosts >= hosts_to_eject_for_all;
}

} // namespace poplarroute::policy
