#include "policy/quarantine.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Sums of the weights of a request's crashes from which on it is suspect or
/// quarantined.
constexpr int min_suspect_weight = 2;
constexpr int min_quarantined_weight = 4;

constexpr std::size_t max_records = 4'096;

} // namespace

bool quarantine::crashed(
    const std::string& digest,
    const std::string& crash,
    evidence weight,
    core::duration span,
    core::time_point now)
{
    if (records_.size() >= max_records && records_.count(digest) == 0)
    {
        return false;
    }
    record& entry = records_[digest];
    if (!entry.crashes_.emplace(crash, weight).second)
    {
        return false;
    }
    entry.expires_at_ = std::max(entry.expires_at_, now + span);
    return true;
}

suspicion quarantine::look_up(
    const std::string& digest, core::time_point now) const
{
    const auto found = records_.find(digest);
    if (found == records_.end() || now >= found->second.expires_at_)
    {
        return suspicion::none;
    }
    int weight = 0;
    for (const auto& [crash, evidence] : found->second.crashes_)
    {
        weight += static_cast<int>(evidence);
    }
    if (weight >= min_quarantined_weight)
    {
        return suspicion::quarantined;
    }
    return weight >= min_suspect_weight ? suspicion::suspect : suspicion::none;
}

void quarantine::keep_until(const std::string& digest, core::time_point until)
{
    const auto found = records_.find(digest);
    if (found != records_.end())
    {
        found->second.expires_at_ = std::max(found->second.expires_at_, until);
    }
}

bool quarantine::answered(const std::string& digest, core::time_point now)
{
    return look_up(digest, now) != suspicion::quarantined &&
           records_.erase(digest) > 0;
}

bool quarantine::has_suspects(core::time_point now) const
{
    return std::any_of(
        records_.begin(),
        records_.end(),
        [&](const auto& item)
        {
            return now < item.second.expires_at_ &&
                   look_up(item.first, now) != suspicion::quarantined;
        });
}

std::optional<std::vector<std::string>> quarantine::suspects(
    std::size_t most, core::time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [digest, item] : records_)
    {
        const bool is_suspect = now < item.expires_at_ &&
                                look_up(digest, now) != suspicion::quarantined;
        if (!is_suspect)
        {
            continue;
        }
        if (out.size() == most)
        {
            return std::nullopt;
        }
        out.push_back(digest);
    }
    return out;
}

void quarantine::expire(core::time_point now)
{
    std::erase_if(
        records_,
        [&](const auto& item)
        {
            return now >= item.second.expires_at_;
        });
}

} // namespace poplarroute::policy
