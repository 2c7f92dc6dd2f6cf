#pragma once

#include <span>
#include <string>
#include <string_view>

#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Chooses the host that owns a resource by rendezvous hashing. All hosts that
/// see the same list of hosts choose the same owner; when a host leaves, only
/// the resources that it owned move.
/// Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
/// Hit Rates" (1998).
/// \param resource name of the resource, such as "galway-a/loom-assist".
/// \param hosts live hosts that may own it.
/// \return the owner; empty if there are no hosts.
core::host_id owner_of(
    std::string_view resource, std::span<const core::host_id> hosts);

} // namespace poplarroute::policy
