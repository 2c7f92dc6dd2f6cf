#pragma once

#include <span>
#include <string>
#include <string_view>

#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Chooses the host that owns a thing, the same for all that see the same
/// hosts; when a host goes, only what it owned moves.
/// Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
/// Hit Rates" (1998).
/// \param thing what is owned, such as "galway-a/loom-assist".
/// \param hosts the live hosts that may own it.
/// \return the owner; empty when there is no host.
core::host_id owner_of(
    std::string_view thing, std::span<const core::host_id> hosts);

} // namespace poplarroute::policy
