#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "policy/pool_types.hpp"
#include "policy/slow_start.hpp"

namespace poplarroute::policy
{

/// When a request is expected to end.
struct expected_end
{
    core::time_point likely_;
    core::time_point latest_; ///< If it generates its maximum of tokens.

    /// \return the expected end of a request that still runs at a given time.
    core::time_point as_of(core::time_point now) const;
};

/// Tracks the memory and the requests of one endpoint: those that the pool's
/// owner has reserved, and those that the endpoint reports. What either lists
/// counts as used, so that free capacity is never overestimated.
class endpoint_ledger
{
public:
    endpoint_ledger(endpoint_config config, core::time_point now);

    const endpoint_config& config() const
    {
        return config_;
    }

    void set_config(endpoint_config config);

    /// \return whether a request of this size fits now.
    /// \param pieces KV cache blocks that it needs.
    /// \param alone whether nothing else may run beside it.
    bool fits(std::int64_t pieces, bool alone) const;

    /// Reserves memory for an attempt.
    /// \param until when the memory is expected to be free again.
    void reserve(
        const core::attempt_id& attempt,
        std::int64_t pieces,
        bool alone,
        expected_end until);

    /// Promises an attempt memory that is expected to be free soon. Until all
    /// promises are confirmed, no other request fits.
    void promise(
        const core::attempt_id& attempt,
        std::int64_t pieces,
        expected_end until);

    /// Turns promises into reservations while the memory is free, in the order
    /// in which they were made.
    /// \return the attempts whose memory is reserved now.
    std::vector<core::attempt_id> confirm_promises(core::time_point now);

    /// Reserves memory that an entry host reports as granted by a previous
    /// owner, whether it fits or not.
    void adopt(
        const core::attempt_id& attempt,
        std::int64_t pieces,
        core::time_point now);

    /// Releases an attempt's memory.
    /// \param freed whether the endpoint is known to hold nothing for the
    /// attempt; otherwise its memory counts as used until reports no longer
    /// list it.
    /// \return whether the attempt had a reservation.
    bool release(
        const core::attempt_id& attempt, bool freed, core::time_point now);

    /// Handles the loss of a connection to the endpoint, which may have
    /// restarted: limits it to one concurrent request until its next report.
    void on_connection_lost();

    /// Widens the slow-start window after a completed attempt.
    void on_completed(core::time_point now);

    /// Resets the slow-start window if the endpoint was warm, since it responds
    /// as slowly as a cold one.
    void on_cold_response(core::time_point now);

    /// Handles a failure of the endpoint: pauses it briefly and resets its
    /// slow-start window, since it may be cold when it is back.
    void on_failure(core::time_point now);

    /// Handles the endpoint's report.
    /// \return attempts that the endpoint holds memory for and that no live
    /// request has claimed within the grace period.
    std::vector<core::attempt_id> on_report(
        const endpoint_report& report, core::time_point now);

    /// Handles a failed query for a report: once the last report is too old,
    /// the endpoint counts as restarted.
    void on_report_failed(core::time_point now);

    /// \return whether the endpoint may be given work: its last report is
    /// recent, and it is neither draining nor paused after a failure.
    bool usable(core::time_point now) const;

    /// \return KV cache blocks that are reserved or unclaimed.
    std::int64_t used_pieces() const;
    std::int64_t promised_pieces() const;

    /// \return number of attempts that hold memory.
    std::int64_t running() const;

    std::size_t promises() const
    {
        return promised_.size();
    }

    /// \return when a request of this size is expected to fit; nothing if it is
    /// not foreseeable.
    std::optional<core::time_point> free_at(
        std::int64_t pieces, core::time_point now) const;

    /// \return the limit on concurrent requests.
    const slow_start& request_limit() const
    {
        return slow_start_;
    }

    /// \return the boot id last reported; empty before the first report.
    const std::string& boot() const
    {
        return boot_;
    }

    bool holds(const core::attempt_id& attempt) const
    {
        return reserved_.count(attempt) != 0;
    }

private:
    struct reservation
    {
        std::int64_t pieces_ = 0;
        expected_end until_;
    };

    /// Memory in use at the endpoint without a reservation: either only a
    /// report lists it, or it was released without confirmation.
    struct unclaimed_allocation
    {
        std::int64_t pieces_ = 0;
        core::time_point first_seen_at_; ///< First reported, or released.
    };

    struct promised_reservation
    {
        core::attempt_id attempt_;
        reservation reservation_;
    };

    /// Resets the slow-start window and drops unclaimed memory, which a restart
    /// frees.
    void treat_as_restarted(core::time_point now);
    bool has_room(std::int64_t pieces) const;

    endpoint_config config_;
    slow_start slow_start_;
    std::string boot_;
    std::map<core::attempt_id, reservation> reserved_;
    std::map<core::attempt_id, unclaimed_allocation> unclaimed_;
    std::deque<promised_reservation> promised_;
    std::map<core::attempt_id, core::time_point> recently_released_;
    /// The attempt beside which nothing else may run.
    std::optional<core::attempt_id> exclusive_attempt_;
    core::time_point reported_at_;
    bool reported_ = false;
    bool connection_lost_ = false;
    core::time_point unusable_until_;
};

} // namespace poplarroute::policy
