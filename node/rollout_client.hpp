#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "control/rollouts.hpp"
#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/rollout_messages.hpp"
#include "policy/latency_histogram.hpp"
#include "policy/rollout_exposure.hpp"
#include "policy/trial_endpoints.hpp"

namespace poplarroute::node
{

class rollout_client;

/// Permission to send one request to an endpoint.
struct send_permission
{
    /// It ends then; absent: it does not end.
    std::optional<core::time_point> until_;
};

/// A placement's permission to use engines of a roll-out's target.
struct placement_permission
{
    /// Whether the leader placed the stream, with the roll-outs in mind.
    bool by_leader_ = false;
    std::optional<core::time_point> target_until_; ///< Absent: not the target.
};

/// Counts one request that this host sends to an endpoint, from when it is sent
/// until this object ends.
class rollout_send
{
public:
    /// \param route under which the request is compared with others.
    rollout_send(
        rollout_client& client,
        const known_endpoint& to,
        const std::string& route);
    ~rollout_send();
    rollout_send(const rollout_send&) = delete;
    rollout_send& operator=(const rollout_send&) = delete;

    /// The request did not reach the endpoint.
    void record_not_sent();

    /// The endpoint answered, or began to.
    void record_good(std::optional<core::duration> latency);

    /// The endpoint failed the request by its own fault.
    void record_bad();

private:
    friend class rollout_client;

    struct cell_key
    {
        core::endpoint_id endpoint_; ///< Empty: any of the zone.
        core::zone_id zone_;
        std::string route_;
        bool is_warm_ = false;
        bool is_target_ = false;

        auto operator<=>(const cell_key&) const = default;
    };

    rollout_client& client_;
    core::service_id service_;
    std::string version_;
    std::uint64_t rollout_id_ = 0; ///< 0: none runs.
    cell_key key_;
};

/// An entry host's part of roll-outs: which versions of a service a request may
/// be sent to now, and what came of it.
///
/// It permits the target of a running roll-out only by what the leader granted
/// lately, so that a host that is paused or cut off sends to the replaced
/// versions. While a roll-out runs it reports to the leader what it observed.
class rollout_client
{
public:
    explicit rollout_client(context& with);

    void start();

    /// Takes over the roll-outs that a member of the group has told.
    void apply(std::span<const control::rollout> told);

    /// Records that the versions listed now are those of a time for which the
    /// leader has told the roll-outs. Others wait: they may belong to a
    /// roll-out that this host does not know yet.
    void confirm_versions();

    /// \return the roles among which a plain request chooses, first choice
    /// first.
    /// \param target_failed whether the target has failed this request.
    std::vector<control::rollout_role> choose_roles(
        const core::service_id& service, bool target_failed);

    /// \return the endpoints of a service that are not of a role, or to which
    /// nothing may be sent.
    std::set<core::endpoint_id> excluded_endpoints(
        const core::service_id& service, control::rollout_role role) const;

    /// Takes the permission to send a plain request to an endpoint now.
    /// \return nothing when it may not be sent.
    std::optional<send_permission> permit(const known_endpoint& to);

    /// \return the permission to send a stream's call to an engine of its
    /// placement now; nothing when it may not be sent.
    /// \param pinned_version version that began it or has prefilled its prompt;
    /// absent: none has.
    std::optional<send_permission> permit_stream(
        const known_endpoint& to,
        const placement_permission& placement,
        const std::optional<std::string>& pinned_version) const;

    /// Excludes what a stream may not be placed on, when this host places it
    /// without a leader.
    void restrict_local_placement(placement_request& request) const;

    /// \return whether engines of one version only serve a stream.
    bool is_enabled() const;

private:
    friend class rollout_send;

    struct cell
    {
        std::int64_t starts_ = 0;
        std::int64_t good_ = 0;
        std::int64_t bad_ = 0;
        policy::latency_histogram latencies_;
    };

    /// What this host keeps of a running roll-out.
    struct running_rollout
    {
        policy::exposure_allotment allotment_;
        core::time_point granted_until_; ///< Of the last grant.
        core::time_point lease_until_;   ///< For the switching phase.
        std::map<rollout_send::cell_key, cell> cells_;
        std::set<rollout_send::cell_key> changed_; ///< Since the last report.
        bool sends_all_ = true;                    ///< With the next report.
        std::set<std::string> routes_;
        std::int64_t sends_since_report_ = 0;
        double sends_per_s_ = 0; ///< Running mean.
    };

    using version_key = std::pair<core::service_id, std::string>;

    void update_listed_versions();
    const control::rollout* find(const core::service_id& service) const;
    running_rollout* find_running(
        const core::service_id& service, std::uint64_t id);
    bool is_version_allowed(
        const core::service_id& service, const std::string& version) const;
    bool has_lease(const control::rollout& item, core::time_point now) const;
    bool may_use_replaced(
        const control::rollout& item, core::time_point now) const;
    policy::trial_endpoints choose_trial(const control::rollout& item) const;
    double exposure_share() const;
    std::int64_t count_baseline_running(const control::rollout& item) const;

    awaitable<void> report_loop();
    awaitable<void> report_once(core::host_id leader);
    rollout_service_report make_report(
        const control::rollout& item,
        running_rollout& state,
        core::time_point now);
    void apply_reply(
        const rollout_service_reply& reply, core::time_point asked_at);

    context& with_;
    std::map<core::service_id, control::rollout> rollouts_; ///< Latest of each.
    std::map<core::service_id, running_rollout> running_;
    std::map<core::service_id, std::set<std::string>> listed_versions_;
    std::map<core::service_id, std::set<std::string>> confirmed_versions_;
    std::map<version_key, std::int64_t> active_sends_;
    std::uint64_t sequence_ = 0; ///< Of the last report.
    std::minstd_rand random_;
};

} // namespace poplarroute::node
