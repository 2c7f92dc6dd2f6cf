#include "policy/ejection_record.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Ejection time after the first failure, doubled up to a maximum.
constexpr core::duration first_out{500};
constexpr core::duration longest_out{8'000};

/// Hosts that must agree before an endpoint is left out for all: one of them
/// may have lost its own link.
constexpr int hosts_to_agree = 2;

} // namespace

void ejection_record::ejection::extend(core::time_point now)
{
    if (now < until_)
    {
        return;
    }
    for_ = for_.ms_ == 0 ? first_out : std::min(for_ * 2, longest_out);
    since_ = now;
    until_ = now + for_;
}

void ejection_record::failed(const core::host_id& host, core::time_point now)
{
    std::erase_if(
        by_host_,
        [now](const auto& item)
        {
            return now - item.second.until_ > longest_out;
        });
    by_host_[host].extend(now);
}

void ejection_record::record_success(
    const core::host_id& host, core::time_point now)
{
    by_host_.erase(host);
    worked_at_ = now;
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
    int agreeing = 0;
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
        agreeing += item.since_ > worked_at_ ? 1 : 0;
    }
    return agreeing >= hosts_to_agree;
}

} // namespace poplarroute::policy
