#pragma once

#include <set>
#include <string>

#include "node/caller_api.hpp"
#include "node/context.hpp"
#include "node/control_link.hpp"
#include "node/place_guard.hpp"
#include "node/pool_gateway.hpp"
#include "node/request_facts.hpp"
#include "policy/retry_budget.hpp"

namespace poplarroute::node
{

/// One caller's request to a plain service.
///
/// On a non-idempotent route the run is claimed first, under the caller's
/// Idempotency-Key. Exactly the claimant dispatches, once; the outcome is
/// recorded, and a resend gets it.
class plain_request
{
public:
    plain_request(
        context& with,
        pool_gateway& pools,
        control_link& control,
        policy::retry_budget& retries,
        const request_facts& facts,
        drivers::http_exchange& exchange);

    /// Answers the caller.
    /// \param end filled in as the request goes on.
    awaitable<void> run(request_end& end);

    /// Gives the claim back if this request holds it and no byte of it can
    /// have reached an endpoint; also when the caller has gone.
    void give_back_claim();

private:
    enum class step
    {
        answered,
        again,
        given_up,
    };

    awaitable<bool> claim(request_end& end);
    awaitable<step> attempt(request_end& end);
    awaitable<step> pass_on(drivers::http_response reply, request_end& end);
    void record(const drivers::http_response& reply);
    awaitable<void> give_up(refusal_answer why, request_end& end);
    drivers::http_call make_call(const placed& place) const;
    core::time_point due() const;
    bool needs_claim() const;

    context& with_;
    pool_gateway& pools_;
    control_link& control_;
    policy::retry_budget& retries_;
    const request_facts& facts_;
    drivers::http_exchange& exchange_;
    std::string idempotency_key_;
    std::string claim_attempt_;
    bool holds_claim_ = false;
    bool claim_in_doubt_ = false;
    bool dispatched_ = false;
    std::set<core::endpoint_id> avoid_;
};

} // namespace poplarroute::node
