#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "node/catalog_messages.hpp"

namespace poplarroute::node
{

/// A stream that this host runs, with the placement reported to the leader.
struct running_stream
{
    placement_message placement_;
    core::time_point placed_at_;
};

/// Streams that this host runs, by placement id. Written by the ingress code.
struct stream_section
{
    std::map<std::string, running_stream> running_;
};

/// \return the placements of the running streams, with their ages.
std::vector<placement_message> running_placements(
    const stream_section& section, core::time_point now);

} // namespace poplarroute::node
