#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <variant>

#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Reserves decode memory before a prefill starts. The recommended policy.
struct reserve_first
{
};

/// Evaluated alternative: if no decode memory is free, starts the prefill when
/// enough is expected to become free before the prefill ends.
/// docs/design/placement.md explains why this policy is not recommended.
struct reserve_ahead
{
};

/// Baseline for comparison: uses the endpoints in turn, regardless of memory.
struct round_robin
{
    std::size_t next_prefill_ = 0;
    std::size_t next_decode_ = 0;
};

/// Baseline for comparison: uses the endpoint that reported the fewest running
/// requests.
struct least_loaded
{
};

/// Baseline for comparison: starts the prefill at once and chooses the decode
/// endpoint after it.
struct prefill_first
{
};

using pool_policy = std::variant<
    reserve_first,
    reserve_ahead,
    round_robin,
    least_loaded,
    prefill_first>;

/// Parses a policy's name from the settings.
/// \param out receives the policy.
/// \return whether the name is known.
bool parse_policy(std::string_view name, pool_policy& out);

/// \return whether the policy places requests only where the endpoint_ledger
/// has free memory, or expects it to become free.
bool checks_memory(const pool_policy& policy);

/// Chooses an endpoint by a baseline policy, without checking its memory.
/// \param candidates endpoints that can do the work; not empty.
/// \param running number of requests at each endpoint by its last report.
/// \param prefill true to choose the prefill endpoint, false for the decode
/// endpoint.
core::endpoint_id choose_without_memory_check(
    pool_policy& policy,
    std::span<const core::endpoint_id> candidates,
    const std::map<core::endpoint_id, std::int64_t>& running,
    bool prefill);

} // namespace poplarroute::policy
