#include "policy/stage_planner.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Gain in the streams that the fleet carries which is worth the seconds that
/// an engine is away. Reading is given up less readily than it is gained.
constexpr double least_gain_decoding = 1.10;
constexpr double least_gain_reading = 1.30;

/// Part of the capacity that is asked for before a change is worth it.
constexpr double busy_part = 0.5;

/// A change must stay worthwhile for this long: crashed engines are back after
/// some seconds, and an idle reader is given up sooner than a decode engine,
/// whose streams have to end first.
constexpr core::duration last_for_decoding{1'500};
constexpr core::duration last_for_reading{6'000};

/// Two readers at least, lest one crash stop all prefills; one in fleets that
/// are too small for that.
constexpr std::int64_t least_readers = 2;
constexpr std::int64_t small_fleet = 5;

/// One engine in so many may be away at a time.
constexpr std::size_t engines_per_change = 10;

/// Time beyond the change itself: the list lags, and work under way ends first.
constexpr core::duration change_slack{1'000};

/// By then the list shows a change, or the order has been lost.
constexpr core::duration longest_change{25'000};

/// Before an engine that did not take an order gets another.
constexpr core::duration after_refusal{10'000};

/// Beyond the lease: what an order takes on its way.
constexpr core::duration order_margin{1'000};

double capacity(
    std::int64_t readers, std::int64_t decoders, const stage_rates& r)
{
    return std::min(
        static_cast<double>(readers) * r.per_prefill_engine_,
        static_cast<double>(decoders) * r.per_decode_engine_);
}

} // namespace

void stage_planner::begin_leading(core::time_point now, core::duration lease)
{
    may_order_at_ = now + lease + order_margin;
    changing_.clear();
    refused_.clear();
    wish_.reset();
}

void stage_planner::set_change_time(core::duration change_time)
{
    change_time_ = change_time;
}

void stage_planner::settle(
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
            const bool shown = found != listed.end() &&
                               found->second == item.second.reads_prompts_;
            return found == listed.end() || age > longest_change ||
                   (shown && age > change_time_ + change_slack);
        });
    std::erase_if(
        refused_,
        [now](const auto& item)
        {
            return now - item.second > after_refusal;
        });
}

stage_planner::split stage_planner::count(
    std::span<const staged_engine> engines) const
{
    split out;
    for (const staged_engine& item : engines)
    {
        if (!item.usable_)
        {
            continue;
        }
        const auto found = changing_.find(item.name_);
        const bool reads = found == changing_.end()
                               ? item.reads_prompts_
                               : found->second.reads_prompts_;
        ++(reads ? out.readers_ : out.decoders_);
    }
    return out;
}

/// \return the stage that lacks an engine, or nothing.
std::optional<bool> stage_planner::wanted(
    const split& have, const stage_rates& rates) const
{
    const std::int64_t all = have.readers_ + have.decoders_;
    const double now = capacity(have.readers_, have.decoders_, rates);
    if (all < 2 || rates.offered_ < busy_part * now)
    {
        return std::nullopt;
    }
    const std::int64_t least = all < small_fleet ? 1 : least_readers;
    std::int64_t best = have.readers_;
    double most = now;
    for (std::int64_t readers = least; readers < all; ++readers)
    {
        const double carried = capacity(readers, all - readers, rates);
        if (carried > most)
        {
            best = readers;
            most = carried;
        }
    }
    if (best < have.readers_ && most >= now * least_gain_decoding)
    {
        return false;
    }
    if (best > have.readers_ && most >= now * least_gain_reading)
    {
        return true;
    }
    return std::nullopt;
}

bool stage_planner::has_lasted(std::optional<bool> wish, core::time_point now)
{
    if (wish != wish_)
    {
        wish_ = wish;
        wish_since_ = now;
    }
    return wish &&
           now - wish_since_ >= (*wish ? last_for_reading : last_for_decoding);
}

/// \return the engine whose zone has most of the other stage.
std::optional<core::endpoint_id> stage_planner::pick(
    std::span<const staged_engine> engines,
    bool reads_prompts,
    core::time_point now) const
{
    std::map<core::zone_id, int> others;
    for (const staged_engine& item : engines)
    {
        others[item.zone_] += item.reads_prompts_ != reads_prompts ? 1 : 0;
    }
    const staged_engine* best = nullptr;
    for (const staged_engine& item : engines)
    {
        if (!item.usable_ || item.reads_prompts_ == reads_prompts ||
            changing_.count(item.name_) != 0 ||
            refused_.count(item.name_) != 0 || now < may_order_at_)
        {
            continue;
        }
        if (best == nullptr || others[item.zone_] > others[best->zone_])
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
    settle(engines, now);
    const bool known =
        rates.per_prefill_engine_ > 0 && rates.per_decode_engine_ > 0;
    const std::size_t most =
        std::max<std::size_t>(engines.size() / engines_per_change, 1);
    if (!known || now < may_order_at_ || changing_.size() >= most)
    {
        return {};
    }
    const std::optional<bool> wish = wanted(count(engines), rates);
    if (!has_lasted(wish, now))
    {
        return {};
    }
    const std::optional<core::endpoint_id> chosen = pick(engines, *wish, now);
    if (!chosen)
    {
        return {};
    }
    return {stage_change{*chosen, *wish}};
}

void stage_planner::record_order(
    const stage_change& change, core::time_point now)
{
    changing_[change.engine_] = {change.reads_prompts_, now};
}

void stage_planner::refused(
    const core::endpoint_id& engine, core::time_point now)
{
    refused_[engine] = now;
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
