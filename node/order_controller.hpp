#pragma once

#include <string>

#include "node/context.hpp"
#include "node/control_link.hpp"
#include "node/engine.hpp"
#include "node/order_messages.hpp"

namespace poplarroute::node
{

/// Sends operators' orders to endpoints under fencing numbers from the log.
///
/// An endpoint that checks numbers refuses an old one itself. For one that
/// ignores them the log gives each order a turn of its own: its sender waits
/// until the earlier turn is over, and gives up when its own is.
class order_controller
{
public:
    order_controller(context& with, control_link& link);

    /// Registers the operators' call.
    void start();

private:
    awaitable<core::result<order_reply>> carry_out(order_request request);

    context& with_;
    control_link& link_;
    engine_client engines_;
};

} // namespace poplarroute::node
