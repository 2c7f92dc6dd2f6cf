#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "node/caller_api.hpp"
#include "node/context.hpp"
#include "node/crash_detector.hpp"
#include "node/engine.hpp"
#include "node/placement_guard.hpp"
#include "node/pool_client.hpp"
#include "node/request_info.hpp"
#include "policy/retry_budget.hpp"

namespace poplarroute::node
{

/// One caller's request to a model: requests a placement, prefills the prompt,
/// relays the decode stream, and retries when one of these fails.
///
/// An answer that has started resumes after the last token sent, on the same or
/// another engine. An answer that cannot be completed ends with an explicit
/// error.
class model_request
{
public:
    model_request(
        context& with,
        pool_client& pools,
        crash_detector& crashes,
        policy::retry_budget& retry_budget,
        const request_info& info,
        const completion_request& completion,
        drivers::http_exchange& exchange);

    /// Answers the caller.
    /// \param outcome updated while the request runs, so that it is also valid
    /// when the coroutine is destroyed early.
    awaitable<void> run(request_outcome& outcome);

private:
    /// How one attempt ended.
    enum class attempt_result
    {
        complete, ///< The caller has the complete answer.
        retry,    ///< Another attempt may succeed.
        caller_gone,
        refused, ///< The caller has received an error.
    };

    awaitable<attempt_result> attempt(request_outcome& outcome);
    awaitable<attempt_result> run_placed(
        placement_guard& guard, request_outcome& outcome);
    awaitable<bool> prefill(placement_guard& guard, request_outcome& outcome);
    awaitable<bool> confirm_decode(
        placement_guard& guard, request_outcome& outcome);
    awaitable<attempt_result> decode(
        placement_guard& guard, request_outcome& outcome);
    awaitable<attempt_result> relay(
        decode_stream& stream,
        placement_guard& guard,
        request_outcome& outcome);
    awaitable<void> report_endpoint_failure(
        placement_guard& guard,
        std::string endpoint,
        std::string address,
        std::string boot,
        core::time_point started_at,
        bool failed_while_running);
    reserve_request make_reserve_request() const;
    core::time_point first_token_deadline() const;
    const control::latency_target& target() const;
    awaitable<attempt_result> refuse_caller(
        refusal_response refusal, request_outcome& outcome);
    void count_wasted_prefill(const char* reason);
    void count_attempt(const char* result);
    std::int64_t remaining_output() const;

    context& with_;
    pool_client& pools_;
    crash_detector& crashes_;
    policy::retry_budget& retry_budget_;
    const request_info& info_;
    const completion_request& completion_;
    completion_writer writer_;
    engine_client engines_;
    std::set<core::endpoint_id> avoid_;
    bool exclusive_ = false;
    std::optional<core::time_point> first_token_at_;
    core::time_point last_token_at_;
};

} // namespace poplarroute::node
