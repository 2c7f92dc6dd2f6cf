#include "policy/quarantine.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr int suspect_from = 2;
constexpr int quarantined_from = 4;

} // namespace

bool quarantine::crashed(
    const std::string& digest,
    const std::string& crash,
    evidence weight,
    core::duration span,
    core::time_point now)
{
    record& about = records_[digest];
    if (!about.crashes_.emplace(crash, weight).second)
    {
        return false;
    }
    about.until_ = std::max(about.until_, now + span);
    return true;
}

suspicion quarantine::look_up(
    const std::string& digest, core::time_point now) const
{
    const auto found = records_.find(digest);
    if (found == records_.end() || now >= found->second.until_)
    {
        return suspicion::none;
    }
    int weight = 0;
    for (const auto& [crash, evidence] : found->second.crashes_)
    {
        weight += static_cast<int>(evidence);
    }
    if (weight >= quarantined_from)
    {
        return suspicion::quarantined;
    }
    return weight >= suspect_from ? suspicion::suspect : suspicion::none;
}

void quarantine::expire(core::time_point now)
{
    std::erase_if(
        records_,
        [&](const auto& item)
        {
            return now >= item.second.until_;
        });
}

} // namespace poplarroute::policy
