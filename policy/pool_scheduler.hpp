#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "policy/endpoint_ledger.hpp"
#include "policy/service_time_estimator.hpp"
#include "policy/fair_queue.hpp"
#include "policy/pool_policy.hpp"
#include "policy/pool_types.hpp"
#include "policy/prefill_timeline.hpp"
#include "policy/prefix_index.hpp"

namespace poplarroute::policy
{

/// What an operator is shown of one endpoint.
struct endpoint_status
{
    core::endpoint_id name_;
    std::int64_t used_pieces_ = 0;
    std::int64_t pieces_ = 0;
    std::int64_t running_ = 0;
    std::int64_t window_ = 0;
    bool usable_ = false;
};

/// A place that is given, as it is handed over or renewed.
struct running_place
{
    core::attempt_id attempt_;
    core::endpoint_id decode_;
    std::int64_t pieces_ = 0;
};

/// What the scheduler has done since its start.
struct pool_counts
{
    std::uint64_t granted_ = 0;
    std::uint64_t promised_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t orphans_ = 0;
    std::uint64_t expired_ = 0;
};

/// Decides for all endpoints of one service in one availability zone, at the
/// host that owns them.
///
/// Pure: time comes in with each call, and decisions go out as actions.
class pool_scheduler
{
public:
    /// \param policy how places are chosen.
    /// \param grants_from nothing is granted before, while another host's
    /// lease on the pool may still run.
    pool_scheduler(pool_policy policy, core::time_point grants_from);

    /// Takes over the endpoints as the configuration now has them.
    std::vector<pool_action> set_endpoints(
        std::span<const endpoint_facts> endpoints, core::time_point now);

    /// Ends the wait for another host's lease, since that host has handed
    /// the pool over.
    void allow_grants(core::time_point now);

    /// \return the places that are given, for a successor.
    std::vector<running_place> running_places() const;

    /// Takes a request in; it is granted, refused or kept waiting.
    std::vector<pool_action> ask(want item, core::time_point now);

    /// Says that a promised request's prefill is done.
    /// \return a confirmation at once or later; a grant with another decode
    /// endpoint for a policy that places it only now.
    std::vector<pool_action> place_decode(
        const core::attempt_id& attempt, core::time_point now);

    /// Says that the decode side has taken the prefill's result over, so that
    /// the prefill side's memory is free.
    std::vector<pool_action> transferred(
        const core::attempt_id& attempt, core::time_point now);

    /// Ends a request, granted or waiting.
    std::vector<pool_action> end(const ending& how, core::time_point now);

    /// Hears that an entry host still runs an attempt on an endpoint.
    void renew(
        const core::attempt_id& attempt,
        const core::endpoint_id& decode,
        std::int64_t pieces,
        core::time_point now);

    /// Takes in an endpoint's report.
    std::vector<pool_action> report(
        const endpoint_report& from, core::time_point now);

    /// Notes that a connection to an endpoint was lost.
    void doubt(const core::endpoint_id& endpoint);

    /// Notes that an endpoint did not answer the owner's question.
    void no_report(const core::endpoint_id& endpoint, core::time_point now);

    /// Frees what belongs to a host's process that is gone.
    /// \param host whose attempts end.
    /// \param incarnation those of this one and earlier ones.
    std::vector<pool_action> host_gone(
        const core::host_id& host,
        std::uint64_t incarnation,
        core::time_point now);

    /// Lets time pass: refuses what has become too late, and expires grants
    /// that no entry host renews.
    std::vector<pool_action> tick(core::time_point now);

    std::vector<endpoint_status> status(core::time_point now) const;

    /// \return the boot id an endpoint last reported; empty if none.
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
    /// A request that has been given a place.
    struct running_request
    {
        want item_;
        core::endpoint_id prefill_;
        core::endpoint_id decode_;
        bool waits_for_decode_ = false; ///< Prefilled, memory not yet free.
        core::time_point renewed_at_;
    };

    /// A place that a request could be given now.
    struct place
    {
        core::endpoint_id prefill_;
        core::endpoint_id decode_;
        core::time_point first_token_;
        core::duration prefill_time_;
        bool promised_ = false;
    };

    using actions = std::vector<pool_action>;

    bool is_call(const want& item) const;
    void dispatch(actions& out, core::time_point now);
    std::optional<place> find_place(const want& item, core::time_point now);
    std::optional<place> find_call(const want& item, core::time_point now);
    std::optional<place> find_prefill(
        const want& item, core::time_point now) const;
    bool choose_decode(const want& item, place& at, core::time_point now) const;
    bool unchecked_place(const want& item, place& at, core::time_point now);
    core::endpoint_id choose_baseline(
        const want& item, bool prefill, core::time_point now);
    void reserve_memory(const want& item, const place& at);
    void give(want item, const place& at, actions& out, core::time_point now);
    void refuse(
        const want& item,
        refusal_reason reason,
        actions& out,
        core::time_point now);
    bool too_late(const want& item, core::time_point now) const;
    core::duration forecast_decode_wait(
        const want& item, std::int64_t ahead, core::time_point now) const;
    core::duration forecast_prefill_wait(
        const want& item, std::int64_t ahead, core::time_point now) const;
    core::duration forecast_wait(const want& item, core::time_point now) const;
    core::duration forecast_first_token(
        const want& item, core::time_point now) const;
    bool could_ever_fit(const want& item) const;
    bool has_usable(const want& item, core::time_point now) const;
    void refuse_placeless(actions& out, core::time_point now);
    core::duration prefill_time(
        const want& item, const core::endpoint_id& on) const;
    void keep_promises(actions& out, core::time_point now);
    void end_prefill(const running_request& about, core::time_point now);
    void notice_cold(
        const running_request& about, const ending& how, core::time_point now);
    void forget(
        const core::attempt_id& attempt, bool freed, core::time_point now);

    pool_policy policy_;
    core::time_point grants_from_;
    std::map<core::endpoint_id, endpoint_ledger> ledgers_;
    std::map<core::endpoint_id, std::int64_t> reported_running_;
    fair_queue queue_;
    std::map<core::attempt_id, running_request> running_;
    prefill_timeline timeline_;
    estimates estimates_;
    prefix_index prefixes_;
    pool_counts counts_;
};

} // namespace poplarroute::policy
