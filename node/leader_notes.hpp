#pragma once

#include "node/catalog_messages.hpp"
#include "node/context.hpp"

namespace poplarroute::node
{

/// Sends an event at an endpoint to the leader, if one is known, without
/// waiting for its reply. A lost event is made up for by the next watch or the
/// next event.
void send_to_leader(context& with, engine_event_message event);

} // namespace poplarroute::node
