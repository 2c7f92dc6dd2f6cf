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

} // namespace

bool quarantine::crashed(
    const std::string& digest,
    const std::string& crash,
    evidence weight,
    core::duration span,
    core::time_point now)
{
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
