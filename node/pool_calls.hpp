#pragma once

#include "node/context.hpp"
#include "node/pool_controller.hpp"

namespace poplarroute::node
{

/// Registers the remote calls by which other hosts use this host's pools.
void register_pool_calls(context& with, pool_controller& pools);

} // namespace poplarroute::node
