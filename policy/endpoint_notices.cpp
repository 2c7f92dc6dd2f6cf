#include "policy/endpoint_notices.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Longest time for which one answer keeps this host away from an endpoint.
constexpr core::duration max_stay_away{600'000};

/// Longest random extension of such a time.
constexpr core::duration max_return_spread{250};

/// Period after such a time in which calls return gradually: one at its
/// beginning and another with each step.
constexpr core::duration return_period{1'000};
constexpr core::duration return_step{50};

/// Time for which lists must show an endpoint as ready before it counts as
/// restarted. A list may come from another member and be older.
constexpr core::duration restart_confirmation_time{3'000};

/// Notices of an endpoint that no list has shown for this long are dropped.
constexpr core::duration unlisted_retention{60'000};

} // namespace

endpoint_notices::endpoint_notices(std::uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

bool endpoint_notices::record(
    const listed_state& from,
    const endpoint_notice& notice,
    core::time_point now)
{
    if (!notice.leaving_ && !notice.stay_away_)
    {
        return false;
    }
    const bool was_leaving = is_leaving(from.name_, now);
    const auto [entry, is_new] = endpoints_.try_emplace(from.name_);
    endpoint_state& state = entry->second;
    if (is_new)
    {
        state.last_listed_at_ = now;
    }
    if (notice.leaving_ && !was_leaving)
    {
        state.leaving_ = true;
        state.started_at_ms_ = from.started_at_ms_;
        state.listed_as_leaving_ = from.leaving_;
        state.ready_again_at_ = {};
    }
    if (notice.stay_away_ && notice.stay_away_->ms_ > 0)
    {
        const core::duration spread{std::uniform_int_distribution<std::int64_t>(
            0, max_return_spread.ms_)(random_)};
        const core::time_point until =
            now + std::min(*notice.stay_away_, max_stay_away) + spread;
        state.turned_away_until_ = std::max(state.turned_away_until_, until);
        state.sends_since_return_ = 0;
    }
    forget_unlisted(now);
    return notice.leaving_ && !was_leaving;
}

void endpoint_notices::update(
    std::span<const listed_state> list, core::time_point now)
{
    if (endpoints_.empty())
    {
        return;
    }
    std::map<core::endpoint_id, const listed_state*> listed;
    for (const listed_state& item : list)
    {
        listed[item.name_] = &item;
    }
    for (auto& [name, state] : endpoints_)
    {
        const auto found = listed.find(name);
        if (found == listed.end() || found->second->leaving_)
        {
            state.listed_as_leaving_ = state.leaving_;
            state.ready_again_at_ = {};
        }
        else if (state.listed_as_leaving_ && state.ready_again_at_.ms_ == 0)
        {
            state.ready_again_at_ = now;
        }
        if (found == listed.end())
        {
            continue;
        }
        state.last_listed_at_ = now;
        const std::int64_t started_at_ms = found->second->started_at_ms_;
        const bool has_restarted =
            state.started_at_ms_ != 0 && started_at_ms > state.started_at_ms_;
        if (has_restarted)
        {
            state = endpoint_state();
            state.last_listed_at_ = now;
        }
    }
    forget_unlisted(now);
}

void endpoint_notices::forget_unlisted(core::time_point now)
{
    std::erase_if(
        endpoints_,
        [now](const auto& item)
        {
            return now - item.second.last_listed_at_ > unlisted_retention &&
                   now > item.second.turned_away_until_;
        });
}

std::vector<core::endpoint_id> endpoint_notices::endpoints() const
{
    std::vector<core::endpoint_id> out;
    out.reserve(endpoints_.size());
    for (const auto& [name, state] : endpoints_)
    {
        out.push_back(name);
    }
    return out;
}

bool endpoint_notices::is_leaving(
    const core::endpoint_id& name, core::time_point now) const
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end() || !found->second.leaving_)
    {
        return false;
    }
    const core::time_point ready_again_at = found->second.ready_again_at_;
    return ready_again_at.ms_ == 0 ||
           now - ready_again_at <= restart_confirmation_time;
}

std::optional<core::time_point> endpoint_notices::turned_away_until(
    const core::endpoint_id& name, core::time_point now) const
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end() || now >= found->second.turned_away_until_)
    {
        return std::nullopt;
    }
    return found->second.turned_away_until_;
}

bool endpoint_notices::may_send(
    const core::endpoint_id& name,
    call_purpose purpose,
    core::time_point now) const
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end())
    {
        return true;
    }
    if (purpose == call_purpose::request && is_leaving(name, now))
    {
        return false;
    }
    const endpoint_state& state = found->second;
    const core::duration returned = now - state.turned_away_until_;
    if (state.turned_away_until_.ms_ == 0 || returned > return_period)
    {
        return true;
    }
    return returned.ms_ >= 0 &&
           state.sends_since_return_ <= returned.ms_ / return_step.ms_;
}

void endpoint_notices::record_send(
    const core::endpoint_id& name, core::time_point now)
{
    const auto found = endpoints_.find(name);
    if (found != endpoints_.end() &&
        now - found->second.turned_away_until_ <= return_period)
    {
        ++found->second.sends_since_return_;
    }
}

std::vector<core::endpoint_id> endpoint_notices::unlisted_leaving(
    core::time_point now) const
{
    std::vector<core::endpoint_id> out;
    for (const auto& [name, state] : endpoints_)
    {
        if (!state.listed_as_leaving_ && is_leaving(name, now))
        {
            out.push_back(name);
        }
    }
    return out;
}

} // namespace poplarroute::policy
