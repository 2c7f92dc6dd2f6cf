#include "policy/prompt_part_quarantine.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr int min_crashes = 3;
constexpr int min_crashes_after_answers = 8;

/// Crashes within this time of the last counted one are not counted.
constexpr core::duration crash_separation{300};

/// Number of requests without the part that have to answer meanwhile.
constexpr std::int64_t min_answered_without = 3;

constexpr core::duration suspicion_duration{30'000};
constexpr core::duration quarantine_duration{60'000};
constexpr int max_quarantine_doublings = 6;

/// How long a quarantine is remembered after its end.
constexpr core::duration probation_duration{600'000};
constexpr std::size_t max_records = 4'096;

/// How long an answer speaks for a part.
constexpr core::duration answer_validity{60'000};
constexpr core::duration answer_check_interval{5'000};
constexpr std::size_t max_answers = 20'000;

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

bool prompt_part_quarantine::has_answered(const std::string& key) const
{
    return answered_at_.count(key) != 0;
}

bool prompt_part_quarantine::is_quarantined(const std::string& key) const
{
    const auto found = records_.find(key);
    return found != records_.end() && found->second.quarantined_;
}

bool prompt_part_quarantine::quarantine_if_proven(
    const std::string& key, record& entry, core::time_point now) const
{
    const int needed =
        has_answered(key) ? min_crashes_after_answers : min_crashes;
    const bool proven = entry.quarantines_ == 0 &&
                        entry.crash_count_ >= needed &&
                        entry.answered_without_ >= min_answered_without &&
                        entry.always_followed_by_.empty();
    if (proven)
    {
        begin_quarantine(entry, now);
    }
    return proven;
}

void prompt_part_quarantine::begin_quarantine(
    record& entry, core::time_point now)
{
    const int doublings =
        std::min(entry.quarantines_, max_quarantine_doublings);
    entry.quarantined_ = true;
    ++entry.quarantines_;
    entry.expires_at_ =
        now + quarantine_duration * (std::int64_t{1} << doublings);
}

/// Counts a crash against one part.
/// \param keys those of all parts of the request's prompt.
void prompt_part_quarantine::count_crash(
    std::span<const std::string> keys,
    std::size_t position,
    core::time_point now)
{
    const std::string& key = keys[position];
    if (records_.size() >= max_records && records_.count(key) == 0)
    {
        return;
    }
    const auto [found, inserted] = records_.try_emplace(key);
    record& entry = found->second;
    if (entry.quarantines_ > 0)
    {
        begin_quarantine(entry, now);
        return;
    }
    if (!inserted && now - entry.last_counted_at_ < crash_separation)
    {
        return;
    }
    std::set<std::string> followed_by;
    for (const std::string& later : keys.subspan(position + 1))
    {
        const bool explains =
            !has_answered(later) &&
            (inserted || entry.always_followed_by_.count(later) != 0);
        if (explains)
        {
            followed_by.insert(later);
        }
    }
    entry.always_followed_by_ = std::move(followed_by);
    ++entry.crash_count_;
    entry.last_counted_at_ = now;
    entry.expires_at_ = now + suspicion_duration;
    quarantine_if_proven(key, entry, now);
}

void prompt_part_quarantine::crashed(
    const core::service_id& service,
    std::span<const std::string> parts,
    core::time_point now)
{
    std::vector<std::string> keys;
    for (const std::string& part : parts)
    {
        keys.push_back(key_of(service, part));
    }
    const auto quarantined = std::find_if(
        keys.begin(),
        keys.end(),
        [this](const std::string& key)
        {
            return is_quarantined(key);
        });
    if (quarantined != keys.end())
    {
        // The request was sent before its host knew of the quarantine.
        record& entry = records_[*quarantined];
        entry.expires_at_ =
            std::max(entry.expires_at_, now + quarantine_duration);
        return;
    }
    for (std::size_t position = 0; position < keys.size(); ++position)
    {
        count_crash(keys, position, now);
    }
}

bool prompt_part_quarantine::answered(
    const core::service_id& service,
    std::span<const std::string> parts,
    core::time_point now)
{
    bool changed = false;
    std::vector<std::string> keys;
    for (const std::string& part : parts)
    {
        keys.push_back(key_of(service, part));
        changed = records_.erase(keys.back()) > 0 || changed;
        if (answered_at_.size() < max_answers || has_answered(keys.back()))
        {
            answered_at_[keys.back()] = now;
        }
    }
    const std::string prefix = service + key_separator;
    for (auto item = records_.lower_bound(prefix);
         item != records_.end() && item->first.starts_with(prefix);
         ++item)
    {
        record& entry = item->second;
        ++entry.answered_without_;
        for (const std::string& key : keys)
        {
            entry.always_followed_by_.erase(key);
        }
        changed = quarantine_if_proven(item->first, entry, now) || changed;
    }
    return changed;
}

void prompt_part_quarantine::forget_old_answers(core::time_point now)
{
    if (now - answers_checked_at_ < answer_check_interval)
    {
        return;
    }
    answers_checked_at_ = now;
    std::erase_if(
        answered_at_,
        [now](const auto& item)
        {
            return now - item.second > answer_validity;
        });
}

bool prompt_part_quarantine::adopt(const std::string& key, core::time_point now)
{
    record& entry = records_[key];
    if (entry.quarantined_)
    {
        return false;
    }
    begin_quarantine(entry, now);
    return true;
}

bool prompt_part_quarantine::expire(core::time_point now)
{
    forget_old_answers(now);
    bool ended = false;
    for (auto& [key, entry] : records_)
    {
        if (entry.quarantined_ && now >= entry.expires_at_)
        {
            entry.quarantined_ = false;
            entry.expires_at_ = now + probation_duration;
            ended = true;
        }
    }
    std::erase_if(
        records_,
        [&](const auto& item)
        {
            return now >= item.second.expires_at_;
        });
    return ended;
}

std::vector<std::string> prompt_part_quarantine::suspects() const
{
    std::vector<std::string> out;
    for (const auto& [key, entry] : records_)
    {
        if (entry.quarantines_ == 0)
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
