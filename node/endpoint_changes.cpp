#include "node/endpoint_changes.hpp"

#include <algorithm>
#include <cstdlib>

namespace poplarroute::node
{

namespace
{

/// Differences of an endpoint's cold time that are not a change. The platform
/// states the time that is left, and each read rounds it anew.
constexpr core::duration cold_time_tolerance{500};

/// Approximate size of an endpoint's fixed fields and their names in a message.
constexpr std::size_t fixed_message_bytes = 112;

bool is_same(const known_endpoint& left, const known_endpoint& right)
{
    const bool same_cold_state = (left.listed_.cold_time_left_.ms_ > 0) ==
                                 (right.listed_.cold_time_left_.ms_ > 0);
    const core::duration shift = left.cold_until_ - right.cold_until_;
    const bool same_cold_time = right.listed_.cold_time_left_.ms_ <= 0 ||
                                std::abs(shift.ms_) <= cold_time_tolerance.ms_;
    if (!same_cold_state || !same_cold_time)
    {
        return false;
    }
    listed_endpoint other = right.listed_;
    other.cold_time_left_ = left.listed_.cold_time_left_;
    return left.listed_ == other;
}

std::size_t message_bytes(
    const core::endpoint_id& name, const std::optional<known_endpoint>& item)
{
    if (!item)
    {
        return name.size() + 1;
    }
    return name.size() + item->listed_.service_.size() +
           item->listed_.address_.size() + item->listed_.zone_.size() +
           fixed_message_bytes;
}

} // namespace

void endpoint_changes::update(
    std::uint64_t revision,
    const std::map<core::endpoint_id, known_endpoint>& list)
{
    const bool is_first = revision_ == 0;
    revision_ = revision;
    for (const auto& [name, item] : list)
    {
        const auto [found, is_new] = states_.try_emplace(name);
        const auto& held = found->second.endpoint_;
        if (is_first)
        {
            found->second = {item, revision};
        }
        else if (is_new || !held || !is_same(*held, item))
        {
            record(found, item, revision);
        }
    }
    for (auto item = states_.begin(); item != states_.end(); ++item)
    {
        if (item->second.endpoint_ && list.count(item->first) == 0)
        {
            record(item, std::nullopt, revision);
        }
    }
    if (is_first)
    {
        complete_since_ = revision;
    }
    while (history_.size() > bounds_.history_entries_ ||
           history_bytes_ > bounds_.history_bytes_)
    {
        forget_oldest();
    }
}

/// Records the newest state of an endpoint.
/// \param endpoint nothing: it was removed.
void endpoint_changes::record(
    states::iterator item,
    const std::optional<known_endpoint>& endpoint,
    std::uint64_t revision)
{
    const core::endpoint_id& name = item->first;
    forget(item);
    item->second = {endpoint, revision};
    history_.emplace(revision, name);
    history_bytes_ += message_bytes(name, endpoint);
    if (!endpoint)
    {
        removed_.emplace(revision, name);
    }
}

/// Removes an endpoint's last change from the history, if it is there.
void endpoint_changes::forget(states::iterator item)
{
    const std::pair key{item->second.changed_at_, item->first};
    removed_.erase(key);
    if (history_.erase(key) > 0)
    {
        history_bytes_ -= message_bytes(item->first, item->second.endpoint_);
    }
}

void endpoint_changes::forget_oldest()
{
    const auto item = states_.find(history_.begin()->second);
    complete_since_ = history_.begin()->first;
    forget(item);
    if (!item->second.endpoint_)
    {
        states_.erase(item);
    }
}

std::optional<list_changes> endpoint_changes::since(
    std::uint64_t revision, core::time_point read_at) const
{
    if (revision < complete_since_ || revision > revision_)
    {
        return std::nullopt;
    }
    list_changes out;
    out.from_ = revision;
    out.to_ = revision_;
    std::size_t bytes = 0;
    std::size_t entries = 0;
    for (auto item = history_.rbegin();
         item != history_.rend() && item->first > revision;
         ++item)
    {
        const core::endpoint_id& name = item->second;
        const auto& endpoint = states_.find(name)->second.endpoint_;
        bytes += message_bytes(name, endpoint);
        ++entries;
        if (entries > bounds_.message_entries_ ||
            bytes > bounds_.message_bytes_)
        {
            return std::nullopt;
        }
        if (endpoint)
        {
            out.changed_.push_back(to_message(*endpoint, read_at));
        }
        else
        {
            out.removed_.push_back(name);
        }
    }
    return out;
}

std::vector<core::endpoint_id> endpoint_changes::removed_since(
    std::uint64_t revision) const
{
    std::vector<core::endpoint_id> out;
    for (auto item = removed_.rbegin();
         item != removed_.rend() && item->first > revision &&
         out.size() < bounds_.message_entries_;
         ++item)
    {
        out.push_back(item->second);
    }
    return out;
}

bool apply_list_changes(
    const list_changes& changes,
    core::time_point read_at,
    std::uint64_t& revision,
    std::map<core::endpoint_id, known_endpoint>& endpoints)
{
    if (changes.from_ > revision || changes.to_ <= revision)
    {
        return false;
    }
    for (const core::endpoint_id& name : changes.removed_)
    {
        endpoints.erase(name);
    }
    for (const endpoint_message& item : changes.changed_)
    {
        endpoints[item.name_] = {
            from_message(item), read_at + core::duration{item.cold_ms_}};
    }
    revision = changes.to_;
    return true;
}

endpoint_message to_message(
    const known_endpoint& item, core::time_point read_at)
{
    endpoint_message out = to_message(item.listed_);
    out.cold_ms_ = std::max<std::int64_t>((item.cold_until_ - read_at).ms_, 0);
    return out;
}

} // namespace poplarroute::node
