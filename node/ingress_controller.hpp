#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "node/catalog_watcher.hpp"
#include "node/ingress_call.hpp"
#include "node/reach_monitor.hpp"
#include "node/stop_gate.hpp"
#include "node/stream_forwarder.hpp"

namespace poplarroute::node
{

/// Handles callers' requests at an entry host: finds the route, checks the key,
/// charges the account and passes the call to the forwarder of its service.
class ingress_controller
{
public:
    ingress_controller(
        context& with, const wire_codec& codec, rollout_client& rollouts);

    void start();

    /// Answers one request.
    awaitable<void> handle(drivers::http_exchange& exchange);

    /// Answers a request that another host has handed to this one.
    awaitable<void> handle_relayed(drivers::http_exchange& exchange);

    /// Refuses requests that could last longer, and ends those that still run
    /// at that time with an answer.
    void stop_at(core::time_point time)
    {
        stop_.close_at(time);
    }

    /// \return the number of requests being handled.
    std::size_t active() const
    {
        return active_;
    }

    /// Sets the gauges of the plain endpoints' speeds.
    void set_metrics() const;

private:
    /// A refusal of a request that was not sent to any endpoint.
    struct refusal
    {
        int status_ = 0;
        std::string outcome_;
        std::optional<core::duration> retry_after_;
        std::string inputs_; ///< The values that decided it, for the log.
    };

    bool is_ready() const;
    awaitable<void> wait_until_ready() const;
    std::optional<refusal> admit(ingress_call& call);
    std::optional<refusal> find_account(ingress_call& call);
    std::optional<refusal> check_stop(const ingress_call& call);
    static bool is_charged_here(const ingress_call& call);
    awaitable<void> refresh_level(const ingress_call& call);
    std::optional<refusal> charge(ingress_call& call);
    void choose_service(ingress_call& call) const;
    awaitable<void> serve(
        drivers::http_exchange& exchange,
        ingress_call& call,
        ingress_result& result);
    awaitable<void> forward(
        drivers::http_exchange& exchange,
        ingress_call& call,
        ingress_result& result);
    awaitable<void> end_unfinished(
        drivers::http_exchange& exchange,
        const ingress_call& call,
        ingress_result& result);
    void record_result(const ingress_call& call, const ingress_result& result);
    void update_retry_allowances();

    context& with_;
    ingress_context ingress_;
    placement_controller local_placements_;
    placement_client placements_;
    reach_monitor reach_;
    core::time_point started_at_;
    stop_gate stop_;
    std::size_t active_ = 0;
    std::size_t relayed_ = 0; ///< Of these, handed on by other hosts.
};

} // namespace poplarroute::node
