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
    core::time_point latest_; ///< If it generates all that it may.

    /// \return the time expected of one that has not ended by now.
    core::time_point seen_from(core::time_point now) const;
};

/// What an owner has given out of one endpoint, and what the endpoint itself
/// says it holds. The larger of both counts, so that it errs low.
class endpoint_ledger
{
public:
    endpoint_ledger(endpoint_facts facts, core::time_point now);

    const endpoint_facts& facts() const
    {
        return facts_;
    }

    void set_facts(endpoint_facts facts);

    /// \return whether a request of so many pieces fits now.
    bool fits(std::int64_t pieces, bool alone) const;

    /// Takes memory for an attempt.
    /// \param until when it is expected to be free again.
    void reserve(
        const core::attempt_id& attempt,
        std::int64_t pieces,
        bool alone,
        expected_end until);

    /// Sets memory aside that is expected to be free soon. Nothing else is
    /// given out of it before.
    void promise(
        const core::attempt_id& attempt,
        std::int64_t pieces,
        expected_end until);

    /// Turns promises into reservations where the memory is free now, in the
    /// order in which they were made.
    /// \return the attempts that have their memory now.
    std::vector<core::attempt_id> keep_promises(core::time_point now);

    /// Takes memory again that an entry host says it was granted before,
    /// whether it fits or not.
    void adopt(
        const core::attempt_id& attempt,
        std::int64_t pieces,
        core::time_point now);

    /// Frees an attempt's memory.
    /// \param freed whether the endpoint is known to hold nothing of it; else
    /// it counts until reports say so.
    /// \return whether it held any.
    bool release(
        const core::attempt_id& attempt, bool freed, core::time_point now);

    /// Notes that a connection to the endpoint was lost: it may have
    /// restarted. Until its next report it gets next to nothing.
    void doubt();

    /// Notes that an attempt completed, which widens the window.
    void completed(core::time_point now);

    /// Notes that the endpoint answers as slowly as a cold one.
    void cooled(core::time_point now);

    /// Notes that the endpoint broke: it may be cold when it is back.
    void broke(core::time_point now);

    /// Takes in a report.
    /// \return attempts that the endpoint holds and no live request has
    /// claimed for a while.
    std::vector<core::attempt_id> on_report(
        const endpoint_report& report, core::time_point now);

    /// Notes that no report could be had.
    void unreachable(core::time_point now);

    /// \return whether reports come in and it may be given work.
    bool usable(core::time_point now) const;

    std::int64_t used_pieces() const;
    std::int64_t promised_pieces() const;
    std::int64_t running() const;
    std::size_t promises() const
    {
        return promised_.size();
    }

    /// \return when the memory a request needs should be free, or nothing
    /// when it never will be.
    std::optional<core::time_point> free_at(
        std::int64_t pieces, core::time_point now) const;

    const ramp& window() const
    {
        return ramp_;
    }

    const std::string& boot() const
    {
        return boot_;
    }

    bool holds(const core::attempt_id& attempt) const
    {
        return given_.count(attempt) != 0;
    }

private:
    struct reservation
    {
        std::int64_t pieces_ = 0;
        expected_end until_;
    };

    /// Memory that only the endpoint's report speaks of.
    struct foreign
    {
        std::int64_t pieces_ = 0;
        core::time_point seen_first_;
    };

    struct promised
    {
        core::attempt_id attempt_;
        reservation wanted_;
    };

    void restarted(core::time_point now);
    bool has_room(std::int64_t pieces) const;

    endpoint_facts facts_;
    ramp ramp_;
    std::string boot_;
    std::map<core::attempt_id, reservation> given_;
    std::map<core::attempt_id, foreign> foreign_;
    std::deque<promised> promised_;
    std::map<core::attempt_id, core::time_point> released_;
    std::optional<core::attempt_id> alone_;
    core::time_point reported_at_;
    bool reported_ = false;
    bool doubted_ = false;
    core::time_point broken_until_;
};

} // namespace poplarroute::policy
