#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// The leader's account of how many requests may reach the target of one
/// roll-out.
///
/// Load: hosts ask for allotments five times a second, each for a few
/// requests. Only what a majority has recorded as reserved is granted, and a
/// new leader counts all that was reserved as used, so lost leaders, hosts and
/// replies never raise the number of requests past the bound.
class exposure_ledger
{
public:
    /// \param share of the service's requests that may go to the target.
    /// \param slack further requests that may.
    /// \param reserved_before what is in the replicated log when this leader
    /// begins.
    exposure_ledger(
        double share, std::int64_t slack, std::int64_t reserved_before);

    /// Sets the number of requests of the service that hosts have sent since
    /// the order, to either role. A lower number than before is ignored.
    void set_total(std::int64_t total);

    /// \return what may be recorded in the replicated log as reserved next;
    /// nothing when what is reserved suffices or the bound is reached. It grows
    /// in blocks, so that the log takes a few entries a second at most.
    std::optional<std::int64_t> next_reservation() const;

    /// Records that the reservation was committed.
    void reserved(std::int64_t reserved);

    /// Takes requests from what is reserved and not granted yet.
    /// \return at most `wanted`.
    std::int64_t grant(std::int64_t wanted);

    /// Makes requests that expired unused at a host available again. A repeated
    /// or late report changes nothing, and what a process had returned before
    /// its first report to this leader is not counted.
    /// \param epoch of the host's process.
    /// \param returned exposure_allotment::returned() of that process.
    void set_returned(
        const core::host_id& host, std::uint64_t epoch, std::int64_t returned);

    /// \return the requests that may reach the target by now.
    std::int64_t bound() const;

    /// \return what is reserved and not granted.
    std::int64_t available() const;

private:
    double share_;
    std::int64_t slack_;
    std::int64_t total_ = 0;
    std::int64_t reserved_;
    std::int64_t used_; ///< Granted and not returned.
    std::map<std::pair<core::host_id, std::uint64_t>, std::int64_t> returned_;
};

/// A host's permission to send requests to the target of one roll-out.
///
/// Load: a host that sees between a few and a hundred requests of the service a
/// second, may be paused at any time and may lose contact to the leader.
class exposure_allotment
{
public:
    /// Adds requests that the leader granted.
    /// \param expires_at counted from the time at which this host asked.
    void grant(std::int64_t requests, core::time_point expires_at);

    /// Takes one request from the grants that have not expired, first from the
    /// one that expires first.
    /// \return whether a request may go to the target now.
    bool take(core::time_point now);

    /// \param expected_requests of the service at this host within the life of
    /// a grant.
    /// \param share of them that may go to the target.
    /// \return how many requests to ask the leader for; at least one while
    /// requests are expected and no grant is left.
    std::int64_t wanted(
        std::int64_t expected_requests, double share, core::time_point now);

    /// \return how many granted requests have expired unused since this process
    /// started, for exposure_ledger::set_returned().
    std::int64_t returned(core::time_point now);

private:
    struct granted_requests
    {
        std::int64_t requests_;
        core::time_point expires_at_;
    };

    void expire(core::time_point now);

    std::deque<granted_requests> grants_; ///< Ordered by expires_at_.
    std::int64_t returned_ = 0;
};

} // namespace poplarroute::policy
