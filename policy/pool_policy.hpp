#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <variant>

#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Reserves decode memory before a prefill starts. The policy for use.
struct reserve_first
{
};

/// Tried: where no decode memory is free, starts the prefill on a promise of
/// memory that is expected to be free by its end. docs/design/placement.md
/// says why it is not the policy for use.
struct reserve_ahead
{
};

/// Baseline: takes the endpoints in turn and knows no memory.
struct round_robin
{
    std::size_t next_prefill_ = 0;
    std::size_t next_decode_ = 0;
};

/// Baseline: takes the endpoint whose last report shows the least load.
struct least_loaded
{
};

/// Baseline: prefills at once and looks for decode memory afterwards.
struct prefill_first
{
};

using pool_policy = std::variant<
    reserve_first,
    reserve_ahead,
    round_robin,
    least_loaded,
    prefill_first>;

/// Reads a policy's name, as settings give it.
/// \param out receives the policy.
/// \return whether the name is known.
bool parse_policy(std::string_view name, pool_policy& out);

/// \return whether the policy gives out only memory that its ledger shows.
bool checks_memory(const pool_policy& chosen);

/// Chooses as a baseline does, without a look at memory.
/// \param able the endpoints that could take the work; not empty.
/// \param running requests at each, by its last report.
/// \param prefill whether the prefill side is chosen.
core::endpoint_id choose_unchecked(
    pool_policy& chosen,
    std::span<const core::endpoint_id> able,
    const std::map<core::endpoint_id, std::int64_t>& running,
    bool prefill);

} // namespace poplarroute::policy
