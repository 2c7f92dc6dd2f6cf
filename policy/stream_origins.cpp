#include "policy/stream_origins.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::policy
{

bool stream_origins::record(const known_origin& item, core::time_point now)
{
    if (item.attempt_.empty() || item.attempt_.size() > max_attempt_id_bytes ||
        item.expires_at_ <= now)
    {
        return false;
    }
    expire(now);
    auto found = by_attempt_.find(item.attempt_);
    if (found == by_attempt_.end())
    {
        make_room();
        found = by_attempt_.emplace(item.attempt_, entry()).first;
        found->second.origin_ = item.origin_;
    }
    else
    {
        entry& known = found->second;
        if (known.origin_ != item.origin_ ||
            known.expires_at_ >= item.expires_at_)
        {
            return false;
        }
        by_position_.erase(known.position_);
        const auto [first, last] = by_expiry_.equal_range(known.expires_at_);
        by_expiry_.erase(std::find_if(
            first,
            last,
            [&](const auto& other)
            {
                return other.second == found;
            }));
    }
    found->second.expires_at_ = item.expires_at_;
    found->second.position_ = ++newest_position_;
    by_position_.emplace(newest_position_, found);
    by_expiry_.emplace(item.expires_at_, found);
    return true;
}

std::optional<stream_origin> stream_origins::find(
    std::string_view attempt, core::time_point now) const
{
    const auto found = by_attempt_.find(attempt);
    const bool is_known =
        found != by_attempt_.end() && found->second.expires_at_ > now;
    return is_known ? std::optional(found->second.origin_) : std::nullopt;
}

std::vector<known_origin> stream_origins::recorded_since(
    std::uint64_t& position, std::size_t max_items, core::time_point now) const
{
    std::vector<known_origin> out;
    auto next = by_position_.upper_bound(position);
    for (; next != by_position_.end() && out.size() < max_items; ++next)
    {
        const auto& [attempt, item] = *next->second;
        position = next->first;
        if (item.expires_at_ > now)
        {
            out.push_back({attempt, item.origin_, item.expires_at_});
        }
    }
    return out;
}

void stream_origins::expire(core::time_point now)
{
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now)
    {
        const entry_map::iterator oldest = by_expiry_.begin()->second;
        by_position_.erase(oldest->second.position_);
        by_attempt_.erase(oldest);
        by_expiry_.erase(by_expiry_.begin());
    }
}

void stream_origins::make_room()
{
    while (!by_expiry_.empty() && by_attempt_.size() >= capacity_)
    {
        const entry_map::iterator first = by_expiry_.begin()->second;
        by_position_.erase(first->second.position_);
        by_attempt_.erase(first);
        by_expiry_.erase(by_expiry_.begin());
    }
}

} // namespace poplarroute::policy
