#include "policy/prompt_part_quarantine.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr int min_crashes = 3;

/// Crashes within this time of the last counted one are not counted.
constexpr core::duration crash_separation{300};

/// Number of requests without the part that have to answer meanwhile.
constexpr std::int64_t min_answered_without = 3;

constexpr core::duration suspicion_duration{30'000};
constexpr core::duration quarantine_duration{60'000};
constexpr std::size_t max_records = 4'096;

constexpr char key_separator = '/';

} // namespace

std::string prompt_part_quarantine::key_of(
    const core::service_id& service, const std::string& part)
{
    return service + key_separator + part;
}

bool prompt_part_quarantine::is_key(std::string_view text)
{
    return text.find(key_separator) != std::string_view::npos;
}

bool prompt_part_quarantine::quarantine_if_proven(
    record& entry, core::time_point now)
{
    const bool proven = !entry.quarantined_ &&
                        entry.crash_count_ >= min_crashes &&
                        entry.answered_without_ >= min_answered_without;
    if (proven)
    {
        entry.quarantined_ = true;
        entry.expires_at_ = now + quarantine_duration;
    }
    return proven;
}

bool prompt_part_quarantine::crashed(
    const core::service_id& service,
    std::span<const std::string> parts,
    core::time_point now)
{
    bool changed = false;
    for (const std::string& part : parts)
    {
        const std::string key = key_of(service, part);
        if (records_.size() >= max_records && records_.count(key) == 0)
        {
            continue;
        }
        const auto [found, inserted] = records_.try_emplace(key);
        record& entry = found->second;
        if (!inserted && now - entry.last_counted_at_ < crash_separation)
        {
            continue;
        }
        ++entry.crash_count_;
        entry.last_counted_at_ = now;
        entry.expires_at_ = std::max(
            entry.expires_at_,
            now + (entry.quarantined_ ? quarantine_duration
                                      : suspicion_duration));
        changed = quarantine_if_proven(entry, now) || inserted || changed;
    }
    return changed;
}

bool prompt_part_quarantine::answered(
    const core::service_id& service,
    std::span<const std::string> parts,
    core::time_point now)
{
    bool changed = false;
    for (const std::string& part : parts)
    {
        changed = records_.erase(key_of(service, part)) > 0 || changed;
    }
    const std::string prefix = service + key_separator;
    for (auto item = records_.lower_bound(prefix);
         item != records_.end() && item->first.starts_with(prefix);
         ++item)
    {
        ++item->second.answered_without_;
        changed = quarantine_if_proven(item->second, now) || changed;
    }
    return changed;
}

bool prompt_part_quarantine::adopt(const std::string& key, core::time_point now)
{
    record& entry = records_[key];
    if (entry.quarantined_)
    {
        return false;
    }
    entry.quarantined_ = true;
    entry.crash_count_ = min_crashes;
    entry.expires_at_ = now + quarantine_duration;
    return true;
}

bool prompt_part_quarantine::expire(core::time_point now)
{
    bool ended = false;
    std::erase_if(
        records_,
        [&](const auto& item)
        {
            const bool expired = now >= item.second.expires_at_;
            ended = ended || (expired && item.second.quarantined_);
            return expired;
        });
    return ended;
}

std::vector<std::string> prompt_part_quarantine::suspects() const
{
    std::vector<std::string> out;
    for (const auto& [key, entry] : records_)
    {
        if (!entry.quarantined_)
        {
            out.push_back(key);
        }
    }
    return out;
}

std::vector<std::string> prompt_part_quarantine::quarantined() const
{
    std::vector<std::string> out;
    for (const auto& [key, entry] : records_)
    {
        if (entry.quarantined_)
        {
            out.push_back(key);
        }
    }
    return out;
}

} // namespace poplarroute::policy
