#pragma once

#include <cstdint>

#include "tests/soak/report.hpp"

namespace poplarroute::tests::soak
{

/// Runs many hosts' shares of accounts' limits: charges, gifts that are lost,
/// doubled or late, refunds, restarts, configurations that change limits and
/// hosts, and hosts that hear of them late or are cut off.
///
/// Checked throughout, by one strict bucket per account over all hosts: no
/// account gets more than its rate and burst.
/// \throws broken with the first thing found wrong.
void run_share(std::uint64_t seed, std::uint64_t steps, counts& into);

} // namespace poplarroute::tests::soak
