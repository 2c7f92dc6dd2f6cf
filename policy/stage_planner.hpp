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

/// An engine as the stage planner sees it.
struct staged_engine
{
    core::endpoint_id name_;
    core::zone_id zone_;
    bool reads_prompts_ = false; ///< Whether it is a prefill engine.
    bool usable_ = true; ///< Neither leaving nor in a zone out of service.
};

/// Capacity of one engine in each stage and the offered load, in streams per
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
    bool reads_prompts_ = false; ///< Whether it becomes a prefill engine.
};

/// Decides how many engines of a service prefill and how many decode.
///
/// Load: a fleet that has lost a zone or some decode engines for tens of
/// seconds, while prefill engines are idle. Stages follow the number of usable
/// engines and their capacity; a change takes seconds, so they do not follow
/// bursts.
///
/// Only one process may order changes. A new leader therefore waits until no
/// order of its predecessor can still be in transit.
class stage_planner
{
public:
    /// Resets the planner when this process becomes the one that may order
    /// changes.
    /// \param lease how long the orders of one process exclude those of others.
    void begin_leading(core::time_point now, core::duration lease);

    /// \param change_time how long an engine takes to change its stage.
    void set_change_time(core::duration change_time);

    /// \return the changes to order now.
    std::vector<stage_change> plan(
        std::span<const staged_engine> engines,
        const stage_rates& rates,
        core::time_point now);

    /// Records that a change was ordered; the engine may not have received it.
    void record_order(const stage_change& change, core::time_point now);

    /// Records that an engine refused an order or was not ready for one.
    void refused(const core::endpoint_id& engine, core::time_point now);

    /// \return engines that are changing their stage and should get no work.
    std::set<core::endpoint_id> changing() const;

private:
    struct pending_change
    {
        bool reads_prompts_ = false;
        core::time_point since_;
    };

    /// Usable engines by stage, with pending changes applied.
    struct stage_counts
    {
        std::int64_t prefill_engines_ = 0;
        std::int64_t decode_engines_ = 0;
    };

    void expire_changes(
        std::span<const staged_engine> engines, core::time_point now);
    stage_counts count_stages(std::span<const staged_engine> engines) const;
    std::optional<bool> find_lacking_stage(
        const stage_counts& current, const stage_rates& rates) const;
    bool has_persisted(std::optional<bool> lacking_stage, core::time_point now);
    std::optional<core::endpoint_id> choose_engine(
        std::span<const staged_engine> engines,
        bool reads_prompts,
        core::time_point now) const;

    core::time_point orders_allowed_at_;
    core::duration change_time_;
    std::map<core::endpoint_id, pending_change> changing_;
    std::map<core::endpoint_id, core::time_point> refused_at_;
    /// The stage that lacks an engine, if any; true: prefill.
    std::optional<bool> lacking_stage_;
    core::time_point lacking_since_;
};

} // namespace poplarroute::policy
