#include "policy/version_history.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace poplarroute::policy
{

namespace
{

/// A version stays in the list for longer than this: a leaving endpoint drains
/// first, and one that has crashed remains for some seconds.
constexpr core::duration max_gap{3'000};

constexpr core::time_point beginning{
    std::numeric_limits<std::int64_t>::min() / 2};

} // namespace

void version_history::observe(
    const std::map<core::service_id, std::set<std::string>>& listed,
    core::time_point read_at)
{
    if (!known_)
    {
        known_.emplace();
        known_->began_at_ = is_first_start_ ? beginning : read_at;
    }
    else if (read_at - known_->read_at_ > max_gap)
    {
        known_->began_at_ = read_at;
    }
    known_->read_at_ = std::max(known_->read_at_, read_at);
    for (const auto& [service, versions] : listed)
    {
        for (const std::string& version : versions)
        {
            known_->last_listed_[service][version] = known_->read_at_;
        }
    }
}

std::optional<std::string> version_history::only_version(
    const core::service_id& service,
    core::time_point since,
    core::time_point until) const
{
    if (!known_ || known_->began_at_ > since || known_->read_at_ < until)
    {
        return std::nullopt;
    }
    const auto found = known_->last_listed_.find(service);
    if (found == known_->last_listed_.end())
    {
        return std::nullopt;
    }
    std::optional<std::string> out;
    for (const auto& [version, listed_at] : found->second)
    {
        if (listed_at < since)
        {
            continue;
        }
        if (out)
        {
            return std::nullopt;
        }
        out = version;
    }
    return out;
}

void version_history::expire(core::time_point before)
{
    if (!known_)
    {
        return;
    }
    for (auto& [service, versions] : known_->last_listed_)
    {
        std::erase_if(
            versions,
            [before](const auto& item)
            {
                return item.second < before;
            });
    }
    std::erase_if(
        known_->last_listed_,
        [](const auto& item)
        {
            return item.second.empty();
        });
}

std::optional<version_history::contents> version_history::known() const
{
    return known_;
}

void version_history::adopt(contents other)
{
    known_ = std::move(other);
}

} // namespace poplarroute::policy
