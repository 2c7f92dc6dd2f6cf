#include "node/model_request.hpp"

#include <algorithm>

namespace poplarroute::node
{

using core::errc;

namespace
{

constexpr int most_attempts = 8;

/// A prefill's result is evicted in under a second.
constexpr core::duration prefill_lifetime{600};

constexpr core::duration least_stall{3'000};
constexpr std::int64_t stall_factor = 20;

/// A request that has run this long on an endpoint is not likely to be what
/// brought it down.
constexpr core::duration starter_span{3'000};

/// After the first token a request may wait longer for a place: its caller
/// has an answer that has begun.
constexpr core::duration resume_patience{20'000};

refusal_answer refusal_for(const reserve_reply& reply, bool may_have_run)
{
    const auto reason = static_cast<policy::refusal_reason>(reply.reason_);
    refusal_answer why;
    why.status_ = 503;
    why.code_ = std::string(policy::name_of(reason));
    why.message_ = "No place in time for the first token.";
    why.not_run_ = !may_have_run;
    why.retry_after_ =
        core::duration{std::max<std::int64_t>(reply.retry_after_ms_, 100)};
    return why;
}

refusal_answer quarantined()
{
    return {
        422,
        "quarantined",
        "Endpoints were lost while they ran this request.",
        false,
        std::nullopt};
}

refusal_answer broken_off()
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
    pool_gateway& pools,
    crash_detector& crashes,
    policy::retry_budget& retries,
    const request_facts& facts,
    const completion_request& asked,
    drivers::http_exchange& exchange)
    : with_(with),
      pools_(pools),
      crashes_(crashes),
      retries_(retries),
      facts_(facts),
      asked_(asked),
      writer_(exchange, asked, facts.id_),
      engines_(with.http_)
{
}

const control::latency_target& model_request::target() const
{
    return facts_.route_.interactive_ ? facts_.service_.interactive_
                                      : facts_.service_.batch_;
}

core::time_point model_request::first_token_due() const
{
    if (first_token_at_)
    {
        return core::steady_now() + resume_patience;
    }
    return facts_.arrived_ + target().first_token_;
}

std::int64_t model_request::remaining_output() const
{
    return std::max<std::int64_t>(asked_.max_tokens_ - writer_.sent(), 1);
}

void model_request::waste_prefill(const char* why)
{
    with_.metrics_.count("poplarroute_wasted_prefills_total", {{"why", why}});
}

void model_request::count_attempt(const char* how)
{
    with_.metrics_.count(
        "poplarroute_attempts_total",
        {{"service", facts_.service_.name_}, {"end", how}});
}

awaitable<void> model_request::run(request_end& end)
{
    retries_.first_try();
    for (int tries = 0; tries < most_attempts; ++tries)
    {
        const policy::suspicion known = crashes_.look_up(asked_.digest_);
        if (known == policy::suspicion::quarantined)
        {
            refusal_answer why = quarantined();
            why.not_run_ = !end.may_have_run_;
            co_await give_up(std::move(why), end);
            co_return;
        }
        alone_ = known == policy::suspicion::suspect;
        if (tries > 0 && !retries_.take())
        {
            break;
        }
        const step done = co_await attempt(end);
        if (done == step::again)
        {
            continue;
        }
        co_return;
    }
    refusal_answer why = broken_off();
    why.not_run_ = !end.may_have_run_;
    co_await give_up(std::move(why), end);
}

awaitable<model_request::step> model_request::give_up(
    refusal_answer why, request_end& end)
{
    end.code_ = why.code_;
    end.result_ = writer_.sent() > 0 || end.may_have_run_
                      ? service_result::failed
                      : service_result::refused;
    co_await writer_.fail(std::move(why));
    co_return step::given_up;
}

reserve_request model_request::make_reserve() const
{
    reserve_request request;
    request.service_ = facts_.service_.name_;
    request.attempt_.host_ = with_.identity().host_;
    request.attempt_.incarnation_ = with_.identity().incarnation_;
    request.account_ = facts_.account_;
    request.weight_ = facts_.weight_;
    request.interactive_ = facts_.route_.interactive_;
    request.alone_ = alone_;
    request.prompt_tokens_ = asked_.prompt_tokens_ + writer_.sent();
    request.output_tokens_ = remaining_output();
    const std::int64_t tokens = asked_.prompt_tokens_ + asked_.max_tokens_;
    const std::int64_t size = facts_.service_.tokens_per_piece_;
    request.pieces_ = (tokens + size - 1) / size;
    request.prefix_ = asked_.prefix_;
    request.avoid_.assign(avoid_.begin(), avoid_.end());
    return request;
}

awaitable<model_request::step> model_request::attempt(request_end& end)
{
    const reserve_request wanted = make_reserve();
    const placed place = co_await pools_.reserve(wanted, first_token_due());
    if (!place.reply_.granted_)
    {
        if (!avoid_.empty() && core::steady_now() < first_token_due())
        {
            // What failed before is better than no answer.
            avoid_.clear();
            co_return step::again;
        }
        refusal_answer why = refusal_for(place.reply_, end.may_have_run_);
        const step told = co_await give_up(std::move(why), end);
        co_return told;
    }
    ++end.attempts_;
    end.last_attempt_ = place.attempt_;
    end.endpoint_ = place.reply_.decode_;
    place_guard guard(
        with_,
        pools_,
        facts_.service_.name_,
        place,
        wanted.pieces_,
        facts_.key_id_);
    const step done = co_await run_at(guard, end);
    co_return done;
}

awaitable<model_request::step> model_request::run_at(
    place_guard& guard, request_end& end)
{
    const bool prefilled = co_await prefill(guard, end);
    if (!prefilled)
    {
        co_return step::again;
    }
    const bool confirmed = co_await confirm_decode(guard, end);
    if (!confirmed)
    {
        waste_prefill("no_decode_memory");
        count_attempt("no_decode_memory");
        co_return step::again;
    }
    const step outcome = co_await decode(guard, end);
    co_return outcome;
}

awaitable<bool> model_request::prefill(place_guard& guard, request_end& end)
{
    const reserve_reply& place = guard.place().reply_;
    prefill_order order;
    order.attempt_ = guard.place().attempt_;
    order.prompt_ = asked_.prompt_;
    order.prompt_tokens_ = asked_.prompt_tokens_ + writer_.sent();
    order.output_tokens_ = remaining_output();
    order.prefix_ = asked_.prefix_;
    order.interactive_ = facts_.route_.interactive_;
    const core::time_point began = core::steady_now();
    engine_refusal refusal = engine_refusal::none;
    const bool ran_before = end.may_have_run_;
    end.may_have_run_ = true;
    const auto done = co_await engines_.prefill(
        place.prefill_address_, std::move(order), refusal);
    if (core::is_ok(done))
    {
        guard.ending().prefill_ms_ = core::value(done).computed_.ms_;
        guard.ending().prefilled_tokens_ = core::value(done).computed_tokens_;
        co_return true;
    }
    const errc code = core::failure(done).code_;
    const bool nothing_ran =
        refusal == engine_refusal::no_memory || code == errc::unreachable;
    end.may_have_run_ = ran_before || !nothing_ran;
    count_attempt(
        refusal == engine_refusal::none ? "prefill_broken" : "prefill_refused");
    avoid_.insert(place.prefill_);
    if (refusal == engine_refusal::none)
    {
        co_await note_failure(
            guard,
            place.prefill_,
            place.prefill_address_,
            place.prefill_boot_,
            began,
            code != errc::unreachable);
    }
    co_return false;
}

awaitable<bool> model_request::confirm_decode(
    place_guard& guard, request_end& end)
{
    const reserve_reply& place = guard.place().reply_;
    prefilled_request request;
    request.service_ = facts_.service_.name_;
    request.attempt_ = guard.place().attempt_;
    request.wait_ms_ = prefill_lifetime.ms_;
    if (!place.promised_)
    {
        co_return true;
    }
    const reserve_reply reply =
        co_await pools_.prefilled(guard.place().zone_, std::move(request));
    if (!reply.granted_)
    {
        co_return false;
    }
    guard.confirm_decode(reply);
    end.endpoint_ = guard.place().reply_.decode_;
    co_return true;
}

awaitable<model_request::step> model_request::decode(
    place_guard& guard, request_end& end)
{
    const reserve_reply place = guard.place().reply_;
    const core::time_point began = core::steady_now();
    bool broke = false;
    // A stream that breaks goes on where it was; each time it must get on.
    for (std::int64_t tried_at = -1; tried_at < writer_.sent();)
    {
        tried_at = writer_.sent();
        decode_order order;
        order.attempt_ = guard.place().attempt_;
        order.from_ = place.prefill_address_;
        order.offset_ = writer_.sent();
        order.prompt_tokens_ = asked_.prompt_tokens_;
        order.output_tokens_ = asked_.max_tokens_;
        order.interactive_ = facts_.route_.interactive_;
        engine_refusal refusal = engine_refusal::none;
        auto opened = co_await engines_.decode(
            place.decode_address_, std::move(order), refusal);
        if (!core::is_ok(opened))
        {
            if (refusal == engine_refusal::no_memory && !broke)
            {
                waste_prefill("decode_refused");
                count_attempt("decode_refused");
                avoid_.insert(place.decode_);
                co_return step::again;
            }
            broke = broke || core::failure(opened).code_ == errc::broken;
            break;
        }
        pools_.transferred(
            guard.place().zone_,
            {facts_.service_.name_, guard.place().attempt_});
        const step got = co_await relay(*core::value(opened), guard, end);
        if (got != step::again)
        {
            co_return got;
        }
        broke = true;
    }
    count_attempt("decode_broken");
    if (writer_.sent() == 0)
    {
        waste_prefill("decode_broken");
    }
    avoid_.insert(place.decode_);
    co_await note_failure(
        guard,
        place.decode_,
        place.decode_address_,
        place.decode_boot_,
        began,
        broke);
    co_return step::again;
}

awaitable<model_request::step> model_request::relay(
    decode_stream& stream, place_guard& guard, request_end& end)
{
    const core::duration stall{
        std::max(least_stall.ms_, target().between_tokens_.ms_ * stall_factor)};
    step outcome = step::again;
    for (;;)
    {
        auto frame = co_await stream.next(stall);
        if (!core::is_ok(frame))
        {
            break;
        }
        const auto* piece = std::get_if<token_frame>(&core::value(frame));
        if (piece == nullptr)
        {
            guard.set_finished();
            guard.ending().completed_ = true;
            outcome = step::whole;
            break;
        }
        last_token_at_ = core::steady_now();
        first_token_at_ = first_token_at_.value_or(last_token_at_);
        const bool taken =
            co_await writer_.tokens(piece->text_, piece->tokens_);
        end.used_tokens_ = asked_.prompt_tokens_ + writer_.sent();
        if (!taken)
        {
            end.code_ = "caller_gone";
            end.result_ = service_result::excluded;
            co_return step::caller_gone;
        }
    }
    guard.ending().output_tokens_ = writer_.sent();
    if (first_token_at_)
    {
        guard.ending().decode_ms_ = (last_token_at_ - *first_token_at_).ms_;
    }
    if (stream.dropped() > 0)
    {
        with_.metrics_.count(
            "poplarroute_frames_dropped_total",
            {},
            static_cast<double>(stream.dropped()));
    }
    if (outcome != step::whole)
    {
        co_return outcome;
    }
    count_attempt("whole");
    const core::time_point first = first_token_at_.value_or(core::steady_now());
    const core::duration waited = first - facts_.arrived_;
    const std::int64_t between =
        writer_.sent() > 1 ? (last_token_at_ - first).ms_ / (writer_.sent() - 1)
                           : 0;
    const bool in_time = waited <= target().first_token_ &&
                         between <= target().between_tokens_.ms_;
    end.result_ = in_time ? service_result::good : service_result::late;
    const drivers::metric_labels labels{{"route", facts_.route_.name_}};
    with_.metrics_.observe_ms(
        "poplarroute_first_token_ms", labels, static_cast<double>(waited.ms_));
    with_.metrics_.observe_ms(
        "poplarroute_between_tokens_ms", labels, static_cast<double>(between));
    co_await writer_.finish("stop");
    co_return step::whole;
}

awaitable<void> model_request::note_failure(
    place_guard& guard,
    std::string endpoint,
    std::string address,
    std::string boot,
    core::time_point began,
    bool broke)
{
    guard.ending().endpoint_lost_ = true;
    guard.ending().lost_endpoint_ = endpoint;
    if (!broke)
    {
        co_return;
    }
    const bool lost = co_await crashes_.is_process_lost(address, boot);
    if (!lost)
    {
        co_return;
    }
    policy::evidence weight = policy::evidence::long_running;
    if (alone_)
    {
        weight = policy::evidence::alone;
    }
    else if (core::steady_now() - began < starter_span)
    {
        weight = policy::evidence::just_started;
    }
    std::string crash = endpoint + "@" + boot;
    co_await crashes_.note(asked_.digest_, std::move(crash), weight);
}

} // namespace poplarroute::node
