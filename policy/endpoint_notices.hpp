#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// What an endpoint says with an answer about further calls.
struct endpoint_notice
{
    bool leaving_ = false; ///< It takes no new requests until it restarts.
    /// It takes no calls from this host for this time.
    std::optional<core::duration> stay_away_;
    /// Requests per second that it takes from all hosts together; nothing: it
    /// names no limit.
    std::optional<double> limit_;
    bool is_limit_readable_ = true;
};

/// What a call to an endpoint is for.
enum class call_purpose
{
    request,      ///< Work for a caller, the prefill of a prompt included.
    housekeeping, ///< Reports, orders, probes, and the release of memory.
};

/// An endpoint's entry in an endpoint list.
struct listed_state
{
    core::endpoint_id name_;
    bool leaving_ = false;
    std::int64_t started_at_ms_ = 0; ///< Unix time of its start; 0: unknown.
};

/// What endpoints have said of themselves in their answers to this host, and
/// which calls to them follow from it.
///
/// Load: endpoints that are replaced or overloaded while requests arrive. An
/// answer tells it sooner than the endpoint list does, also to a host that
/// reaches neither the list nor a leader. An endpoint that is leaving gets no
/// new request until it has restarted. One that turned this host away gets no
/// call until the time is over; then calls return gradually, so that it is not
/// overrun at once by everything that waited.
class endpoint_notices
{
public:
    endpoint_notices() = default;

    /// \param seed seeds the random part of the time for which an endpoint is
    /// left alone, so that hosts do not return at the same time.
    explicit endpoint_notices(std::uint64_t seed);

    /// Records what an endpoint said.
    /// \param from the endpoint as it is listed now.
    /// \return whether the endpoint was not known to be leaving before.
    bool record(
        const listed_state& from,
        const endpoint_notice& notice,
        core::time_point now);

    /// Compares the notices with an endpoint list, whose entries tell when an
    /// endpoint has restarted.
    /// \param list as its source states it, without this host's notices.
    void update(std::span<const listed_state> list, core::time_point now);

    /// \return the endpoints that have said something that is kept.
    std::vector<core::endpoint_id> endpoints() const;

    /// \return whether an endpoint said that it is leaving.
    bool is_leaving(const core::endpoint_id& name, core::time_point now) const;

    /// \return when an endpoint that turned this host away takes calls again;
    /// nothing if it takes them now.
    std::optional<core::time_point> turned_away_until(
        const core::endpoint_id& name, core::time_point now) const;

    /// \return whether a call may be sent to an endpoint now.
    bool may_send(
        const core::endpoint_id& name,
        call_purpose purpose,
        core::time_point now) const;

    /// Records that a call is sent to an endpoint.
    void record_send(const core::endpoint_id& name, core::time_point now);

    /// \return the endpoints that are leaving and that no list has shown as
    /// such yet.
    std::vector<core::endpoint_id> unlisted_leaving(core::time_point now) const;

private:
    struct endpoint_state
    {
        bool leaving_ = false;
        std::int64_t started_at_ms_ = 0; ///< When it said that it is leaving.
        bool listed_as_leaving_ = false; ///< Since it said so.
        /// When a list showed it as ready after one that showed it as leaving
        /// or gone; 0: none has.
        core::time_point ready_again_at_;
        core::time_point turned_away_until_;
        std::int64_t sends_since_return_ = 0;
        core::time_point last_listed_at_; ///< Or when it was first recorded.
    };

    void forget_unlisted(core::time_point now);

    std::map<core::endpoint_id, endpoint_state> endpoints_;
    std::minstd_rand random_;
};

} // namespace poplarroute::policy
