#pragma once

#include <memory>
#include <optional>
#include <string>

#include "node/burn.hpp"
#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/crash_detector.hpp"
#include "node/escrow_controller.hpp"
#include "node/pool_gateway.hpp"
#include "node/request_facts.hpp"
#include "policy/retry_budget.hpp"

namespace poplarroute::node
{

/// \return whether this host may serve with the version it holds, so that
/// none goes back to an older one by a restart.
bool has_settled_version(const context& with);

/// Answers callers: routes, keys, charges, and hands each request to the
/// module of its service's kind.
class entry_controller
{
public:
    entry_controller(
        context& with,
        pool_gateway& pools,
        escrow_controller& escrow,
        control_client& control,
        crash_detector& crashes);

    void start();

    /// Answers one request. For the client port's server.
    awaitable<void> answer(drivers::http_exchange& exchange);

    const burn_record& burn() const
    {
        return burn_;
    }

    std::size_t active() const
    {
        return active_;
    }

private:
    using refusal = std::optional<refusal_answer>;

    awaitable<void> answer_route(
        drivers::http_exchange& exchange,
        request_facts& facts,
        request_end& end);
    awaitable<void> answer_model(
        drivers::http_exchange& exchange,
        const request_facts& facts,
        request_end& end);
    awaitable<void> answer_plain(
        drivers::http_exchange& exchange,
        const request_facts& facts,
        request_end& end);
    awaitable<void> list_models(drivers::http_exchange& exchange);
    awaitable<bool> pay(
        drivers::http_exchange& exchange,
        const request_facts& facts,
        std::int64_t tokens,
        request_end& end);
    awaitable<void> renew_loop();
    refusal find_route(
        const drivers::http_request& request, request_facts& facts) const;
    refusal check_key(
        const drivers::http_request& request, request_facts& facts) const;
    refusal check_host() const;
    refusal check_cut_off(const request_facts& facts) const;
    bool key_still_valid(const std::string& key_id) const;
    void stop_withdrawn();
    void note_end(const request_facts& facts, const request_end& end);

    context& with_;
    pool_gateway& pools_;
    escrow_controller& escrow_;
    control_client& control_;
    crash_detector& crashes_;
    policy::retry_budget retries_;
    burn_record burn_;
    std::size_t active_ = 0;
};

} // namespace poplarroute::node
