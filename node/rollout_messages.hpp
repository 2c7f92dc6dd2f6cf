#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/rollouts.hpp"
#include "core/codec.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

namespace method
{

inline constexpr const char* rollouts_report = "rollouts.report";

} // namespace method

/// What a host observed at one endpoint of the target, or at the replaced
/// versions' endpoints of one zone, on one route since it learned of a
/// roll-out. The counts are cumulative.
struct rollout_cell_message
{
    core::endpoint_id endpoint_; ///< Empty: any of the zone.
    core::zone_id zone_;
    std::string route_;
    bool is_target_ = false;
    bool is_warm_ = false;
    std::int64_t starts_ = 0;
    std::int64_t good_ = 0;
    std::int64_t bad_ = 0;
    std::vector<std::int64_t> latencies_; ///< Histogram of good answers.
};

/// What a host reports of one running roll-out.
struct rollout_service_report
{
    core::service_id service_;
    std::uint64_t id_ = 0; ///< Of the roll-out.
    control::rollout_phase phase_ = control::rollout_phase::trial;
    /// Requests that this host runs at endpoints of replaced versions.
    std::int64_t baseline_running_ = 0;
    std::int64_t wanted_ = 0;   ///< Requests to the target that it asks for.
    std::int64_t returned_ = 0; ///< Granted requests that expired unused.
    bool is_whole_ = false;     ///< It contains all cells, not only changes.
    std::vector<rollout_cell_message> cells_;
};

/// Report of a host to the leader while a roll-out runs. Its sequence number
/// increases, so that a late copy changes nothing.
struct rollout_report
{
    core::host_id host_;
    std::uint64_t epoch_ = 0; ///< Of the host's process.
    std::uint64_t sequence_ = 0;
    std::vector<rollout_service_report> services_;
};

/// What the leader answers to one rollout_service_report.
struct rollout_service_reply
{
    core::service_id service_;
    std::uint64_t id_ = 0;
    control::rollout_phase phase_ = control::rollout_phase::trial;
    std::int64_t granted_ = 0; ///< Requests that may go to the target.
    bool wants_all_ = false;   ///< The next report shall contain all cells.
};

/// Reply to rollout_report. It permits nothing unless it is confirmed.
struct rollout_report_reply
{
    /// Whether a leader sent it that has read the group's state since its
    /// election and for which earlier leaders' grants have expired.
    bool is_confirmed_ = false;
    std::vector<rollout_service_reply> services_;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_cell_message,
    endpoint_,
    zone_,
    route_,
    is_target_,
    is_warm_,
    starts_,
    good_,
    bad_,
    latencies_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_service_report,
    service_,
    id_,
    phase_,
    baseline_running_,
    wanted_,
    returned_,
    is_whole_,
    cells_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_report, host_, epoch_, sequence_, services_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_service_reply, service_, id_, phase_, granted_, wants_all_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    rollout_report_reply, is_confirmed_, services_)

/// Time for which a grant of exposure is valid, from when the host asked.
inline constexpr core::duration rollout_grant_validity{1'000};

/// Time for which a host may send to the target while switching, from when it
/// sent the report that the leader answered.
inline constexpr core::duration rollout_lease_validity{1'500};

/// A leader does not wait for a host that it has not heard for this long, and a
/// host without a lease that has heard neither of the leader nor of the list
/// for this long does not send to replaced versions: they may have ended.
inline constexpr core::duration rollout_contact_timeout{2'000};

/// Interval of reports and of the leader's evaluation.
inline constexpr core::duration rollout_report_interval{200};

} // namespace poplarroute::node
