#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "policy/endpoint_ledger.hpp"
#include "policy/fair_queue.hpp"
#include "policy/pool_policy.hpp"
#include "policy/pool_types.hpp"
#include "policy/prefill_timeline.hpp"
#include "policy/prefix_index.hpp"
#include "policy/service_time_estimator.hpp"

namespace poplarroute::policy
{

/// State of one endpoint for operators and metrics.
struct endpoint_status
{
    core::endpoint_id name_;
    std::int64_t used_pieces_ = 0; ///< KV cache blocks in use.
    std::int64_t pieces_ = 0;      ///< KV cache blocks in total.
    std::int64_t running_ = 0;     ///< Number of running requests.
    std::int64_t window_ = 0;      ///< Present limit on concurrent requests.
    bool usable_ = false;          ///< Whether it may be given work.
};

/// A granted placement, as handed over to a new owner or renewed by an entry
/// host.
struct running_placement
{
    core::attempt_id attempt_;
    core::endpoint_id decode_;
    std::int64_t pieces_ = 0;
};

/// Counters since the scheduler's start.
struct pool_counts
{
    std::uint64_t granted_ = 0;
    /// Grants that were made before the decode memory was reserved.
    std::uint64_t promised_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t orphans_ = 0;
    std::uint64_t expired_ = 0; ///< Grants that no entry host renewed.
};

/// Schedules requests onto the endpoints of one service in one availability
/// zone; runs at the host that owns this pool.
///
/// The class does no I/O and reads no clock: callers pass the time to each call
/// and carry out the returned actions.
class pool_scheduler
{
public:
    /// \param policy how placements are chosen.
    /// \param grants_from time before which nothing is granted, since another
    /// host's lease on the pool may not have expired yet.
    pool_scheduler(pool_policy policy, core::time_point grants_from);

    /// Applies the endpoints of a changed configuration.
    std::vector<pool_action> set_endpoints(
        std::span<const endpoint_config> endpoints, core::time_point now);

    /// Allows grants from now on: the previous owner has handed the pool over,
    /// so there is no need to wait for its lease to expire.
    void allow_grants(core::time_point now);

    /// \return the granted placements, for handing over to the next owner.
    std::vector<running_placement> running_places() const;

    /// Handles a placement request: grants it, refuses it or queues it.
    std::vector<pool_action> ask(pool_request request, core::time_point now);

    /// Settles the decode side of a promised placement after its prefill.
    /// \return a confirmation once the memory is reserved, which may come with
    /// a later call; for a policy that chooses the decode endpoint only now, a
    /// grant that names it.
    std::vector<pool_action> place_decode(
        const core::attempt_id& attempt, core::time_point now);

    /// Handles the end of a KV cache transfer to the decode endpoint: the
    /// memory at the prefill endpoint is free.
    std::vector<pool_action> transferred(
        const core::attempt_id& attempt, core::time_point now);

    /// Handles the end of a granted or waiting request.
    std::vector<pool_action> end(const ending& outcome, core::time_point now);

    /// Renews the grant of an attempt that an entry host still runs. A grant
    /// that this scheduler does not know, such as a previous owner's, is
    /// adopted.
    void renew(
        const core::attempt_id& attempt,
        const core::endpoint_id& decode,
        std::int64_t pieces,
        core::time_point now);

    /// Handles an endpoint's report.
    std::vector<pool_action> report(
        const endpoint_report& received, core::time_point now);

    /// Handles the loss of a connection to an endpoint.
    void on_connection_lost(const core::endpoint_id& endpoint);

    /// Handles a failed query for an endpoint's report.
    void on_report_failed(
        const core::endpoint_id& endpoint, core::time_point now);

    /// Releases all attempts of an entry host's process that has ended.
    /// \param host the entry host.
    /// \param incarnation the last of its processes that is known to have
    /// ended; attempts of later ones stay.
    std::vector<pool_action> host_gone(
        const core::host_id& host,
        std::uint64_t incarnation,
        core::time_point now);

    /// Handles the passage of time: refuses waiting requests that would miss
    /// their first-token deadline, and expires grants that no entry host
    /// renews.
    std::vector<pool_action> tick(core::time_point now);

