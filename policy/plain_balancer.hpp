#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "policy/endpoint_speed.hpp"

namespace poplarroute::policy
{

/// An endpoint of a plain service as the platform's list describes it.
struct plain_endpoint
{
    core::endpoint_id name_;
    core::zone_id zone_;
    std::int64_t slots_ = 1; ///< Number of calls that it runs concurrently.
    bool usable_ = true;     ///< Neither leaving nor in a zone out of service.
    /// This host's share of the calls that may start per second while the
    /// endpoint is cold; 0: unlimited.
    std::int64_t starts_per_second_ = 0;
};

/// Outcome of one call to an endpoint.
enum class call_outcome
{
    answered,  ///< The endpoint answered with success.
    errored,   ///< The endpoint answered with an error of its own.
    shed,      ///< The endpoint rejected the call for lack of capacity.
    broken,    ///< The connection was lost, or the answer is not the call's.
    timed_out, ///< No answer came within the time that the call could wait.
    /// The endpoint could not be reached, or another one has its address.
    unreachable,
};

/// Time that a call has left.
struct call_time_left
{
    core::duration objective_; ///< Until its latency objective; 0: none.
    core::duration deadline_;  ///< Until its deadline; 0: none.
};

/// What a balancer knows of an endpoint, for metrics.
struct endpoint_speed_view
{
    core::endpoint_id name_;
    double usual_ms_ = 0;       ///< Of a call; 0: unknown.
    double usual_error_ms_ = 0; ///< Standard error.
    double pace_ = 1;           ///< Expected now; 1: as usual.
    bool is_pace_fresh_ = false;
};

/// Spreads the calls to one plain service over its endpoints.
///
/// Load: many short calls from many independent hosts. Of two endpoints drawn
/// at random it takes the less loaded one, by this host's own calls in flight
/// and the reported load (M. Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", 2001). Endpoints that fail, stop responding or
/// fail much more often than the others are ejected for a while, never more
/// than half of them.
///
/// While endpoints report their pace, it draws three and takes the one on which
/// the call is expected to end first, as far as a random part allows: many
/// hosts know the same reports. When none of the three is expected to answer in
/// the call's time left, it looks at all of them. An endpoint counts as
/// unresponsive only after several times the duration expected of it, so that a
/// slow one keeps the calls that it can answer in time.
class plain_balancer
{
public:
    explicit plain_balancer(std::uint64_t seed);

    void set_endpoints(std::span<const plain_endpoint> endpoints);

    /// Chooses an endpoint for a call and counts the call as in flight.
    /// \param zone availability zone whose endpoints are slightly preferred.
    /// \param avoid endpoints that must not be chosen.
    /// \param left the call's time left, which counts only while endpoints
    /// report their pace.
    /// \return the endpoint; nothing if none can be used.
    std::optional<core::endpoint_id> begin(
        const core::zone_id& zone,
        const std::set<core::endpoint_id>& avoid,
        core::time_point now,
        call_time_left left = {});

    /// Chooses an endpoint for a second run of a call, among the healthy ones
    /// that have a free slot as far as this host knows, and counts the run as
    /// in flight.
    /// \return the endpoint; nothing if none has room.
    std::optional<core::endpoint_id> begin_with_room(
        const core::zone_id& zone,
        const std::set<core::endpoint_id>& avoid,
        core::time_point now,
        call_time_left left = {});

    /// Records the outcome of a call that begin() counted as in flight.
    void end(
        const core::endpoint_id& name,
        call_outcome outcome,
        core::time_point started_at,
        core::time_point now);

    /// Records the load that an endpoint reported with an answer.
    /// \param pace_percent how long work takes there, in percent of the usual;
    /// nothing: unknown.
    void record_load(
        const core::endpoint_id& name,
        std::int64_t running,
        std::int64_t waiting,
        std::optional<std::int64_t> pace_percent,
        core::time_point now);

    bool empty() const
    {
        return endpoints_.empty();
    }

    /// \return the speeds known of the endpoints, in the order of their names.
    std::vector<endpoint_speed_view> speeds(core::time_point now) const;

private:
    struct endpoint_state
    {
        plain_endpoint endpoint_;
        std::int64_t in_flight_ = 0;     ///< Calls of this host.
        std::int64_t reported_load_ = 0; ///< Calls running and waiting.
        core::time_point load_reported_at_;
        core::time_point progress_at_; ///< Last answer, or start after idling.
        core::time_point ejected_until_;
        core::duration ejection_time_;
        int consecutive_failures_ = 0;
        double error_rate_ = 0;           ///< Running mean, 0 to 1.
        double latency_ms_ = 0;           ///< Running mean.
        std::int64_t observed_calls_ = 0; ///< Since the last ejection.
        std::deque<core::time_point> recent_starts_; ///< In the last second.
        endpoint_speed speed_; ///< Time of a call, without queueing.
    };

    /// Endpoints that may be chosen for a call.
    struct candidate_list
    {
        std::vector<endpoint_state*> healthy_;
        std::vector<endpoint_state*> unhealthy_; ///< Ejected or unresponsive.
    };

    bool uses_paces(core::time_point now) const;
    double calls_at(const endpoint_state& item, core::time_point now) const;
    double learned_time(const endpoint_state& item, core::time_point now) const;
    double queueing_factor(
        const endpoint_state& item, core::time_point now) const;
    double service_time(const endpoint_state& item, core::time_point now) const;
    double completion_time(
        const endpoint_state& item, core::time_point now) const;
    core::duration unresponsive_time(
        const endpoint_state& item, core::time_point now) const;
    void record_duration(
        endpoint_state& item, core::duration duration, core::time_point now);
    candidate_list find_candidates(
        const std::set<core::endpoint_id>& avoid, core::time_point now);
    core::endpoint_id start_call(endpoint_state& item, core::time_point now);
    endpoint_state* draw(
        const std::vector<endpoint_state*>& candidates,
        const core::zone_id& zone,
        core::time_point now,
        call_time_left left);
    endpoint_state* draw_two(
        const std::vector<endpoint_state*>& candidates,
        const core::zone_id& zone,
        core::time_point now);
    endpoint_state* draw_by_completion(
        const std::vector<endpoint_state*>& candidates,
        const core::zone_id& zone,
        core::time_point now,
        call_time_left left);
    endpoint_state* draw_in_time(
        const std::vector<endpoint_state*>& candidates,
        core::time_point now,
        call_time_left left);
    bool is_healthy(const endpoint_state& item, core::time_point now) const;
    double score(
        const endpoint_state& item,
        const core::zone_id& zone,
        core::time_point now) const;
    void eject(endpoint_state& item, core::time_point now);
    bool is_error_outlier(const endpoint_state& item) const;

    std::map<core::endpoint_id, endpoint_state> endpoints_;
    std::mt19937_64 random_;
    endpoint_speed common_speed_;                      ///< Of all endpoints.
    std::optional<core::time_point> pace_reported_at_; ///< By any endpoint.
};

} // namespace poplarroute::policy
