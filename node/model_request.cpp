#include "node/model_request.hpp"

#include <algorithm>

namespace poplarroute::node
{

using core::errc;

namespace
{

constexpr int max_attempts = 8;

/// How long a prefilled request waits for decode memory. Engines evict a
/// prefill's KV cache in under a second.
constexpr core::duration max_decode_memory_wait{600};

/// A decode stream counts as broken when no frame arrives for stall_factor
/// times the target time between tokens, but at least min_stall_timeout.
constexpr core::duration min_stall_timeout{3'000};
constexpr std::int64_t stall_factor = 20;

/// A request that has run longer than this on an endpoint is not likely to be
/// the cause of its crash.
constexpr core::duration just_started_period{3'000};

/// After the first token a request may wait longer for a placement, because
/// its caller already has a part of the answer.
constexpr core::duration max_resume_wait{20'000};

refusal_response refusal_for(const reserve_reply& reply, bool may_have_run)
{
    const auto reason = static_cast<policy::refusal_reason>(reply.reason_);
    refusal_response refusal;
    refusal.status_ = 503;
    refusal.code_ = std::string(policy::name_of(reason));
    refusal.message_ = "No place in time for the first token.";
    refusal.not_run_ = !may_have_run;
    refusal.retry_after_ =
        core::duration{std::max<std::int64_t>(reply.retry_after_ms_, 100)};
    return refusal;
}

refusal_response quarantined_refusal()
{
    return {
        422,
        "quarantined",
        "Endpoints were lost while they ran this request.",
        false,
        std::nullopt};
}

refusal_response answer_broken_refusal()
{
    return {
        502,
        "answer_broken",
        "The answer could not be completed.",
        false,
        core::duration{1'000}};
}

} // namespace

model_request::model_request(
    context& with,
    pool_client& pools,
    crash_detector& crashes,
    policy::retry_budget& retry_budget,
    const request_info& info,
    const completion_request& completion,
    drivers::http_exchange& exchange)
    : with_(with),
      pools_(pools),
      crashes_(crashes),
      retry_budget_(retry_budget),
      info_(info),
      completion_(completion),
      writer_(exchange, completion, info.id_),
      engines_(with.http_)
{
}

const control::latency_target& model_request::target() const
{
    return info_.route_.interactive_ ? info_.service_.interactive_
                                     : info_.service_.batch_;
}

core::time_point model_request::first_token_deadline() const
{
    if (first_token_at_)
    {
        return core::steady_now() + max_resume_wait;
    }
    return info_.arrived_ + target().first_token_;
}

std::int64_t model_request::remaining_output() const
{
    return std::max<std::int64_t>(
        completion_.max_tokens_ - writer_.tokens_sent(), 1);
}

void model_request::count_wasted_prefill(const char* reason)
{
    with_.metrics_.count(
        "poplarroute_wasted_prefills_total", {{"why", reason}});
}

void model_request::count_attempt(const char* result)
{
    with_.metrics_.count(
        "poplarroute_attempts_total",
        {{"service", info_.service_.name_}, {"end", result}});
}

awaitable<void> model_request::run(request_outcome& outcome)
{
    retry_budget_.first_try();
    for (int attempt_count = 0; attempt_count < max_attempts; ++attempt_count)
    {
        const policy::suspicion level = crashes_.look_up(completion_.digest_);
        if (level == policy::suspicion::quarantined)
        {
            refusal_response refusal = quarantined_refusal();
            refusal.not_run_ = !outcome.may_have_run_;
            co_await refuse_caller(std::move(refusal), outcome);
            co_return;
        }
        exclusive_ = level == policy::suspicion::suspect;
        if (attempt_count > 0 && !retry_budget_.take())
        {
            break;
        }
        const attempt_result result = co_await attempt(outcome);
        if (result == attempt_result::retry)
        {
            continue;
        }
        co_return;
    }
    refusal_response refusal = answer_broken_refusal();
    refusal.not_run_ = !outcome.may_have_run_;
    co_await refuse_caller(std::move(refusal), outcome);
}

awaitable<model_request::attempt_result> model_request::refuse_caller(
    refusal_response refusal, request_outcome& outcome)
{
    outcome.code_ = refusal.code_;
    outcome.result_ = writer_.tokens_sent() > 0 || outcome.may_have_run_
                          ? service_result::failed
                          : service_result::refused;
    co_await writer_.fail(std::move(refusal));
    co_return attempt_result::refused;
}

reserve_request model_request::make_reserve_request() const
{
    reserve_request request;
    request.service_ = info_.service_.name_;
    request.attempt_.host_ = with_.identity().host_;
    request.attempt_.incarnation_ = with_.identity().incarnation_;
    request.account_ = info_.account_;
    request.weight_ = info_.weight_;
    request.interactive_ = info_.route_.interactive_;
    request.alone_ = exclusive_;
    request.prompt_tokens_ = completion_.prompt_tokens_ + writer_.tokens_sent();
    request.output_tokens_ = remaining_output();
    const std::int64_t tokens =
        completion_.prompt_tokens_ + completion_.max_tokens_;
    const std::int64_t piece_tokens = info_.service_.tokens_per_piece_;
    request.pieces_ = (tokens + piece_tokens - 1) / piece_tokens;
    request.prefix_ = completion_.prefix_;
    request.avoid_.assign(avoid_.begin(), avoid_.end());
    return request;
}

awaitable<model_request::attempt_result> model_request::attempt(
    request_outcome& outcome)
{
    const reserve_request request = make_reserve_request();
    const placement_result placement =
        co_await pools_.reserve(request, first_token_deadline());
    if (!placement.reply_.granted_)
    {
        if (!avoid_.empty() && core::steady_now() < first_token_deadline())
        {
            // Tries the endpoints that failed before, rather than refuse the
            // request.
            avoid_.clear();
            co_return attempt_result::retry;
        }
        refusal_response refusal =
            refusal_for(placement.reply_, outcome.may_have_run_);
        const attempt_result result =
            co_await refuse_caller(std::move(refusal), outcome);
        co_return result;
    }
    ++outcome.attempts_;
    outcome.last_attempt_ = placement.attempt_;
    outcome.endpoint_ = placement.reply_.decode_;
    placement_guard guard(
        with_,
        pools_,
        info_.service_.name_,
        placement,
        request.pieces_,
        info_.key_id_);
    const attempt_result result = co_await run_placed(guard, outcome);
    co_return result;
}

awaitable<model_request::attempt_result> model_request::run_placed(
    placement_guard& guard, request_outcome& outcome)
{
    const bool prefilled = co_await prefill(guard, outcome);
    if (!prefilled)
    {
        co_return attempt_result::retry;
    }
    const bool confirmed = co_await confirm_decode(guard, outcome);
    if (!confirmed)
    {
        count_wasted_prefill("no_decode_memory");
        count_attempt("no_decode_memory");
        co_return attempt_result::retry;
    }
    const attempt_result result = co_await decode(guard, outcome);
    co_return result;
}

awaitable<bool> model_request::prefill(
    placement_guard& guard, request_outcome& outcome)
{
    const reserve_reply& placement = guard.placement().reply_;
    prefill_task task;
    task.attempt_ = guard.placement().attempt_;
    task.prompt_ = completion_.prompt_;
    task.prompt_tokens_ = completion_.prompt_tokens_ + writer_.tokens_sent();
    task.output_tokens_ = remaining_output();
    task.prefix_ = completion_.prefix_;
    task.interactive_ = info_.route_.interactive_;
    const core::time_point started_at = core::steady_now();
    engine_refusal refusal = engine_refusal::none;
    const bool may_have_run_before = outcome.may_have_run_;
    outcome.may_have_run_ = true;
    const auto result = co_await engines_.prefill(
        placement.prefill_address_, std::move(task), refusal);
    if (core::is_ok(result))
    {
        guard.end_report().prefill_ms_ = core::value(result).computed_.ms_;
        guard.end_report().prefilled_tokens_ =
            core::value(result).computed_tokens_;
        co_return true;
    }
    const errc code = core::failure(result).code_;
    const bool nothing_ran =
        refusal == engine_refusal::no_memory || code == errc::unreachable;
    outcome.may_have_run_ = may_have_run_before || !nothing_ran;
    count_attempt(
        refusal == engine_refusal::none ? "prefill_broken" : "prefill_refused");
    avoid_.insert(placement.prefill_);
    if (refusal == engine_refusal::none)
    {
        co_await report_endpoint_failure(
            guard,
            placement.prefill_,
            placement.prefill_address_,
            placement.prefill_boot_,
            started_at,
            code != errc::unreachable);
    }
    co_return false;
}

awaitable<bool> model_request::confirm_decode(
    placement_guard& guard, request_outcome& outcome)
{
    const reserve_reply& placement = guard.placement().reply_;
    prefilled_request request;
    request.service_ = info_.service_.name_;
    request.attempt_ = guard.placement().attempt_;
    request.wait_ms_ = max_decode_memory_wait.ms_;
    if (!placement.promised_)
    {
        co_return true;
    }
    const reserve_reply reply = co_await pools_.report_prefilled(
        guard.placement().zone_, std::move(request));
    if (!reply.granted_)
    {
        co_return false;
    }
    guard.confirm_decode(reply);
    outcome.endpoint_ = guard.placement().reply_.decode_;
    co_return true;
}

awaitable<model_request::attempt_result> model_request::decode(
    placement_guard& guard, request_outcome& outcome)
{
    const reserve_reply placement = guard.placement().reply_;
    const core::time_point started_at = core::steady_now();
    bool failed_while_running = false;
    // A broken stream is resumed after the last token sent, as long as each
    // stream has delivered at least one token.
    for (std::int64_t last_offset = -1; last_offset < writer_.tokens_sent();)
    {
        last_offset = writer_.tokens_sent();
        decode_task task;
        task.attempt_ = guard.placement().attempt_;
        task.from_ = placement.prefill_address_;
        task.offset_ = writer_.tokens_sent();
        task.prompt_tokens_ = completion_.prompt_tokens_;
        task.output_tokens_ = completion_.max_tokens_;
        task.interactive_ = info_.route_.interactive_;
        engine_refusal refusal = engine_refusal::none;
        auto opened = co_await engines_.decode(
            placement.decode_address_, std::move(task), refusal);
        if (!core::is_ok(opened))
        {
            if (refusal == engine_refusal::no_memory && !failed_while_running)
            {
                count_wasted_prefill("decode_refused");
                count_attempt("decode_refused");
                avoid_.insert(placement.decode_);
                co_return attempt_result::retry;
            }
            failed_while_running = failed_while_running ||
                                   core::failure(opened).code_ == errc::broken;
            break;
        }
        pools_.report_transferred(
            guard.placement().zone_,
            {info_.service_.name_, guard.placement().attempt_});
        const attempt_result result =
            co_await relay(*core::value(opened), guard, outcome);
        if (result != attempt_result::retry)
        {
            co_return result;
        }
        failed_while_running = true;
    }
    count_attempt("decode_broken");
    if (writer_.tokens_sent() == 0)
    {
        count_wasted_prefill("decode_broken");
    }
    avoid_.insert(placement.decode_);
    co_await report_endpoint_failure(
        guard,
        placement.decode_,
        placement.decode_address_,
        placement.decode_boot_,
        started_at,
        failed_while_running);
    co_return attempt_result::retry;
}

awaitable<model_request::attempt_result> model_request::relay(
    decode_stream& stream, placement_guard& guard, request_outcome& outcome)
{
    const core::duration stall_timeout{std::max(
        min_stall_timeout.ms_, target().between_tokens_.ms_ * stall_factor)};
    attempt_result result = attempt_result::retry;
    for (;;)
    {
        auto frame = co_await stream.next(stall_timeout);
        if (!core::is_ok(frame))
        {
            break;
        }
        const auto* frame_tokens =
            std::get_if<token_frame>(&core::value(frame));
        if (frame_tokens == nullptr)
        {
            guard.set_engines_released();
            guard.end_report().completed_ = true;
            result = attempt_result::complete;
            break;
        }
        last_token_at_ = core::steady_now();
        first_token_at_ = first_token_at_.value_or(last_token_at_);
        const bool accepted = co_await writer_.write_tokens(
            frame_tokens->text_, frame_tokens->tokens_);
        outcome.used_tokens_ =
            completion_.prompt_tokens_ + writer_.tokens_sent();
        if (!accepted)
        {
            outcome.code_ = "caller_gone";
            outcome.result_ = service_result::excluded;
            co_return attempt_result::caller_gone;
        }
    }
    guard.end_report().output_tokens_ = writer_.tokens_sent();
    if (first_token_at_)
    {
        guard.end_report().decode_ms_ = (last_token_at_ - *first_token_at_).ms_;
    }
    if (stream.dropped() > 0)
    {
        with_.metrics_.count(
            "poplarroute_frames_dropped_total",
            {},
            static_cast<double>(stream.dropped()));
    }
    if (result != attempt_result::complete)
    {
        co_return result;
    }
    count_attempt("whole");
    const core::time_point first_token_at =
        first_token_at_.value_or(core::steady_now());
    const core::duration first_token_time = first_token_at - info_.arrived_;
    const std::int64_t time_between_tokens_ms =
        writer_.tokens_sent() > 1 ? (last_token_at_ - first_token_at).ms_ /
                                        (writer_.tokens_sent() - 1)
                                  : 0;
    const bool in_time = first_token_time <= target().first_token_ &&
                         time_between_tokens_ms <= target().between_tokens_.ms_;
    outcome.result_ = in_time ? service_result::good : service_result::late;
    const drivers::metric_labels labels{{"route", info_.route_.name_}};
    with_.metrics_.observe_ms(
        "poplarroute_first_token_ms",
        labels,
        static_cast<double>(first_token_time.ms_));
    with_.metrics_.observe_ms(
        "poplarroute_between_tokens_ms",
        labels,
        static_cast<double>(time_between_tokens_ms));
    co_await writer_.finish("stop");
    co_return attempt_result::complete;
}

awaitable<void> model_request::report_endpoint_failure(
    placement_guard& guard,
    std::string endpoint,
    std::string address,
    std::string boot,
    core::time_point started_at,
    bool failed_while_running)
{
    guard.end_report().endpoint_lost_ = true;
    guard.end_report().lost_endpoint_ = endpoint;
    if (!failed_while_running)
    {
        co_return;
    }
    const bool lost = co_await crashes_.is_process_lost(address, boot);
    if (!lost)
    {
        co_return;
    }
    policy::evidence evidence = policy::evidence::long_running;
    if (exclusive_)
    {
        evidence = policy::evidence::alone;
    }
    else if (core::steady_now() - started_at < just_started_period)
    {
        evidence = policy::evidence::just_started;
    }
    std::string crash = endpoint + "@" + boot;
    co_await crashes_.note(completion_.digest_, std::move(crash), evidence);
}

} // namespace poplarroute::node
