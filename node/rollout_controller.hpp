#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/rollouts.hpp"
#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/replica.hpp"
#include "node/rollout_messages.hpp"
#include "policy/rollout_evaluator.hpp"
#include "policy/rollout_exposure.hpp"

namespace poplarroute::node
{

/// Decides running roll-outs at the leader of the group.
///
/// It collects what hosts observe, has the evaluator judge it, commits each
/// step to the replicated log, and grants exposure that the log has recorded as
/// reserved. Everything else that it keeps is rebuilt from the hosts' reports
/// after a change of leader.
class rollout_controller
{
public:
    /// \param live_hosts returns the entry hosts that the leader has heard
    /// within rollout_contact_timeout.
    rollout_controller(
        context& with,
        catalog_replica& group,
        std::function<std::vector<core::host_id>()> live_hosts);

    void start();

    /// Starts anew, since this member has become the leader.
    void begin_leading();

    /// \return the roll-outs for a watch reply, without their history.
    std::vector<control::rollout> to_tell() const;

    /// Role of the engines that a stream is placed on.
    struct placement_role
    {
        bool is_target_ = false; ///< Of a running roll-out.
        bool is_trial_ = false;  ///< It took exposure.
    };

    /// Excludes the engines that a stream may not be placed on, and takes the
    /// exposure for the target's.
    /// \param may_try whether it may be placed on the target's during a trial.
    placement_role restrict_placement(placement_request& request, bool may_try);

    /// Returns the exposure of a stream that was not placed.
    void return_exposure(const placement_request& request);

private:
    /// The last report of one process of a host.
    struct process_report
    {
        std::uint64_t sequence_ = 0;
        core::time_point at_;
        control::rollout_phase phase_ = control::rollout_phase::trial;
        std::int64_t baseline_running_ = 0;
        bool is_whole_ = false; ///< All of its cells are known.
        std::map<std::string, policy::rollout_observation> cells_;
    };

    /// Counts of one role, for the metrics.
    struct role_totals
    {
        std::int64_t starts_ = 0;
        std::int64_t bad_ = 0;
        policy::latency_histogram latencies_;
    };

    using process_key = std::pair<core::host_id, std::uint64_t>;

    /// What the leader keeps of a running roll-out.
    struct running_rollout
    {
        std::uint64_t id_ = 0;
        policy::exposure_ledger ledger_;
        policy::rollout_evaluator evaluator_;
        std::map<process_key, process_report> reports_;
        std::int64_t streams_returned_ = 0; ///< Exposure of unplaced streams.
        core::time_point switching_since_;
    };

    bool is_confirmed() const;
    bool may_grant() const;
    bool may_decide(const control::rollout& item) const;
    fleet_bounds bounds() const;
    running_rollout& track(const control::rollout& item);
    rollout_report_reply answer(const rollout_report& report);
    rollout_service_reply answer_service(
        const rollout_report& report, const rollout_service_report& part);
    std::vector<policy::rollout_observation> observations(
        const running_rollout& state) const;
    awaitable<void> run();
    awaitable<void> confirm_leadership();
    awaitable<void> step(control::rollout item);
    awaitable<void> reserve(control::rollout item);
    awaitable<void> advance(
        control::rollout item,
        control::rollout_phase phase,
        std::string reason);
    std::optional<std::string> find_completion(
        const control::rollout& item, running_rollout& state) const;
    bool has_enough_targets(const control::rollout& item) const;
    std::vector<std::string> listed_versions(
        const core::service_id& service, const std::string& target) const;
    std::int64_t stream_cost(const placement_request& request) const;
    void set_metrics(
        const control::rollout& item, const running_rollout& state);
    void forget_ended();

    context& with_;
    catalog_replica& group_;
    std::function<std::vector<core::host_id>()> live_hosts_;
    core::time_point leading_since_;
    bool has_read_state_ = false; ///< Since this member leads.
    std::map<core::service_id, running_rollout> running_;
    std::minstd_rand random_;
};

} // namespace poplarroute::node
