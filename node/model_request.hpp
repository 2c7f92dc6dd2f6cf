#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "node/caller_api.hpp"
#include "node/context.hpp"
#include "node/crash_detector.hpp"
#include "node/engine.hpp"
#include "node/place_guard.hpp"
#include "node/pool_gateway.hpp"
#include "node/request_facts.hpp"
#include "policy/retry_budget.hpp"

namespace poplarroute::node
{

/// One caller's request to a model: a place, a prefill, a decode, and the way
/// on when one of them fails.
///
/// An answer that has begun goes on at the token already sent, on the same or
/// another engine. What cannot be made whole ends as an explicit error.
class model_request
{
public:
    model_request(
        context& with,
        pool_gateway& pools,
        crash_detector& crashes,
        policy::retry_budget& retries,
        const request_facts& facts,
        const completion_request& asked,
        drivers::http_exchange& exchange);

    /// Answers the caller.
    /// \param end filled in as the request goes on, also when the coroutine
    /// is ended from outside.
    awaitable<void> run(request_end& end);

private:
    /// How one attempt ended.
    enum class step
    {
        whole, ///< The answer is complete.
        again, ///< Another attempt may succeed.
        caller_gone,
        given_up, ///< The caller has been told.
    };

    awaitable<step> attempt(request_end& end);
    awaitable<step> run_at(place_guard& guard, request_end& end);
    awaitable<bool> prefill(place_guard& guard, request_end& end);
    awaitable<bool> confirm_decode(place_guard& guard, request_end& end);
    awaitable<step> decode(place_guard& guard, request_end& end);
    awaitable<step> relay(
        decode_stream& stream, place_guard& guard, request_end& end);
    awaitable<void> note_failure(
        place_guard& guard,
        std::string endpoint,
        std::string address,
        std::string boot,
        core::time_point began,
        bool broke);
    reserve_request make_reserve() const;
    core::time_point first_token_due() const;
    const control::latency_target& target() const;
    awaitable<step> give_up(refusal_answer why, request_end& end);
    void waste_prefill(const char* why);
    void count_attempt(const char* how);
    std::int64_t remaining_output() const;

    context& with_;
    pool_gateway& pools_;
    crash_detector& crashes_;
    policy::retry_budget& retries_;
    const request_facts& facts_;
    const completion_request& asked_;
    completion_writer writer_;
    engine_adapter engines_;
    std::set<core::endpoint_id> avoid_;
    bool alone_ = false;
    std::optional<core::time_point> first_token_at_;
    core::time_point last_token_at_;
};

} // namespace poplarroute::node
