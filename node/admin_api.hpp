#pragma once

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "node/context.hpp"
#include "node/entry_controller.hpp"
#include "node/escrow_controller.hpp"
#include "node/pool_controller.hpp"

namespace poplarroute::node
{

/// Answers monitoring, the load balancer and operators: metrics, health checks
/// and status.
class admin_api
{
public:
    admin_api(
        context& with,
        pool_controller& pools,
        escrow_controller& escrow,
        entry_controller& entry);

    /// Registers the operators' calls.
    void start();

    /// Answers /metrics, /ready and /live.
    awaitable<void> answer(drivers::http_exchange& exchange);

private:
    nlohmann::json status() const;
    bool ready() const;

    context& with_;
    pool_controller& pools_;
    escrow_controller& escrow_;
    entry_controller& entry_;
};

} // namespace poplarroute::node
