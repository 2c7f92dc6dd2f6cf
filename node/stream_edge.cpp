#include "node/stream_edge.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

using core::errc;

namespace
{

/// An engine that does not take a connection in this time is not there.
constexpr core::duration connect_patience{150};

/// Less time than this is not worth another try.
constexpr core::duration least_left{200};

/// Timeout of a prefill call; a prefill takes about 100 ms.
constexpr core::duration read_patience{2'500};

/// A decode engine's first event comes within some 100 ms; callers give a
/// stream up after about two seconds.
constexpr core::duration open_patience{4'000};

/// Callers leave a stream that pauses for longer: two seconds, or four times
/// the latency objective, or eight times the pause allowed.
constexpr core::duration least_silence{2'000};
constexpr std::int64_t objective_silence = 4;
constexpr std::int64_t pause_silence = 8;

/// Percentage of the callers' patience that a stream may queue for a placement;
/// the rest is for its prefill. After that it is refused, while its caller can
/// still retry.
constexpr std::int64_t wait_percent = 60;

/// From the place to the first event, when nothing queues.
constexpr core::duration usual_start{220};

constexpr int most_places = 4;
constexpr core::duration least_retry{300};

constexpr int status_ok = 200;
constexpr int first_error_status = 300;

/// \return how long callers wait for the next event, the first included.
core::duration callers_patience(const control::catalog_route& route)
{
    return std::max(
        {least_silence,
         route.target_latency_ * objective_silence,
         route.max_event_gap_ * pause_silence});
}

} // namespace

stream_edge::stream_edge(
    edge_tools& tools, placement_link& places, edge_call& call, edge_end& end)
    : tools_(tools), places_(places), call_(call), end_(end)
{
    last_event_ = call.request_.resume_after_;
}

stream_edge::~stream_edge()
{
    stream_.reset();
    forget_handle();
    leave_place(false);
}

void stream_edge::leave_place(bool complete)
{
    if (!has_place_)
    {
        return;
    }
    has_place_ = false;
    tools_.with_.board_.section<stream_section>().running_.erase(place_id_);
    end_message ending;
    ending.service_ = call_.service_;
    ending.id_ = place_id_;
    ending.complete_ = complete;
    ending.prompt_tokens_ = call_.request_.prompt_tokens_;
    ending.read_ms_ = read_.ms_;
    const control::catalog_service* service =
        call_.catalog_->find_service(call_.service_);
    if (complete && service != nullptr && service->engine_)
    {
        ending.output_tokens_ =
            end_.events_ * service->engine_->tokens_per_event_;
        ending.decode_ms_ = (last_event_at_ - first_event_at_).ms_;
    }
    places_.end(std::move(ending));
}

void stream_edge::forget_handle()
{
    if (!handle_)
    {
        return;
    }
    drivers::http_call call =
        tools_.dialect_.free_handle_call(handle_address_, *handle_);
    handle_.reset();
    context& with = tools_.with_;
    drivers::spawn(
        with.io_,
        [](drivers::http_client& http,
           drivers::http_call out) -> awaitable<void>
        {
            // A handle that is not freed expires by itself.
            co_await http.request(std::move(out));
        }(with.http_, std::move(call)));
}

void stream_edge::blame(const core::endpoint_id& engine)
{
    avoid_.insert(engine);
    note_message what;
    what.service_ = call_.service_;
    what.failed_ = engine;
    places_.note(std::move(what));
}

void stream_edge::note_replaced(const core::endpoint_id& engine)
{
    note_message what;
    what.service_ = call_.service_;
    what.replaced_ = engine;
    places_.note(std::move(what));
}

want_message stream_edge::next_want() const
{
    const edge_request& request = call_.request_;
    const core::duration waited = core::steady_now() - call_.arrived_;
    want_message out;
    out.service_ = call_.service_;
    out.id_ = place_id_;
    out.digest_ = call_.digest_;
    out.host_ = tools_.with_.identity().host_;
    out.zone_ = tools_.with_.board_.section<settings_section>().settings_.zone_;
    out.prompt_tokens_ = std::max<std::int64_t>(request.prompt_tokens_, 1);
    out.most_output_ = request.most_output_;
    out.output_hint_ = request.output_hint_;
    out.priority_ = call_.priority_;
    out.on_time_ms_ = (call_.route_.target_latency_ - waited - usual_start).ms_;
    const core::duration longest_wait{
        callers_patience(call_.route_).ms_ * wait_percent / 100};
    out.give_up_ms_ =
        std::min(longest_wait - waited, time_left(call_) - least_left).ms_;
    out.prompt_is_read_ = handle_.has_value();
    out.decode_reads_prompt_ = decode_reads_prompt_;
    out.avoid_.assign(avoid_.begin(), avoid_.end());
    const bool reads_again =
        prompt_reads_ > 0 && !handle_ && !decode_reads_prompt_;
    out.resends_ = (reads_again ? 1 : 0) + (end_.sends_ > 0 ? 1 : 0);
    if (!call_.paid_ && !call_.account_.empty())
    {
        out.account_ = call_.account_;
        out.price_ = call_.price_;
    }
    return out;
}

awaitable<stream_edge::step> stream_edge::take_place()
{
    leave_place(false);
    place_id_ = call_.request_.attempt_ + "." + std::to_string(++places_taken_);
    const want_message want = next_want();
    if (want.give_up_ms_ <= 0)
    {
        end_.detail_ = "no time left to wait";
        co_return step::refused;
    }
    const core::time_point asked_at = core::steady_now();
    // Registered first: the caller may leave while the answer is on its way.
    has_place_ = true;
    place_ = co_await places_.place(want);
    end_.waited_ms_ = std::max<std::int64_t>(end_.waited_ms_, 0) +
                      (core::steady_now() - asked_at).ms_;
    if (!place_.placed_)
    {
        has_place_ = false;
        retry_after_ = core::duration{place_.retry_ms_};
        end_.detail_ = place_.reason_;
        co_return step::refused;
    }
    call_.paid_ = true;
    end_.endpoint_ = place_.decoder_;
    running_stream running;
    running.place_.id_ = place_id_;
    running.place_.service_ = call_.service_;
    running.place_.decoder_ = place_.decoder_;
    running.place_.prompt_tokens_ = want.prompt_tokens_;
    running.place_.expected_output_ =
        want.output_hint_ > 0 ? want.output_hint_ : want.most_output_ / 2;
    running.placed_at_ = core::steady_now();
    tools_.with_.board_.section<stream_section>().running_[place_id_] =
        std::move(running);
    co_return step::done;
}

awaitable<stream_edge::step> stream_edge::read_prompt()
{
    const known_endpoint* to = tools_.find(place_.reader_);
    if (to == nullptr)
    {
        avoid_.insert(place_.reader_);
        end_.detail_ = "the reader has gone";
        co_return step::again;
    }
    send_plan plan = plan_to(*to, call_);
    plan.stage_ = send_stage::read_prompt;
    drivers::http_call out = tools_.dialect_.encode_call(call_.request_, plan);
    out.timeout_ = std::min(read_patience, plan.deadline_);
    out.connect_timeout_ = connect_patience;
    end_.reader_ = place_.reader_;
    if (prompt_reads_ > 0 && place_.alone_ &&
        !tools_.may_resend(call_.service_))
    {
        end_.detail_ = "no allowance to read the prompt again";
        co_return step::refused;
    }
    ++prompt_reads_;
    const core::time_point began = core::steady_now();
    const core::result<drivers::http_reply> reply =
        co_await tools_.with_.http_.request(std::move(out));
    if (!core::is_ok(reply))
    {
        end_.detail_ = "reader: " + core::failure(reply).message_;
        prompt_reads_ -=
            core::failure(reply).code_ == errc::unreachable ? 1 : 0;
        blame(place_.reader_);
        co_return step::again;
    }
    const drivers::http_reply& got = core::value(reply);
    if (got.status_ != status_ok)
    {
        const answer_facts facts =
            tools_.dialect_.facts_of(call_.request_, got.status_, got.headers_);
        end_.detail_ = "reader answered " + std::to_string(got.status_);
        avoid_.insert(place_.reader_);
        if (facts.misdirected_)
        {
            note_replaced(place_.reader_);
        }
        else if (!facts.not_run_)
        {
            blame(place_.reader_);
        }
        co_return step::again;
    }
    auto handle = tools_.dialect_.decode_handle(got.body_);
    if (!handle)
    {
        end_.detail_ = "the reader's answer holds no handle";
        blame(place_.reader_);
        co_return step::again;
    }
    handle_ = std::move(handle);
    handle_address_ = plan.address_;
    handle_at_ = core::steady_now();
    read_ = handle_at_ - began;
    end_.read_ms_ = read_.ms_;
    note_message what;
    what.service_ = call_.service_;
    what.read_ = place_id_;
    places_.note(std::move(what));
    co_return step::done;
}

awaitable<stream_edge::step> stream_edge::open_decode()
{
    const known_endpoint* to = tools_.find(place_.decoder_);
    if (to == nullptr)
    {
        avoid_.insert(place_.decoder_);
        end_.detail_ = "the decode engine has gone";
        co_return step::again;
    }
    send_plan plan = plan_to(*to, call_);
    plan.resume_after_ = last_event_;
    if (handle_)
    {
        plan.prompt_source_ =
            tools_.dialect_.prompt_source(handle_address_, *handle_);
    }
    drivers::http_call out = tools_.dialect_.encode_call(call_.request_, plan);
    out.timeout_ = std::min(open_patience, plan.deadline_);
    out.connect_timeout_ = connect_patience;
    if (end_.sends_ > 0 && place_.alone_ && !tools_.may_resend(call_.service_))
    {
        end_.detail_ += ", and no allowance to send again";
        co_return step::refused;
    }
    ++end_.sends_;
    core::result<std::unique_ptr<drivers::http_stream>> opened =
        co_await tools_.with_.http_.open(std::move(out));
    if (!core::is_ok(opened))
    {
        end_.detail_ = "decode: " + core::failure(opened).message_;
        blame(place_.decoder_);
        if (core::failure(opened).code_ == errc::unreachable)
        {
            --end_.sends_;
            co_return step::again;
        }
        may_have_run_ = true;
        if (core::failure(opened).code_ == errc::broken)
        {
            tools_.suspect(call_, place_.decoder_, policy::evidence::starter);
        }
        co_return may_resume() ? step::again : step::failed;
    }
    stream_ = std::move(core::value(opened));
    co_return judge_decode();
}

stream_edge::step stream_edge::judge_decode()
{
    const answer_facts facts = tools_.dialect_.facts_of(
        call_.request_, stream_->status(), stream_->headers());
    if (facts.not_run_ || facts.misdirected_)
    {
        end_.detail_ = "decode answered " + std::to_string(stream_->status());
        stream_.reset();
        avoid_.insert(place_.decoder_);
        if (facts.misdirected_)
        {
            note_replaced(place_.decoder_);
            return step::again;
        }
        if (handle_ && place_.alone_)
        {
            // The engine is more likely full of other hosts' streams than the
            // handle has lapsed: another engine may still fetch the prompt.
            return step::again;
        }
        note_message what;
        what.service_ = call_.service_;
        what.lapsed_ = handle_ ? end_.reader_ : core::endpoint_id();
        places_.note(std::move(what));
        // The KV cache may have expired at its reader; the next engine
        // prefills the prompt itself.
        decode_reads_prompt_ = true;
        handle_.reset();
        return step::again;
    }
    note_message what;
    what.service_ = call_.service_;
    what.worked_ = {place_.decoder_};
    if (handle_)
    {
        what.worked_.push_back(end_.reader_);
    }
    places_.note(std::move(what));
    handle_.reset();
    if (!facts.signed_ || !facts.echoes_attempt_)
    {
        end_.detail_ = "the answer is not this request's";
        stream_.reset();
        may_have_run_ = true;
        blame(place_.decoder_);
        return may_resume() ? step::again : step::failed;
    }
    return step::done;
}

awaitable<bool> stream_edge::pass_on(
    drivers::http_exchange& exchange, stream_event event)
{
    const core::time_point now = core::steady_now();
    if (event.id_)
    {
        const bool again = last_event_ && *event.id_ <= *last_event_;
        if (again)
        {
            co_return true;
        }
        last_event_ = event.id_;
    }
    if (end_.events_ == 0)
    {
        first_event_at_ = now;
        end_.first_event_ms_ = (now - call_.arrived_).ms_;
    }
    last_event_at_ = now;
    ++end_.events_;
    const bool taken = co_await exchange.write(event.bytes_);
    co_return taken;
}

awaitable<stream_edge::step> stream_edge::relay(
    drivers::http_exchange& exchange)
{
    const core::duration silence = callers_patience(call_.route_);
    events_ = event_reader();
    for (;;)
    {
        const core::duration patience = std::min(silence, time_left(call_));
        if (patience.ms_ == 0)
        {
            end_.detail_ = "the time limit passed";
            co_return step::failed;
        }
        core::result<std::optional<std::string>> piece =
            co_await stream_->next_piece(patience);
        if (!core::is_ok(piece))
        {
            end_.detail_ = "stream: " + core::failure(piece).message_;
            if (core::failure(piece).code_ == errc::broken)
            {
                tools_.suspect(
                    call_, place_.decoder_, policy::evidence::bystander);
            }
            co_return step::again;
        }
        if (!core::value(piece))
        {
            const bool whole = !events_.unfinished();
            end_.detail_ = whole ? "" : "the stream ended within an event";
            co_return whole ? step::done : step::again;
        }
        events_.add(*core::value(piece));
        for (auto event = events_.next(); event; event = events_.next())
        {
            const bool taken = co_await pass_on(exchange, std::move(*event));
            if (!taken)
            {
                end_.detail_ = "the caller does not read";
                co_return step::failed;
            }
        }
    }
}

bool stream_edge::may_resume() const
{
    return call_.route_.resumable_ && time_left(call_) > least_left;
}

bool stream_edge::may_try_again()
{
    return places_taken_ < most_places && time_left(call_) > least_left;
}

awaitable<stream_edge::step> stream_edge::one_run(
    drivers::http_exchange& exchange)
{
    const step placed = co_await take_place();
    if (placed != step::done)
    {
        co_return placed;
    }
    if (!handle_ && !place_.reader_.empty())
    {
        const step read = co_await read_prompt();
        if (read != step::done)
        {
            co_return read;
        }
    }
    const step opened = co_await open_decode();
    if (opened != step::done)
    {
        co_return opened;
    }
    if (stream_->status() >= first_error_status)
    {
        end_.status_ = stream_->status();
        end_.outcome_ = "answered";
        drivers::header_list headers =
            tools_.dialect_.answer_headers(stream_->headers());
        constexpr std::size_t error_bytes = 1024 * 1024;
        core::result<std::string> body =
            co_await stream_->read_rest(open_patience, error_bytes);
        if (end_.opened_ || !core::is_ok(body))
        {
            end_.detail_ = "the engine failed the stream";
            co_return step::failed;
        }
        co_await exchange.send(
            end_.status_, std::move(headers), std::move(core::value(body)));
        co_return step::done;
    }
    if (!end_.opened_)
    {
        end_.opened_ = true;
        end_.status_ = stream_->status();
        drivers::header_list headers =
            tools_.dialect_.answer_headers(stream_->headers());
        co_await exchange.open_stream(end_.status_, std::move(headers));
    }
    const step relayed = co_await relay(exchange);
    stream_.reset();
    if (relayed == step::done)
    {
        end_.outcome_ = "answered";
        leave_place(true);
        co_await exchange.finish();
        co_return step::done;
    }
    if (relayed == step::again)
    {
        blame(place_.decoder_);
        co_return may_resume() ? step::again : step::failed;
    }
    co_return relayed;
}

awaitable<void> stream_edge::run(drivers::http_exchange& exchange)
{
    step last = step::again;
    while (last == step::again)
    {
        last = co_await one_run(exchange);
        if (last == step::again)
        {
            const bool more = may_try_again();
            if (!more)
            {
                last = end_.opened_ ? step::failed : step::refused;
            }
        }
    }
    if (last != step::done)
    {
        co_await answer_failure(exchange, last);
    }
}

awaitable<void> stream_edge::answer_failure(
    drivers::http_exchange& exchange, step last)
{
    if (end_.opened_)
    {
        end_.outcome_ = "stream_broken";
        exchange.abandon();
        co_return;
    }
    std::optional<core::duration> retry;
    if (last == step::refused && !may_have_run_)
    {
        end_.status_ = place_.over_rate_ ? status_too_many : status_unavailable;
        end_.outcome_ = place_.over_rate_ ? "over_rate" : "refused_no_room";
        retry = std::max(retry_after_, least_retry);
    }
    else
    {
        const bool late = time_left(call_).ms_ == 0;
        end_.status_ = late ? status_timeout : status_bad_gateway;
        end_.outcome_ = late ? "timed_out" : "engine_lost";
    }
    co_await answer_own(
        exchange, tools_.dialect_, call_.request_, end_.status_, retry);
}

} // namespace poplarroute::node
