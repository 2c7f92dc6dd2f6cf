#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// An endpoint of a plain service as the platform's list describes it.
struct plain_endpoint
{
    core::endpoint_id name_;
    core::zone_id zone_;
    std::int64_t slots_ = 1;
    bool usable_ = true;                 ///< Not leaving, its zone not out.
    std::int64_t starts_per_second_ = 0; ///< This host's part, while cold.
};

/// How one call to an endpoint went.
enum class call_outcome
{
    answered, ///< With a success.
    errored,  ///< With an error of the endpoint's own.
    shed,     ///< Refused for want of room; not run.
    broken,   ///< The connection was lost, or nothing came in time.
    unreachable,
};

/// Spreads the calls to one plain service over its endpoints.
///
/// Load: many short calls from many independent hosts. Of two endpoints drawn
/// at random it takes the less loaded one, by this host's own calls in flight
/// and the reported load (M. Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", 2001). Endpoints that fail, stop responding or
/// fail much more often than the others are ejected for a while, never more
/// than half of them.
class plain_balancer
{
public:
    explicit plain_balancer(std::uint64_t seed);

    void set_endpoints(std::span<const plain_endpoint> endpoints);

    /// Chooses an endpoint and counts the call as begun.
    /// \param zone preferred a little.
    /// \param avoid endpoints that failed this call.
    std::optional<core::endpoint_id> begin(
        const core::zone_id& zone,
        const std::set<core::endpoint_id>& avoid,
        core::time_point now);

    /// A call that began has ended.
    void end(
        const core::endpoint_id& name,
        call_outcome outcome,
        core::time_point began,
        core::time_point now);

    /// Records the load that an endpoint reported with an answer.
    void record_load(
        const core::endpoint_id& name,
        std::int64_t running,
        std::int64_t waiting,
        core::time_point now);

    bool empty() const
    {
        return endpoints_.empty();
    }

private:
    struct state
    {
        plain_endpoint facts_;
        std::int64_t own_ = 0; ///< Calls of this host under way.
        std::int64_t told_ = 0;
        core::time_point told_at_;
        core::time_point progress_at_; ///< Last answer, or first call begun.
        core::time_point out_until_;
        core::duration out_for_;
        int failures_ = 0; ///< In a row.
        double errors_ = 0;
        double latency_ms_ = 0;
        std::int64_t seen_ = 0;
        std::deque<core::time_point> starts_;
    };

    bool healthy(const state& item, core::time_point now) const;
    double score(
        const state& item,
        const core::zone_id& zone,
        core::time_point now) const;
    void leave_out(state& item, core::time_point now);
    bool stands_out(const state& item) const;

    std::map<core::endpoint_id, state> endpoints_;
    std::mt19937_64 random_;
};

} // namespace poplarroute::policy
