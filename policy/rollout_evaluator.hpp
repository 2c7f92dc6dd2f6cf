#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "policy/latency_histogram.hpp"

namespace poplarroute::policy
{

/// One cell of what hosts observed during a roll-out. Its counts are
/// cumulative since the order.
struct rollout_observation
{
    core::host_id host_; ///< That sent the requests.
    core::endpoint_id endpoint_;
    core::zone_id zone_; ///< Of the endpoint.
    std::string route_;
    bool is_target_ = false;
    bool is_warm_ = false;    ///< Endpoint neither cold nor just started.
    std::int64_t starts_ = 0; ///< Requests sent.
    std::int64_t good_ = 0;
    std::int64_t bad_ = 0;        ///< Failures of the endpoint's own.
    latency_histogram latencies_; ///< Of good answers; streams: first event.
    core::time_point updated_at_;
};

/// What a roll-out may cost, and how long it may take.
struct rollout_bounds
{
    double share_ = 0.1;             ///< Of the service's requests.
    std::int64_t slack_ = 50;        ///< Requests beyond that share.
    core::duration rollback_{5'000}; ///< After the fiftieth bad answer.
    core::duration deadline_;        ///< Since the order.
};

enum class rollout_verdict
{
    keep_trying,
    switch_over,
    roll_back
};

/// A verdict and the figures that led to it.
struct rollout_decision
{
    rollout_verdict verdict_ = rollout_verdict::keep_trying;
    std::string reason_;
};

/// Decides whether a new version of a service is as good as the versions that
/// it replaces.
///
/// Load: services with 20 to 250 requests a second on up to 300 hosts and 64
/// routes, of which the target gets a tenth; deadlines from some seconds to a
/// day. The target's failures and slow answers are compared with those of the
/// baseline over the same time, on the same routes, hosts and zones. Evidence
/// that rests on a single endpoint, host or zone does not decide while others
/// show the target to be good.
class rollout_evaluator
{
public:
    /// Counts of one group of cells.
    struct tally
    {
        std::int64_t good_ = 0;
        std::int64_t bad_ = 0;
        latency_histogram latencies_; ///< Of warm endpoints.
    };

    /// Counts of one role on one route.
    struct role_tally
    {
        tally total_;
        std::map<core::endpoint_id, tally> by_endpoint_; ///< Target only.
        std::map<core::host_id, tally> by_host_;
        std::map<core::zone_id, tally> by_zone_;
    };

    struct route_tally
    {
        role_tally target_;
        role_tally baseline_;
    };

    using route_tallies = std::map<std::string, route_tally>;

    explicit rollout_evaluator(rollout_bounds bounds);

    /// Judges the target by what all hosts have observed so far.
    /// \param cells of all hosts; their counts never decrease, except when a
    /// cell disappears.
    /// \param elapsed since the order.
    /// \param is_switching whether the roll-out is in the switching phase,
    /// where a roll-back is the only further verdict. \param now of the clock
    /// that stamps the cells.
    rollout_decision evaluate(
        std::span<const rollout_observation> cells,
        core::duration elapsed,
        bool is_switching,
        core::time_point now);

    /// \return the shortest deadline for which a decision and the switch can
    /// be made in time.
    static core::duration min_deadline();

    /// \return how long after the order the switch begins if there is enough
    /// evidence.
    core::duration switch_at() const;

    /// \param requests_per_second of the service.
    /// \return the share of its requests to send to the target on trial. Half
    /// of the bound is kept for requests that reach a version that turns bad
    /// during the switch.
    double trial_share(double requests_per_second) const;

    /// \param switched_at when the switch began, since the order.
    /// \param elapsed since the order.
    /// \return the share of requests to send to the target. It grows over at
    /// most two seconds, so that a version that fails under load is found
    /// before all requests reach it.
    double switch_share(
        core::duration switched_at, core::duration elapsed) const;

    /// \return how long after the order the switch can begin at the latest.
    core::duration last_switch_at() const;

private:
    struct snapshot
    {
        core::time_point at_;
        route_tallies routes_;
    };

    /// Snapshots from which the counts of the last span of time are derived.
    struct window
    {
        core::duration length_;
        std::deque<snapshot> snapshots_;

        void remember(const route_tallies& routes, core::time_point now);
        std::optional<route_tallies> recent(
            const route_tallies& routes, core::time_point now) const;
    };

    std::optional<std::string> find_fault(
        const route_tallies& routes,
        const std::vector<route_tallies>& recent,
        bool is_switching) const;
    std::string missing_evidence(
        const route_tallies& routes,
        const std::vector<route_tallies>& recent) const;
    rollout_decision conclude(
        const route_tallies& routes,
        const std::vector<route_tallies>& recent,
        core::duration elapsed) const;
    std::string find_doubt(
        const route_tallies& routes,
        const std::vector<route_tallies>& recent) const;

    rollout_bounds bounds_;
    std::vector<window> windows_;
};

} // namespace poplarroute::policy
