#pragma once

#include "node/ingress_call.hpp"
#include "policy/call_retry_state.hpp"

namespace poplarroute::node
{

/// Forwards one call to a plain service: chooses an endpoint, sends the call,
/// retries at other endpoints where that is allowed, and answers the caller.
class plain_forwarder
{
public:
    plain_forwarder(
        ingress_context& ingress, ingress_call& call, ingress_result& result);
    ~plain_forwarder();
    plain_forwarder(const plain_forwarder&) = delete;
    plain_forwarder& operator=(const plain_forwarder&) = delete;

    awaitable<void> run(drivers::http_exchange& exchange);

private:
    bool choose_endpoint();
    bool choose_endpoint_of(control::rollout_role role);
    awaitable<policy::send_result> send();
    policy::send_result classify_reply(
        core::result<drivers::http_response> reply);
    bool can_retry();
    awaitable<void> answer_failure(drivers::http_exchange& exchange);
    void finish_attempt(policy::call_outcome outcome);

    ingress_context& ingress_;
    ingress_call& call_;
    ingress_result& result_;
    policy::plain_balancer& balancer_;
    policy::call_retry_state retry_state_;
    std::set<core::endpoint_id> avoid_;
    core::endpoint_id endpoint_; ///< Of the current attempt; empty: none.
    core::time_point attempt_started_at_;
    send_permission permission_; ///< Of the current attempt.
    std::optional<rollout_send> counted_send_;
    bool target_failed_ = false; ///< That of a roll-out, in this call.
    drivers::http_response reply_;
};

} // namespace poplarroute::node
