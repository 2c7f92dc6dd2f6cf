#pragma once

#include <string>

#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/engine.hpp"
#include "node/order_messages.hpp"

namespace poplarroute::node
{

/// Sends operators' orders to endpoints, with fencing numbers from the
/// replicated log.
///
/// An endpoint that checks fencing numbers refuses an outdated order itself.
/// For endpoints that ignore them, the log assigns each order a time slot of
/// its own: the sender waits until the previous slot has ended, and gives up
/// when its own slot has.
class order_controller
{
public:
    order_controller(context& with, control_client& client);

    /// Registers the operators' call.
    void start();

private:
    awaitable<core::result<order_reply>> execute_order(order_request request);

    context& with_;
    control_client& control_client_;
    engine_client engines_;
};

} // namespace poplarroute::node
