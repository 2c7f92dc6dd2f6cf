#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Work that an endpoint accepts.
enum class work_kind
{
    prefill_only,
    decode_only,
    prefill_and_decode,
    call, ///< Whole calls to a plain service.
};

/// An endpoint's configuration.
struct endpoint_config
{
    core::endpoint_id name_;
    std::string address_;
    work_kind kind_ = work_kind::call;
    /// Number of KV cache blocks (pieces); for a plain service, of concurrent
    /// calls.
    std::int64_t pieces_ = 0;
    std::int64_t requests_ = 0; ///< Maximum number of concurrent requests.
    bool leaving_ = false;      ///< Draining: it gets no new work.

    bool can_prefill() const
    {
        return kind_ == work_kind::prefill_only ||
               kind_ == work_kind::prefill_and_decode;
    }

    bool can_decode() const
    {
        return kind_ == work_kind::decode_only ||
               kind_ == work_kind::prefill_and_decode;
    }
};

/// KV cache blocks that an engine reports as held for one attempt.
struct held_memory
{
    core::attempt_id attempt_;
    std::int64_t pieces_ = 0;
};

/// An endpoint's report of its own state; it may be out of date on arrival.
struct endpoint_report
{
    core::endpoint_id endpoint_;
    std::string boot_; ///< Boot id; changes whenever the endpoint restarts.
    std::vector<held_memory> held_;
    std::int64_t running_ = 0; ///< Number of running requests.
};

/// A placement request to the scheduler of a pool.
struct pool_request
{
    core::attempt_id attempt_;
    core::account_id account_;
    std::int64_t weight_ = 1; ///< The account's weight in the fair order.
    bool interactive_ = true;
    /// Whether the request is suspected of crashing endpoints, so that nothing
    /// else may run at its endpoint meanwhile.
    bool alone_ = false;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0; ///< Maximum number to generate.
    std::int64_t pieces_ = 1;        ///< KV cache blocks needed for decoding.
    std::uint64_t prefix_ = 0;       ///< Hash of the prompt's prefix; 0: none.
    core::time_point arrived_;
    core::time_point first_token_deadline_;
    std::set<core::endpoint_id> avoid_; ///< Endpoints where it failed before.
};

/// A placement for a request. For a call to a plain service only decode_ is
/// set.
struct grant
{
    core::attempt_id attempt_;
    core::endpoint_id prefill_;
    core::endpoint_id decode_;
    core::duration time_to_first_token_; ///< Expected, from now on.
    /// Whether the decode side is not reserved yet: the prefill may start, and
    /// pool_scheduler::place_decode() settles the decode side afterwards.
    bool promised_ = false;
};

enum class refusal_reason
{
    target_missed, ///< The first token would miss its deadline.
    queue_full,    ///< The queue has reached its maximum length.
    no_endpoint,   ///< No configured endpoint can serve the request.
    none_usable,   ///< Endpoints that could serve it are unavailable now.
    taking_over,   ///< The previous owner's lease may not have expired yet.
};

/// A request that was refused and not run.
struct refusal
{
    core::attempt_id attempt_;
    refusal_reason reason_ = refusal_reason::no_endpoint;
    core::duration retry_after_;
};

/// Reports that the decode memory of a promised placement is reserved now.
struct confirmation
{
    core::attempt_id attempt_;
};

/// Engine memory whose attempt has ended or is unknown, to be cancelled at the
/// endpoint.
struct orphan
{
    core::endpoint_id endpoint_;
    core::attempt_id attempt_;
};

using pool_action = std::variant<grant, refusal, confirmation, orphan>;

/// How an attempt ended, as observed by its entry host.
struct ending
{
    core::attempt_id attempt_;
    bool completed_ = false; ///< The whole response arrived.
    bool freed_ = true;      ///< The engines confirmed that they hold nothing.
    bool endpoint_lost_ = false; ///< An endpoint failed during the attempt.
    core::endpoint_id lost_endpoint_;
    std::int64_t output_tokens_ = 0;
    core::duration prefill_; ///< Prefill time without queueing.
    core::duration decode_;  ///< Time from the first to the last token.
    /// Prompt tokens that were computed, not found in the prefix cache.
    std::int64_t prefilled_tokens_ = 0;
};

/// \return the reason's stable name for refusal messages and logs.
std::string_view name_of(refusal_reason reason);

} // namespace poplarroute::policy
