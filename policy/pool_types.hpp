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

/// What an endpoint may be given.
enum class work_kind
{
    prefill_only,
    decode_only,
    prefill_and_decode,
    call, ///< A whole call to a plain service.
};

/// What the configuration says of an endpoint.
struct endpoint_facts
{
    core::endpoint_id name_;
    std::string address_;
    work_kind kind_ = work_kind::call;
    std::int64_t pieces_ = 0;   ///< Memory pieces; for a call, calls at once.
    std::int64_t requests_ = 0; ///< Requests at once.
    bool leaving_ = false;      ///< It gets no new work.

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

/// A part of an engine's memory, as the engine reports it.
struct held_memory
{
    core::attempt_id attempt_;
    std::int64_t pieces_ = 0;
};

/// An endpoint's own report, which lags.
struct endpoint_report
{
    core::endpoint_id endpoint_;
    std::string boot_; ///< Changes whenever the endpoint restarts.
    std::vector<held_memory> held_;
    std::int64_t running_ = 0;
};

/// A request that wants a place.
struct want
{
    core::attempt_id attempt_;
    core::account_id account_;
    std::int64_t weight_ = 1;
    bool interactive_ = true;
    bool alone_ = false; ///< Suspect: nothing may run beside it.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0; ///< At most.
    std::int64_t pieces_ = 1;        ///< Memory it needs on the decode side.
    std::uint64_t prefix_ = 0;       ///< Hash of the prompt's beginning.
    core::time_point arrived_;
    core::time_point first_token_due_;
    std::set<core::endpoint_id> avoid_; ///< Endpoints that failed it.
};

/// A place for a request. For a call only decode_ is set.
struct grant
{
    core::attempt_id attempt_;
    core::endpoint_id prefill_;
    core::endpoint_id decode_;
    core::duration forecast_; ///< From now to the first token.
    bool promised_ = false;   ///< The memory is not free yet: see confirm().
};

enum class refusal_reason
{
    target_missed, ///< The first token would come too late.
    queue_full,
    no_endpoint, ///< No endpoint can take it at all.
    none_usable, ///< Those that could take it are down or broken now.
    taking_over, ///< The owner waits out the previous one's lease.
};

/// A request that was not run.
struct refusal
{
    core::attempt_id attempt_;
    refusal_reason reason_ = refusal_reason::no_endpoint;
    core::duration retry_after_;
};

/// A promised place whose memory is free now.
struct confirmation
{
    core::attempt_id attempt_;
};

/// Engine memory that no live request claims.
struct orphan
{
    core::endpoint_id endpoint_;
    core::attempt_id attempt_;
};

using pool_action = std::variant<grant, refusal, confirmation, orphan>;

/// How an attempt ended, as its entry host saw it.
struct ending
{
    core::attempt_id attempt_;
    bool completed_ = false;     ///< The whole answer came.
    bool freed_ = true;          ///< The engines said they hold nothing.
    bool endpoint_lost_ = false; ///< An endpoint broke under it.
    core::endpoint_id lost_endpoint_;
    std::int64_t output_tokens_ = 0;
    core::duration prefill_;            ///< Computing time, without queueing.
    core::duration decode_;             ///< From the first to the last token.
    std::int64_t prefilled_tokens_ = 0; ///< Not found in the prefix cache.
};

/// \return the reason's stable name, for refusals and logs.
std::string_view name_of(refusal_reason reason);

} // namespace poplarroute::policy
