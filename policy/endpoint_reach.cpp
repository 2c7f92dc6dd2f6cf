#include "policy/endpoint_reach.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// How long a failure to connect counts. Probes renew it.
constexpr core::duration failure_validity{2'500};

/// A service is not lost while an endpoint was reached within this time.
constexpr core::duration reached_validity{700};

/// How long endpoints are probed after a connection broke.
constexpr core::duration doubt_duration{1'500};

/// Number of endpoints that stand for all of a service.
constexpr std::size_t sample_size = 5;

} // namespace

void endpoint_reach::record_reached(
    const core::endpoint_id& name, core::time_point now)
{
    endpoints_[name].reached_at_ = now;
}

void endpoint_reach::record_unreached(
    const core::endpoint_id& name, core::time_point now)
{
    endpoints_[name].unreached_at_ = now;
}

void endpoint_reach::record_doubt(core::time_point now)
{
    doubted_at_ = now;
}

std::set<core::endpoint_id> endpoint_reach::unreached(
    core::time_point now) const
{
    std::set<core::endpoint_id> out;
    for (const auto& [name, item] : endpoints_)
    {
        if (item.is_unreached() && now - item.unreached_at_ < failure_validity)
        {
            out.insert(name);
        }
    }
    return out;
}

bool endpoint_reach::is_lost(
    const std::set<core::endpoint_id>& listed, core::time_point now) const
{
    std::size_t failed = 0;
    for (const core::endpoint_id& name : listed)
    {
        const auto found = endpoints_.find(name);
        if (found == endpoints_.end())
        {
            continue;
        }
        const state& item = found->second;
        if (!item.is_unreached() && item.reached_at_.ms_ != 0 &&
            now - item.reached_at_ < reached_validity)
        {
            return false;
        }
        failed +=
            item.is_unreached() && now - item.unreached_at_ < failure_validity
                ? 1
                : 0;
    }
    return !listed.empty() && failed >= std::min(listed.size(), sample_size);
}

bool endpoint_reach::needs_probes(core::time_point now) const
{
    const bool is_doubted =
        doubted_at_.ms_ != 0 && now - doubted_at_ < doubt_duration;
    return is_doubted || !unreached(now).empty();
}

std::vector<core::endpoint_id> endpoint_reach::choose_probes(
    const std::set<core::endpoint_id>& listed, core::time_point now)
{
    std::vector<core::endpoint_id> out(listed.begin(), listed.end());
    std::shuffle(out.begin(), out.end(), random_);
    const auto known_at = [this](const core::endpoint_id& name)
    {
        const auto found = endpoints_.find(name);
        return found == endpoints_.end() ? core::time_point()
                                         : std::max(
                                               found->second.reached_at_,
                                               found->second.unreached_at_);
    };
    std::stable_sort(
        out.begin(),
        out.end(),
        [&](const core::endpoint_id& left, const core::endpoint_id& right)
        {
            return known_at(left) < known_at(right);
        });
    std::erase_if(
        out,
        [&](const core::endpoint_id& name)
        {
            const auto found = endpoints_.find(name);
            return found != endpoints_.end() && !found->second.is_unreached() &&
                   found->second.reached_at_.ms_ != 0 &&
                   now - found->second.reached_at_ < reached_validity;
        });
    out.resize(std::min(out.size(), sample_size));
    return out;
}

void endpoint_reach::keep_only(const std::set<core::endpoint_id>& listed)
{
    std::erase_if(
        endpoints_,
        [&](const auto& item)
        {
            return listed.count(item.first) == 0;
        });
}

} // namespace poplarroute::policy
