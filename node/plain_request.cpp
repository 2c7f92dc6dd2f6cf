#include "node/plain_request.hpp"

#include <algorithm>

#include "core/digest.hpp"
#include "core/invariant.hpp"
#include "drivers/log.hpp"
#include "node/attempt_header.hpp"

namespace poplarroute::node
{

using core::errc;

namespace
{

constexpr int max_attempts = 4;
constexpr core::duration max_placement_wait{2'000};
constexpr core::duration call_timeout{
    max_plain_request_time.ms_ - max_placement_wait.ms_};
constexpr core::duration claim_timeout{5'000};
constexpr core::duration record_timeout{20'000};
constexpr core::duration abandon_timeout{60'000};
constexpr std::size_t max_recorded_body_bytes = 64 * 1024;
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr int status_bad_request = 400;

bool is_forwarded(std::string_view header)
{
    static const std::set<std::string, std::less<>> not_forwarded{
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id"};
    std::string lower(header);
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    return not_forwarded.count(lower) == 0;
}

/// Submits a command, with retries until the timeout, and logs a warning if it
/// is not committed by then.
awaitable<void> submit_in_background(
    control_client& control, control::command command, core::duration timeout)
{
    const auto reply = co_await control.submit(std::move(command), timeout);
    if (!core::is_ok(reply))
    {
        drivers::log_event(
            drivers::log_level::warning,
            "claim_command_lost",
            {{"why", core::failure(reply).message_}});
    }
}

} // namespace

plain_request::plain_request(
    context& with,
    pool_client& pools,
    control_client& control,
    policy::retry_budget& retry_budget,
    const request_info& info,
    drivers::http_exchange& exchange)
    : with_(with),
      pools_(pools),
      control_(control),
      retry_budget_(retry_budget),
      info_(info),
      exchange_(exchange)
{
    idempotency_key_ = std::string(
        drivers::find_header(exchange.request().headers_, "Idempotency-Key"));
}

bool plain_request::needs_claim() const
{
    return !info_.route_.idempotent_;
}

core::time_point plain_request::placement_deadline() const
{
    return info_.arrived_ + max_placement_wait;
}

awaitable<void> plain_request::run(request_outcome& outcome)
{
    retry_budget_.first_try();
    const bool is_key_valid =
        !idempotency_key_.empty() &&
        idempotency_key_.size() <= max_idempotency_key_bytes;
    if (needs_claim() && !is_key_valid)
    {
        outcome.result_ = service_result::excluded;
        refusal_response refusal{
            status_bad_request,
            "idempotency_key_required",
            "This route needs an Idempotency-Key of up to 200 characters.",
            true,
            std::nullopt};
        outcome.code_ = refusal.code_;
        co_await refuse(exchange_, std::move(refusal));
        co_return;
    }
    if (needs_claim())
    {
        const bool granted = co_await acquire_claim(outcome);
        if (!granted)
        {
            co_return;
        }
    }
    for (int attempt_count = 0; attempt_count < max_attempts; ++attempt_count)
    {
        if (attempt_count > 0 && !retry_budget_.take())
        {
            break;
        }
        const attempt_result result = co_await attempt(outcome);
        if (result != attempt_result::retry)
        {
            co_return;
        }
    }
    refusal_response refusal{
        503,
        "endpoints_unreachable",
        "No endpoint could be reached.",
        !outcome.may_have_run_,
        core::duration{1'000}};
    co_await refuse_caller(std::move(refusal), outcome);
}

awaitable<void> plain_request::refuse_caller(
    refusal_response refusal, request_outcome& outcome)
{
    core::check_invariant(
        !(refusal.not_run_ && dispatched_ && needs_claim()),
        "a refusal says not_run only when the call was not dispatched");
    outcome.code_ = refusal.code_;
    outcome.result_ =
        refusal.not_run_ ? service_result::refused : service_result::failed;
    co_await refuse(exchange_, std::move(refusal));
}

awaitable<bool> plain_request::acquire_claim(request_outcome& outcome)
{
    // Until the replicated log has answered, an earlier attempt may have run.
    outcome.may_have_run_ = true;
    core::attempt_id attempt{
        with_.identity().host_,
        with_.identity().incarnation_,
        with_.identity().next_attempt_++};
    claim_attempt_ = to_string(attempt);
    may_hold_claim_ = true;
    const std::string digest = core::sha256_hex(
        exchange_.request().method_ + "\n" + exchange_.request().target_ +
        "\n" + exchange_.request().body_);
    const control::claim_call command{
        info_.account_,
        idempotency_key_,
        digest,
        claim_attempt_,
        core::wall_ms()};
    const auto reply = co_await control_.submit(command, claim_timeout);
    if (!core::is_ok(reply))
    {
        refusal_response refusal{
            503,
            "claims_unreachable",
            "The control group cannot be reached, so the call was not "
            "dispatched now; an earlier one with this key may have run.",
            false,
            core::duration{2'000}};
        co_await refuse_caller(std::move(refusal), outcome);
        co_return false;
    }
    const control::command_reply& claim_reply = core::value(reply);
    if (claim_reply.verdict_ == control::verdict::granted)
    {
        holds_claim_ = true;
        outcome.may_have_run_ = false;
        co_return true;
    }
    may_hold_claim_ = false;
    outcome.code_ = std::string(name_of(claim_reply.verdict_));
    if (claim_reply.verdict_ == control::verdict::recorded)
    {
        outcome.result_ = service_result::good;
        drivers::header_list headers{
            {"Content-Type", claim_reply.content_type_},
            {"Idempotent-Replay", "true"}};
        co_await exchange_.send(
            claim_reply.status_, std::move(headers), claim_reply.body_);
        co_return false;
    }
    outcome.result_ = service_result::excluded;
    if (claim_reply.verdict_ == control::verdict::mismatch)
    {
        refusal_response refusal{
            422,
            "idempotency_key_reused",
            "This Idempotency-Key belongs to another request.",
            false,
            std::nullopt};
        co_await refuse(exchange_, std::move(refusal));
        co_return false;
    }
    refusal_response refusal{
        409,
        "outcome_unknown",
        "An earlier call with this key may have run or may be running.",
        false,
        core::duration{1'000}};
    co_await refuse(exchange_, std::move(refusal));
    co_return false;
}

drivers::http_call plain_request::make_call(
    const placement_result& placement) const
{
    const drivers::http_request& request = exchange_.request();
    drivers::http_call call;
    call.address_ = placement.reply_.decode_address_;
    call.method_ = request.method_;
    call.target_ = request.target_;
    call.body_ = request.body_;
    call.timeout_ = call_timeout;
    for (const auto& [key, text] : request.headers_)
    {
        if (is_forwarded(key))
        {
            call.headers_.emplace_back(key, text);
        }
    }
    name_attempt(call, to_string(placement.attempt_));
    return call;
}

awaitable<plain_request::attempt_result> plain_request::attempt(
    request_outcome& outcome)
{
    reserve_request request;
    request.service_ = info_.service_.name_;
    request.attempt_.host_ = with_.identity().host_;
    request.attempt_.incarnation_ = with_.identity().incarnation_;
    request.account_ = info_.account_;
    request.weight_ = info_.weight_;
    request.interactive_ = info_.route_.interactive_;
    request.avoid_.assign(avoid_.begin(), avoid_.end());
    const placement_result placement =
        co_await pools_.reserve(request, placement_deadline());
    if (!placement.reply_.granted_)
    {
        const auto reason =
            static_cast<policy::refusal_reason>(placement.reply_.reason_);
        refusal_response refusal{
            503,
            std::string(policy::name_of(reason)),
            "No endpoint has room in time.",
            !outcome.may_have_run_,
            core::duration{placement.reply_.retry_after_ms_}};
        co_await refuse_caller(std::move(refusal), outcome);
        co_return attempt_result::refused;
    }
    ++outcome.attempts_;
    outcome.last_attempt_ = placement.attempt_;
    outcome.endpoint_ = placement.reply_.decode_;
    placement_guard guard(
        with_, pools_, info_.service_.name_, placement, 1, info_.key_id_);
    // A plain service holds no memory for an attempt, so there is nothing to
    // cancel.
    guard.set_engines_released();
    core::check_invariant(
        !needs_claim() || (holds_claim_ && !dispatched_),
        "a non-idempotent request runs at most once");
    const bool may_have_run_before = outcome.may_have_run_;
    outcome.may_have_run_ = true;
    dispatched_ = true;
    drivers::http_call call = make_call(placement);
    auto reply = co_await with_.http_.request(std::move(call));
    if (core::is_ok(reply))
    {
        guard.end_report().completed_ = true;
        drivers::http_response answer = std::move(core::value(reply));
        const attempt_result result =
            co_await forward_reply(std::move(answer), outcome);
        co_return result;
    }
    guard.end_report().endpoint_lost_ = true;
    guard.end_report().lost_endpoint_ = placement.reply_.decode_;
    avoid_.insert(placement.reply_.decode_);
    if (core::failure(reply).code_ == errc::unreachable)
    {
        // No byte was sent, so another endpoint may be tried.
        outcome.may_have_run_ = may_have_run_before;
        dispatched_ = false;
        co_return attempt_result::retry;
    }
    if (info_.route_.idempotent_)
    {
        co_return attempt_result::retry;
    }
    refusal_response refusal{
        502,
        "outcome_unknown",
        "The connection was lost while the call ran.",
        false,
        std::nullopt};
    co_await refuse_caller(std::move(refusal), outcome);
    co_return attempt_result::refused;
}

void plain_request::record_reply(const drivers::http_response& reply)
{
    control::record_outcome command{
        info_.account_,
        idempotency_key_,
        claim_attempt_,
        reply.status_,
        std::string(drivers::find_header(reply.headers_, "Content-Type")),
        reply.body_};
    if (command.body_.size() > max_recorded_body_bytes)
    {
        command.content_type_ = "application/json";
        command.body_ = R"({"note":"The call ran; its answer was too long to )"
                        R"(keep."})";
    }
    drivers::spawn_task(
        with_.io_,
        "submit_in_background",
        submit_in_background(control_, std::move(command), record_timeout));
}

awaitable<plain_request::attempt_result> plain_request::forward_reply(
    drivers::http_response reply, request_outcome& outcome)
{
    if (needs_claim())
    {
        // The response to the caller does not wait until the outcome is
        // recorded.
        record_reply(reply);
    }
    drivers::header_list headers;
    for (const auto& [key, text] : reply.headers_)
    {
        if (is_forwarded(key))
        {
            headers.emplace_back(key, text);
        }
    }
    outcome.used_tokens_ = info_.service_.call_cost_;
    const bool in_time = core::steady_now() - info_.arrived_ <=
                         info_.service_.interactive_.first_token_;
    constexpr int first_server_error = 500;
    outcome.result_ = reply.status_ >= first_server_error
                          ? service_result::failed
                      : in_time ? service_result::good
                                : service_result::late;
    co_await exchange_.send(
        reply.status_, std::move(headers), std::move(reply.body_));
    co_return attempt_result::answered;
}

void plain_request::release_claim()
{
    if (!needs_claim() || dispatched_ || !may_hold_claim_)
    {
        return;
    }
    const control::abandon_claim command{
        info_.account_, idempotency_key_, claim_attempt_};
    drivers::spawn_task(
        with_.io_,
        "submit_in_background",
        submit_in_background(control_, command, abandon_timeout));
}

} // namespace poplarroute::node
