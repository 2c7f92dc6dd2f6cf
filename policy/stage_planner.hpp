#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// An engine as the planner of stages sees it.
struct staged_engine
{
    core::endpoint_id name_;
    core::zone_id zone_;
    bool reads_prompts_ = false;
    bool usable_ = true; ///< Not leaving, its zone not taken out.
};

/// What one engine carries in each stage, and what is asked for, in streams a
/// second.
struct stage_rates
{
    double per_prefill_engine_ = 0;
    double per_decode_engine_ = 0;
    double offered_ = 0;
};

/// An engine that is to change its stage.
struct stage_change
{
    core::endpoint_id engine_;
    bool reads_prompts_ = false; ///< The stage that it gets.
};

/// Decides how many engines of a service read prompts and how many decode.
///
/// Load: a fleet that has lost a zone or some decode engines for tens of
/// seconds, while readers stand idle. Stages follow the number of usable
/// engines and what each carries; a change takes seconds, so they do not follow
/// bursts.
///
/// Only one process may order changes. A new leader therefore waits until no
/// order of its predecessor can still be under way.
class stage_planner
{
public:
    /// \param lease how long orders of one holder exclude those of another.
    /// \param change_time how long an engine takes to change its stage.
    void begin_leading(core::time_point now, core::duration lease);
    void set_change_time(core::duration change_time);

    /// \return the changes to order now.
    std::vector<stage_change> plan(
        std::span<const staged_engine> engines,
        const stage_rates& rates,
        core::time_point now);

    /// A change was ordered; it may not have been taken up.
    void record_order(const stage_change& change, core::time_point now);

    /// An engine did not take an order.
    void refused(const core::endpoint_id& engine, core::time_point now);

    /// \return engines that are changing their stage and should get no work.
    std::set<core::endpoint_id> changing() const;

private:
    struct change_state
    {
        bool reads_prompts_ = false;
        core::time_point since_;
    };

    struct split
    {
        std::int64_t readers_ = 0;
        std::int64_t decoders_ = 0;
    };

    void settle(std::span<const staged_engine> engines, core::time_point now);
    split count(std::span<const staged_engine> engines) const;
    std::optional<bool> wanted(
        const split& have, const stage_rates& rates) const;
    bool has_lasted(std::optional<bool> wish, core::time_point now);
    std::optional<core::endpoint_id> pick(
        std::span<const staged_engine> engines,
        bool reads_prompts,
        core::time_point now) const;

    core::time_point may_order_at_;
    core::duration change_time_;
    std::map<core::endpoint_id, change_state> changing_;
    std::map<core::endpoint_id, core::time_point> refused_;
    std::optional<bool> wish_; ///< The stage that lacks an engine.
    core::time_point wish_since_;
};

} // namespace poplarroute::policy
