#pragma once

#include <cstdint>

#include "tests/soak/report.hpp"

namespace poplarroute::tests::soak
{

/// Runs a pool owner's scheduler against simulated engines: engines restart
/// cold, reports lag, end messages are lost or late, entry hosts die, endpoints
/// leave, and the owner itself stalls and rebuilds its state from the reports.
///
/// Checked throughout: an engine's memory is never allocated twice, an engine
/// in cold start is not overloaded, a leaving endpoint gets no new work, and
/// every request is granted or refused in time; at the end no memory is held.
/// \param seed of the run's random numbers.
/// \param steps number of steps with faults, of 10 ms of simulated time each.
/// \param counts incremented for faults injected and operations completed.
/// \throws check_failure for the first check that fails.
void run_pool(std::uint64_t seed, std::uint64_t steps, event_counts& counts);

} // namespace poplarroute::tests::soak
