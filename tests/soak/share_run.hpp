#pragma once

#include <cstdint>

#include "tests/soak/report.hpp"

namespace poplarroute::tests::soak
{

/// Runs the hosts' shares of one account's limit in a simulation: charges;
/// token transfers that are lost or late; refunds; restarts; configurations
/// that change the limit and the hosts; hosts that learn of them late or are
/// partitioned.
///
/// Checked throughout, by one token bucket for the account over all hosts: no
/// account gets more than its rate and burst.
/// \param seed of the run's random numbers.
/// \param steps number of steps, of 5 ms of simulated time each.
/// \param counts incremented for faults injected and operations completed.
/// \throws check_failure for the first check that fails.
void run_share(std::uint64_t seed, std::uint64_t steps, event_counts& counts);

} // namespace poplarroute::tests::soak
