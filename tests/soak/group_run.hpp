#pragma once

#include <cstdint>

#include "tests/soak/report.hpp"

namespace poplarroute::tests::soak
{

/// Runs a simulated control group with network, process and disk faults:
/// messages are lost, duplicated, delayed and reordered; members are killed
/// between any two disk writes, frozen, partitioned, or lose their disks and
/// are replaced; operators race with changes to the same base version and
/// repeat commands after lost replies.
///
/// Checked throughout: all members apply the same entry at an index; a term
/// has one leader; an acknowledged command is never lost; versions and reads
/// are linearizable; a claim is granted to one attempt.
/// \param seed of the run's random numbers.
/// \param steps number of steps with faults, of 10 ms of simulated time each.
/// \param counts incremented for faults injected and operations completed.
/// \throws check_failure for the first check that fails.
void run_group(std::uint64_t seed, std::uint64_t steps, event_counts& counts);

} // namespace poplarroute::tests::soak
