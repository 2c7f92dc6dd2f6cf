#pragma once

#include <set>
#include <string>

#include "node/caller_api.hpp"
#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/placement_guard.hpp"
#include "node/pool_client.hpp"
#include "node/request_info.hpp"
#include "policy/retry_budget.hpp"

namespace poplarroute::node
{

/// Longest time of a plain request that is sent to one endpoint.
inline constexpr core::duration max_plain_request_time{32'000};

/// One caller's request to a plain service.
///
/// On a non-idempotent route the request first acquires a claim under the
/// caller's Idempotency-Key. Only the holder of the claim dispatches the call,
/// once; the outcome is recorded, and a repeated request gets it.
class plain_request
{
public:
    plain_request(
        context& with,
        pool_client& pools,
        control_client& control,
        policy::retry_budget& retry_budget,
        const request_info& info,
        drivers::http_exchange& exchange);

    /// Answers the caller.
    /// \param outcome updated while the request runs.
    awaitable<void> run(request_outcome& outcome);

    /// Releases the claim that this request holds or may hold, unless a byte of
    /// the request may have reached an endpoint. Also called after the caller
    /// has disconnected.
    void release_claim();

private:
    /// How one attempt ended.
    enum class attempt_result
    {
        answered, ///< The caller has the endpoint's response.
        retry,    ///< Another endpoint may be tried.
        refused,  ///< The caller has received an error.
    };

    awaitable<bool> acquire_claim(request_outcome& outcome);
    awaitable<attempt_result> attempt(request_outcome& outcome);
    awaitable<attempt_result> forward_reply(
        drivers::http_response reply, request_outcome& outcome);
    void record_reply(const drivers::http_response& reply);
    awaitable<void> refuse_caller(
        refusal_response refusal, request_outcome& outcome);
    drivers::http_call make_call(const placement_result& placement) const;
    core::time_point placement_deadline() const;
    bool needs_claim() const;

    context& with_;
    pool_client& pools_;
    control_client& control_;
    policy::retry_budget& retry_budget_;
    const request_info& info_;
    drivers::http_exchange& exchange_;
    std::string idempotency_key_;
    std::string claim_attempt_;
    bool holds_claim_ = false;
    bool may_hold_claim_ = false; ///< Claim requested, not denied.
    bool dispatched_ = false;     ///< A byte may have reached an endpoint.
    std::set<core::endpoint_id> avoid_;
};

} // namespace poplarroute::node
