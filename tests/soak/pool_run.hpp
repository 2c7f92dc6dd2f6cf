#pragma once

#include <cstdint>

#include "tests/soak/report.hpp"

namespace poplarroute::tests::soak
{

/// Runs an owner's scheduler against engines that keep their own account of
/// their memory: engines restart cold, reports lag, endings are lost or late,
/// entry hosts die, endpoints leave, and the owner itself stalls and begins
/// again from the reports.
///
/// Checked throughout: an engine's memory is never given out twice, an engine
/// in cold start gets no more than it can bear, a leaving endpoint gets no new
/// work, and every request is granted or refused in time; at the end no memory
/// is held.
/// \throws broken with the first thing found wrong.
void run_pool(std::uint64_t seed, std::uint64_t steps, counts& into);

} // namespace poplarroute::tests::soak
