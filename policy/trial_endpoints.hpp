#pragma once

#include <cstdint>
#include <set>
#include <span>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Endpoints of a roll-out's target that get the trial's requests now.
struct trial_endpoints
{
    std::set<core::endpoint_id> names_;
    /// Share of a service's requests with which each of these endpoints has as
    /// many as after the switch; at most max_trial_share.
    double share_ = 0;
};

/// Largest share of a host's requests that go to the target during a trial,
/// also when the target has few endpoints.
inline constexpr double max_trial_share = 0.5;

/// Chooses few endpoints of the target, the same at each host, so that each of
/// them carries what it carries after the switch although the trial gets a
/// small share of the requests.
///
/// Load: versions that fail only under load, or on some of their endpoints. All
/// endpoints have their turn, in an order that depends on the roll-out.
/// \param targets the target's usable endpoints.
/// \param share of the service's requests that the trial may take.
/// \param elapsed since the order.
trial_endpoints choose_trial_endpoints(
    std::span<const core::endpoint_id> targets,
    std::uint64_t rollout_id,
    double share,
    core::duration elapsed);

} // namespace poplarroute::policy