    std::vector<endpoint_status> status(core::time_point now) const;

    /// \return the boot id that an endpoint last reported; empty if none.
    std::string boot_of(const core::endpoint_id& endpoint) const;

    prefix_index& prefixes()
    {
        return prefixes_;
    }

    const pool_counts& counts() const
    {
        return counts_;
    }

    std::size_t waiting() const
    {
        return queue_.size();
    }

    std::size_t running() const
    {
        return running_.size();
    }

private:
    /// A request with a granted placement.
    struct running_request
    {
        pool_request request_;
        core::endpoint_id prefill_;
        core::endpoint_id decode_;
        /// Whether the prefill is done and the decode memory is not free yet.
        bool awaits_decode_memory_ = false;
        core::time_point renewed_at_;
    };

    /// A placement that a request could be granted now.
    struct candidate_placement
    {
        core::endpoint_id prefill_;
        core::endpoint_id decode_;
        core::time_point first_token_at_;
        core::duration prefill_time_;
        bool promised_ = false;
    };

    using actions = std::vector<pool_action>;

    /// \return whether the request is a call to a plain service.
    bool is_call(const pool_request& request) const;

    void dispatch(actions& out, core::time_point now);
    std::optional<candidate_placement> find_placement(
        const pool_request& request, core::time_point now);
    std::optional<candidate_placement> find_call_placement(
        const pool_request& request, core::time_point now);
    std::optional<candidate_placement> find_prefill_placement(
        const pool_request& request, core::time_point now) const;
    bool choose_decode(
        const pool_request& request,
        candidate_placement& candidate,
        core::time_point now) const;
    bool choose_baseline_placement(
        const pool_request& request,
        candidate_placement& candidate,
        core::time_point now);
    core::endpoint_id choose_baseline_endpoint(
        const pool_request& request, bool prefill, core::time_point now);
    void reserve_memory(
        const pool_request& request, const candidate_placement& candidate);
    void grant_placement(
        pool_request request,
        const candidate_placement& candidate,
        actions& out,
        core::time_point now);
    void refuse(
        const pool_request& request,
        refusal_reason reason,
        actions& out,
        core::time_point now);
    bool misses_deadline(
        const pool_request& request, core::time_point now) const;

    /// \return expected wait for decode memory, behind a number of requests.
    core::duration forecast_decode_wait(
        const pool_request& request,
        std::int64_t ahead,
        core::time_point now) const;

    /// \return expected wait for a prefill engine, behind a number of requests.
    core::duration forecast_prefill_wait(
        const pool_request& request,
        std::int64_t ahead,
        core::time_point now) const;

    core::duration forecast_wait(
        const pool_request& request, core::time_point now) const;
    core::duration forecast_first_token(
        const pool_request& request, core::time_point now) const;

    /// \return whether an endpoint could serve the request when it is idle.
    bool could_ever_fit(const pool_request& request) const;

    /// \return whether usable endpoints can do both its prefill and its
    /// decoding.
    bool has_usable_endpoints(
        const pool_request& request, core::time_point now) const;

    /// Refuses the waiting requests without usable endpoints.
    void refuse_unplaceable(actions& out, core::time_point now);
    core::duration prefill_time(
        const pool_request& request, const core::endpoint_id& on) const;
    void confirm_promises(actions& out, core::time_point now);
    void release_prefill(const running_request& entry, core::time_point now);
    void detect_cold_endpoints(
        const running_request& entry,
        const ending& outcome,
        core::time_point now);
    void release_attempt(
        const core::attempt_id& attempt, bool freed, core::time_point now);

    pool_policy policy_;
    core::time_point grants_from_;
    std::map<core::endpoint_id, endpoint_ledger> ledgers_;
    std::map<core::endpoint_id, std::int64_t> reported_running_;
    fair_queue queue_;
    std::map<core::attempt_id, running_request> running_;
    prefill_timeline timeline_;
    service_time_estimator estimator_;
    prefix_index prefixes_;
    pool_counts counts_;
};

} // namespace poplarroute::policy
