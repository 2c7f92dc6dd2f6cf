#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "node/catalog_messages.hpp"

namespace poplarroute::node
{

/// A stream that this host runs, as the leader is told of it.
struct running_stream
{
    place_message place_;
    core::time_point placed_at_;
};

/// Streams under way here, by id. Written by the edge.
struct stream_section
{
    std::map<std::string, running_stream> running_;
};

/// \return the streams under way, with their ages.
std::vector<place_message> running_places(
    const stream_section& section, core::time_point now);

} // namespace poplarroute::node
