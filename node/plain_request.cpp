#include "node/plain_request.hpp"

#include <algorithm>

#include "core/digest.hpp"
#include "core/invariant.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

using core::errc;

namespace
{

constexpr int most_attempts = 4;
constexpr core::duration place_patience{2'000};
constexpr core::duration call_timeout{30'000};
constexpr core::duration claim_patience{5'000};
constexpr core::duration record_patience{20'000};
constexpr core::duration abandon_patience{60'000};
constexpr std::size_t longest_recorded_body = 64 * 1024;
constexpr std::size_t longest_key = 200;
constexpr int status_bad_request = 400;

bool is_passed_on(std::string_view header)
{
    static const std::set<std::string, std::less<>> kept_here{
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade"};
    std::string lower(header);
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    return kept_here.count(lower) == 0;
}

/// Retries a command in the background until it is committed.
awaitable<void> submit_later(
    control_link& control, control::command order, core::duration patience)
{
    const auto reply = co_await control.submit(std::move(order), patience);
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
    pool_gateway& pools,
    control_link& control,
    policy::retry_budget& retries,
    const request_facts& facts,
    drivers::http_exchange& exchange)
    : with_(with),
      pools_(pools),
      control_(control),
      retries_(retries),
      facts_(facts),
      exchange_(exchange)
{
    idempotency_key_ = std::string(
        drivers::find_header(exchange.request().headers_, "Idempotency-Key"));
}

bool plain_request::needs_claim() const
{
    return !facts_.route_.idempotent_;
}

core::time_point plain_request::due() const
{
    return facts_.arrived_ + place_patience;
}

awaitable<void> plain_request::run(request_end& end)
{
    retries_.first_try();
    const bool key_fits =
        !idempotency_key_.empty() && idempotency_key_.size() <= longest_key;
    if (needs_claim() && !key_fits)
    {
        end.result_ = service_result::excluded;
        refusal_answer why{
            status_bad_request,
            "idempotency_key_required",
            "This route needs an Idempotency-Key of up to 200 characters.",
            true,
            std::nullopt};
        end.code_ = why.code_;
        co_await refuse(exchange_, std::move(why));
        co_return;
    }
    if (needs_claim())
    {
        const bool granted = co_await claim(end);
        if (!granted)
        {
            co_return;
        }
    }
    for (int tries = 0; tries < most_attempts; ++tries)
    {
        if (tries > 0 && !retries_.take())
        {
            break;
        }
        const step done = co_await attempt(end);
        if (done != step::again)
        {
            co_return;
        }
    }
    refusal_answer why{
        503,
        "endpoints_unreachable",
        "No endpoint could be reached.",
        !end.may_have_run_,
        core::duration{1'000}};
    co_await give_up(std::move(why), end);
}

awaitable<void> plain_request::give_up(refusal_answer why, request_end& end)
{
    core::check_invariant(
        !(why.not_run_ && dispatched_ && needs_claim()),
        "a refusal that says not run is true");
    end.code_ = why.code_;
    end.result_ =
        why.not_run_ ? service_result::refused : service_result::failed;
    co_await refuse(exchange_, std::move(why));
}

awaitable<bool> plain_request::claim(request_end& end)
{
    // Until the log has answered, an earlier attempt may have run.
    end.may_have_run_ = true;
    core::attempt_id attempt{
        with_.identity().host_,
        with_.identity().incarnation_,
        with_.identity().next_attempt_++};
    claim_attempt_ = to_string(attempt);
    claim_in_doubt_ = true;
    const std::string digest = core::sha256_hex(
        exchange_.request().method_ + "\n" + exchange_.request().target_ +
        "\n" + exchange_.request().body_);
    const control::claim_call order{
        facts_.account_,
        idempotency_key_,
        digest,
        claim_attempt_,
        core::wall_ms()};
    const auto reply = co_await control_.submit(order, claim_patience);
    if (!core::is_ok(reply))
    {
        refusal_answer why{
            503,
            "claims_unreachable",
            "The control group cannot be reached, so the call was not "
            "dispatched now; an earlier one with this key may have run.",
            false,
            core::duration{2'000}};
        co_await give_up(std::move(why), end);
        co_return false;
    }
    const control::command_reply& got = core::value(reply);
    if (got.verdict_ == control::verdict::granted)
    {
        holds_claim_ = true;
        end.may_have_run_ = false;
        co_return true;
    }
    claim_in_doubt_ = false;
    end.code_ = std::string(name_of(got.verdict_));
    if (got.verdict_ == control::verdict::recorded)
    {
        end.result_ = service_result::good;
        drivers::header_list headers{
            {"Content-Type", got.content_type_}, {"Idempotent-Replay", "true"}};
        co_await exchange_.send(got.status_, std::move(headers), got.body_);
        co_return false;
    }
    end.result_ = service_result::excluded;
    if (got.verdict_ == control::verdict::mismatch)
    {
        refusal_answer reused{
            422,
            "idempotency_key_reused",
            "This Idempotency-Key belongs to another request.",
            false,
            std::nullopt};
        co_await refuse(exchange_, std::move(reused));
        co_return false;
    }
    refusal_answer unknown{
        409,
        "outcome_unknown",
        "An earlier call with this key may have run or may be running.",
        false,
        core::duration{1'000}};
    co_await refuse(exchange_, std::move(unknown));
    co_return false;
}

drivers::http_call plain_request::make_call(const placed& place) const
{
    const drivers::http_request& from = exchange_.request();
    drivers::http_call call;
    call.address_ = place.reply_.decode_address_;
    call.method_ = from.method_;
    call.target_ = from.target_;
    call.body_ = from.body_;
    call.timeout_ = call_timeout;
    for (const auto& [key, text] : from.headers_)
    {
        if (is_passed_on(key))
        {
            call.headers_.emplace_back(key, text);
        }
    }
    call.headers_.emplace_back("X-Attempt-Id", to_string(place.attempt_));
    return call;
}

awaitable<plain_request::step> plain_request::attempt(request_end& end)
{
    reserve_request wanted;
    wanted.service_ = facts_.service_.name_;
    wanted.attempt_.host_ = with_.identity().host_;
    wanted.attempt_.incarnation_ = with_.identity().incarnation_;
    wanted.account_ = facts_.account_;
    wanted.weight_ = facts_.weight_;
    wanted.interactive_ = facts_.route_.interactive_;
    wanted.avoid_.assign(avoid_.begin(), avoid_.end());
    const placed place = co_await pools_.reserve(wanted, due());
    if (!place.reply_.granted_)
    {
        const auto reason =
            static_cast<policy::refusal_reason>(place.reply_.reason_);
        refusal_answer why{
            503,
            std::string(policy::name_of(reason)),
            "No endpoint has room in time.",
            !end.may_have_run_,
            core::duration{place.reply_.retry_after_ms_}};
        co_await give_up(std::move(why), end);
        co_return step::given_up;
    }
    ++end.attempts_;
    end.last_attempt_ = place.attempt_;
    end.endpoint_ = place.reply_.decode_;
    place_guard guard(
        with_, pools_, facts_.service_.name_, place, 1, facts_.key_id_);
    // A plain service holds no memory for an attempt: nothing to cancel.
    guard.set_finished();
    core::check_invariant(
        !needs_claim() || (holds_claim_ && !dispatched_),
        "a non-idempotent request runs at most once");
    const bool ran_before = end.may_have_run_;
    end.may_have_run_ = true;
    dispatched_ = true;
    drivers::http_call call = make_call(place);
    auto reply = co_await with_.http_.request(std::move(call));
    if (core::is_ok(reply))
    {
        guard.ending().completed_ = true;
        drivers::http_response answer = std::move(core::value(reply));
        const step done = co_await pass_on(std::move(answer), end);
        co_return done;
    }
    guard.ending().endpoint_lost_ = true;
    guard.ending().lost_endpoint_ = place.reply_.decode_;
    avoid_.insert(place.reply_.decode_);
    if (core::failure(reply).code_ == errc::unreachable)
    {
        // No byte was sent, so another endpoint may be tried.
        end.may_have_run_ = ran_before;
        dispatched_ = false;
        co_return step::again;
    }
    if (facts_.route_.idempotent_)
    {
        co_return step::again;
    }
    refusal_answer unknown{
        502,
        "outcome_unknown",
        "The connection was lost while the call ran.",
        false,
        std::nullopt};
    co_await give_up(std::move(unknown), end);
    co_return step::given_up;
}

void plain_request::record(const drivers::http_response& reply)
{
    control::record_outcome order{
        facts_.account_,
        idempotency_key_,
        claim_attempt_,
        reply.status_,
        std::string(drivers::find_header(reply.headers_, "Content-Type")),
        reply.body_};
    if (order.body_.size() > longest_recorded_body)
    {
        order.content_type_ = "application/json";
        order.body_ = R"({"note":"The call ran; its answer was too long to )"
                      R"(keep."})";
    }
    drivers::spawn(
        with_.io_, submit_later(control_, std::move(order), record_patience));
}

awaitable<plain_request::step> plain_request::pass_on(
    drivers::http_response reply, request_end& end)
{
    if (needs_claim())
    {
        // The caller's answer does not wait for the record.
        record(reply);
    }
    drivers::header_list headers;
    for (const auto& [key, text] : reply.headers_)
    {
        if (is_passed_on(key))
        {
            headers.emplace_back(key, text);
        }
    }
    end.used_tokens_ = facts_.service_.call_cost_;
    const bool in_time = core::steady_now() - facts_.arrived_ <=
                         facts_.service_.interactive_.first_token_;
    constexpr int first_server_error = 500;
    end.result_ = reply.status_ >= first_server_error ? service_result::failed
                  : in_time                           ? service_result::good
                                                      : service_result::late;
    co_await exchange_.send(
        reply.status_, std::move(headers), std::move(reply.body_));
    co_return step::answered;
}

void plain_request::give_back_claim()
{
    if (!needs_claim() || dispatched_ || !claim_in_doubt_)
    {
        return;
    }
    const control::abandon_claim order{
        facts_.account_, idempotency_key_, claim_attempt_};
    drivers::spawn(with_.io_, submit_later(control_, order, abandon_patience));
}

} // namespace poplarroute::node
