#pragma once

#include <cstdint>

#include "tests/soak/report.hpp"

namespace poplarroute::tests::soak
{

/// Runs a control group over a bad network and bad disks: messages lost,
/// doubled, delayed and reordered; members killed between any two writes,
/// frozen, cut off, stripped of their disks and replaced; operators that
/// race under equal numbers and resend after lost answers.
///
/// Checked throughout: what one member applies at an index, all apply; a term
/// has one leader; an acknowledged command is never lost; versions and reads
/// are linearizable; a claim is granted to one attempt.
/// \param seed of everything random in the run.
/// \param steps of ten milliseconds each.
/// \param into counts what happened.
/// \throws broken with the first thing found wrong.
void run_group(std::uint64_t seed, std::uint64_t steps, counts& into);

} // namespace poplarroute::tests::soak
