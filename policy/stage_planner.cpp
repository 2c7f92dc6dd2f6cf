#include "policy/stage_planner.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Minimum ratio of the new capacity to the current one at which a change is
/// worth the seconds that an engine is unavailable: for a change of a prefill
/// engine to decoding, and of a decode engine to prefill.
constexpr double min_gain_to_decode = 1.10;
constexpr double min_gain_to_prefill = 1.30;

/// Fraction of the capacity below which the offered load causes no change.
constexpr double min_utilization = 0.5;

/// Time for which a change must stay worthwhile before it is ordered, since
/// crashed engines are back after some seconds. An idle prefill engine changes
/// sooner than a decode engine, whose streams have to end first.
constexpr core::duration hold_time_to_decode{1'500};
constexpr core::duration hold_time_to_prefill{6'000};

/// Minimum number of prefill engines, so that one crash does not stop all
/// prefills. A fleet with fewer engines than small_fleet_engines keeps one.
constexpr std::int64_t min_prefill_engines = 2;
constexpr std::int64_t small_fleet_engines = 5;

/// Only one of this many engines may be changing its stage at a time.
constexpr std::size_t engines_per_change = 10;

/// Time added to that of the change itself: the platform's list lags behind,
/// and work in progress ends first.
constexpr core::duration change_slack{1'000};

/// Time after which the platform's list shows a change, or else the order was
/// lost.
constexpr core::duration max_change_time{25'000};

/// Time before an engine that refused an order gets another one.
constexpr core::duration refusal_backoff{10'000};

/// Time added to the lease: how long an order may be in transit.
constexpr core::duration lease_margin{1'000};

double capacity(
    std::int64_t prefill_engines,
    std::int64_t decode_engines,
    const stage_rates& rates)
{
    return std::min(
        static_cast<double>(prefill_engines) * rates.per_prefill_engine_,
        static_cast<double>(decode_engines) * rates.per_decode_engine_);
}

} // namespace

void stage_planner::begin_leading(core::time_point now, core::duration lease)
{
    orders_allowed_at_ = now + lease + lease_margin;
    changing_.clear();
    refused_at_.clear();
    lacking_stage_.reset();
}

void stage_planner::set_change_time(core::duration change_time)
{
    change_time_ = change_time;
}

void stage_planner::expire_changes(
    std::span<const staged_engine> engines, core::time_point now)
{
    std::map<core::endpoint_id, bool> listed;
    for (const staged_engine& item : engines)
    {
        listed[item.name_] = item.reads_prompts_;
    }
    std::erase_if(
        changing_,
        [&](const auto& item)
        {
            const auto found = listed.find(item.first);
            const core::duration age = now - item.second.since_;
            const bool is_listed = found != listed.end() &&
                                   found->second == item.second.reads_prompts_;
            return found == listed.end() || age > max_change_time ||
                   (is_listed && age > change_time_ + change_slack);
        });
    std::erase_if(
        refused_at_,
        [now](const auto& item)
        {
            return now - item.second > refusal_backoff;
        });
}

stage_planner::stage_counts stage_planner::count_stages(
    std::span<const staged_engine> engines) const
{
    stage_counts out;
    for (const staged_engine& item : engines)
    {
        if (!item.usable_)
        {
            continue;
        }
        const auto found = changing_.find(item.name_);
        const bool prefills = found == changing_.end()
                                  ? item.reads_prompts_
                                  : found->second.reads_prompts_;
        ++(prefills ? out.prefill_engines_ : out.decode_engines_);
    }
    return out;
}

/// \return the stage that lacks an engine (true: prefill), or nothing.
std::optional<bool> stage_planner::find_lacking_stage(
    const stage_counts& current, const stage_rates& rates) const
{
    const std::int64_t total =
        current.prefill_engines_ + current.decode_engines_;
    const double current_capacity =
        capacity(current.prefill_engines_, current.decode_engines_, rates);
    if (total < 2 || rates.offered_ < min_utilization * current_capacity)
    {
        return std::nullopt;
    }
    const std::int64_t min_prefill =
        total < small_fleet_engines ? 1 : min_prefill_engines;
    std::int64_t best = current.prefill_engines_;
    double max_capacity = current_capacity;
    for (std::int64_t prefill_engines = min_prefill; prefill_engines < total;
         ++prefill_engines)
    {
        const double new_capacity =
            capacity(prefill_engines, total - prefill_engines, rates);
        if (new_capacity > max_capacity)
        {
            best = prefill_engines;
            max_capacity = new_capacity;
        }
    }
    if (best < current.prefill_engines_ &&
        max_capacity >= current_capacity * min_gain_to_decode)
    {
        return false;
    }
    if (best > current.prefill_engines_ &&
        max_capacity >= current_capacity * min_gain_to_prefill)
    {
        return true;
    }
    return std::nullopt;
}

bool stage_planner::has_persisted(
    std::optional<bool> lacking_stage, core::time_point now)
{
    if (lacking_stage != lacking_stage_)
    {
        lacking_stage_ = lacking_stage;
        lacking_since_ = now;
    }
    return lacking_stage &&
           now - lacking_since_ >=
               (*lacking_stage ? hold_time_to_prefill : hold_time_to_decode);
}

/// \return an engine of the other stage, from the zone that has most of these.
std::optional<core::endpoint_id> stage_planner::choose_engine(
    std::span<const staged_engine> engines,
    bool reads_prompts,
    core::time_point now) const
{
    std::map<core::zone_id, int> other_stage_engines;
    for (const staged_engine& item : engines)
    {
        other_stage_engines[item.zone_] +=
            item.reads_prompts_ != reads_prompts ? 1 : 0;
    }
    const staged_engine* best = nullptr;
    for (const staged_engine& item : engines)
    {
        if (!item.usable_ || item.reads_prompts_ == reads_prompts ||
            changing_.count(item.name_) != 0 ||
            refused_at_.count(item.name_) != 0 || now < orders_allowed_at_)
        {
            continue;
        }
        if (best == nullptr ||
            other_stage_engines[item.zone_] > other_stage_engines[best->zone_])
        {
            best = &item;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->name_);
}

std::vector<stage_change> stage_planner::plan(
    std::span<const staged_engine> engines,
    const stage_rates& rates,
    core::time_point now)
{
    expire_changes(engines, now);
    const bool known =
        rates.per_prefill_engine_ > 0 && rates.per_decode_engine_ > 0;
    const std::size_t max_changes =
        std::max<std::size_t>(engines.size() / engines_per_change, 1);
    if (!known || now < orders_allowed_at_ || changing_.size() >= max_changes)
    {
        return {};
    }
    const std::optional<bool> lacking_stage =
        find_lacking_stage(count_stages(engines), rates);
    if (!has_persisted(lacking_stage, now))
    {
        return {};
    }
    const std::optional<core::endpoint_id> chosen =
        choose_engine(engines, *lacking_stage, now);
    if (!chosen)
    {
        return {};
    }
    return {stage_change{*chosen, *lacking_stage}};
}

void stage_planner::record_order(
    const stage_change& change, core::time_point now)
{
    changing_[change.engine_] = {change.reads_prompts_, now};
}

void stage_planner::refused(
    const core::endpoint_id& engine, core::time_point now)
{
    refused_at_[engine] = now;
}

std::set<core::endpoint_id> stage_planner::changing() const
{
    std::set<core::endpoint_id> out;
    for (const auto& [name, item] : changing_)
    {
        out.insert(name);
    }
    return out;
}

} // namespace poplarroute::policy
