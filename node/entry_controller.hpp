#pragma once

#include <memory>
#include <optional>
#include <string>

#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/crash_detector.hpp"
#include "node/escrow_controller.hpp"
#include "node/pool_client.hpp"
#include "node/request_info.hpp"
#include "node/slo_history.hpp"
#include "node/stop_gate.hpp"
#include "policy/retry_budget.hpp"

namespace poplarroute::node
{

/// \return whether this host may serve with the directory version that it
/// holds. After a restart it waits for a confirmation of the version, so that
/// it does not serve with an outdated one.
bool has_usable_version(const context& with);

/// Answers callers: finds the route, checks the key, charges the account and
/// hands the request to the class for its kind of service.
class entry_controller
{
public:
    entry_controller(
        context& with,
        pool_client& pools,
        escrow_controller& escrow,
        control_client& control,
        crash_detector& crashes);

    void start();

    /// Answers one request. Handler of the client port's server.
    awaitable<void> answer(drivers::http_exchange& exchange);

    /// \return the request results for the report of the SLO burn rate.
    const slo_history& burn() const
    {
        return history_;
    }

    /// Refuses requests that could last longer, and ends those that still run
    /// at that time with an answer.
    void stop_at(core::time_point time)
    {
        stop_.close_at(time);
    }

    /// \return the number of requests in progress.
    std::size_t active() const
    {
        return active_;
    }

private:
    using optional_refusal = std::optional<refusal_response>;

    awaitable<void> answer_route(
        drivers::http_exchange& exchange,
        request_info& info,
        request_outcome& outcome);
    awaitable<void> answer_model(
        drivers::http_exchange& exchange,
        const request_info& info,
        request_outcome& outcome);
    awaitable<void> answer_plain(
        drivers::http_exchange& exchange,
        const request_info& info,
        request_outcome& outcome);
    awaitable<void> end_unfinished(
        drivers::http_exchange& exchange, const request_outcome& outcome);
    awaitable<void> list_models(drivers::http_exchange& exchange);
    awaitable<bool> charge_account(
        drivers::http_exchange& exchange,
        const request_info& info,
        std::int64_t tokens,
        request_outcome& outcome);
    awaitable<void> renew_loop();
    optional_refusal find_route(
        const drivers::http_request& request, request_info& info) const;
    optional_refusal check_key(
        const drivers::http_request& request, request_info& info) const;
    optional_refusal check_host() const;
    optional_refusal check_stop(core::duration longest) const;
    optional_refusal check_isolation(const request_info& info) const;
    bool is_key_valid(const std::string& key_id) const;
    void cancel_withdrawn_key_requests();
    void report_outcome(
        const request_info& info, const request_outcome& outcome);

    context& with_;
    pool_client& pools_;
    escrow_controller& escrow_;
    control_client& control_;
    crash_detector& crashes_;
    policy::retry_budget retry_budget_;
    slo_history history_;
    stop_gate stop_;
    std::size_t active_ = 0;
};

} // namespace poplarroute::node
