#pragma once

#include <string>
#include <vector>

#include "core/codec.hpp"

namespace poplarroute::node
{

/// Cuts the connections between this host and others, or restores them. Tests
/// simulate a network partition with it.
struct block_peers_request
{
    std::vector<std::string> addresses_;
    bool cut_ = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    block_peers_request, addresses_, cut_)

} // namespace poplarroute::node
