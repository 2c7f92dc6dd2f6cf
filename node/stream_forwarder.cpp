#include "node/stream_forwarder.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace poplarroute::node
{

using core::errc;

namespace
{

/// An engine that does not accept a connection within this time is treated as
/// unreachable.
constexpr core::duration connect_timeout{150};

/// Minimum time left for which a retry is made.
constexpr core::duration min_retry_time{200};

/// Timeout of a prefill call; a prefill takes about 100 ms.
constexpr core::duration prefill_timeout{2'500};

/// Timeout for the response headers of a decode engine. Its first event comes
/// within about 100 ms; callers abandon a stream after about two seconds.
constexpr core::duration open_timeout{4'000};

/// Callers abandon a stream that pauses for longer than the largest of: two
/// seconds, four times the latency objective, eight times the allowed pause.
constexpr core::duration min_event_timeout{2'000};
constexpr std::int64_t latency_objective_factor = 4;
constexpr std::int64_t pause_factor = 8;

/// Percentage of the callers' timeout that a stream may queue for a placement;
/// the rest is for its prefill. After that it is refused, while its caller can
/// still retry.
constexpr std::int64_t max_queue_wait_percent = 60;

/// Time from the placement to the first event when nothing is queued.
constexpr core::duration typical_first_event_time{220};

/// Time after its first event for which a stream has only begun. An engine that
/// crashes within it may have crashed because of this prompt.
constexpr core::duration begin_period{200};

/// Retry-After of a stream that is refused because its prompt has been
/// quarantined meanwhile.
constexpr core::duration quarantined_retry_after{10'000};

/// Events of a stream that carry no token, such as comments.
constexpr std::int64_t max_events_without_tokens = 1'000;

constexpr int max_placement_attempts = 4;
constexpr core::duration min_retry_after{300};

constexpr int status_ok = 200;
constexpr int min_error_status = 300;
constexpr int min_failure_status = 500; ///< Of an engine's own failures.

/// Appended to the route's name where roll-outs compare prefills, which take
/// another time than decoding.
constexpr const char* prefill_route_suffix = "/prefill";

/// \return how long callers wait for the next event, the first included.
core::duration caller_event_timeout(const control::catalog_route& route)
{
    return std::max(
        {min_event_timeout,
         route.target_latency_ * latency_objective_factor,
         route.max_event_gap_ * pause_factor});
}

} // namespace

stream_forwarder::stream_forwarder(
    ingress_context& ingress,
    placement_client& placements,
    ingress_call& call,
    ingress_result& result)
    : ingress_(ingress),
      placements_(placements),
      call_(call),
      result_(result),
      origin_(ingress, call, result),
      sequence_(call.request_.resume_after_)
{
}

stream_forwarder::~stream_forwarder()
{
    stream_.reset();
    release_kv_handle();
    release_placement(false);
}

void stream_forwarder::release_placement(bool complete)
{
    if (!has_placement_)
    {
        return;
    }
    has_placement_ = false;
    ingress_.with_.board_.section<stream_section>().running_.erase(
        placement_id_);
    stream_end_message ending;
    ending.service_ = call_.service_;
    ending.id_ = placement_id_;
    ending.complete_ = complete;
    ending.prompt_tokens_ = call_.request_.prompt_tokens_;
    ending.read_ms_ = prefill_time_.ms_;
    const control::catalog_service* service =
        call_.catalog_->find_service(call_.service_);
    if (complete && service != nullptr && service->engine_)
    {
        ending.output_tokens_ =
            result_.events_ * service->engine_->tokens_per_event_;
        ending.decode_ms_ = (last_event_at_ - first_event_at_).ms_;
    }
    ending.parts_ = call_.request_.shared_parts_;
    ending.digest_ = call_.digest_;
    placements_.end_stream(std::move(ending));
}

void stream_forwarder::release_kv_handle()
{
    if (!kv_handle_)
    {
        return;
    }
    drivers::http_call call =
        ingress_.codec_.release_kv_handle_call(kv_handle_address_, *kv_handle_);
    kv_handle_.reset();
    drivers::spawn_task(
        ingress_.with_.io_,
        "release_kv_handle",
        [](endpoint_client& endpoints,
           core::endpoint_id reader,
           drivers::http_call out) -> awaitable<void>
        {
            // A handle that is not released expires by itself.
            co_await endpoints.request(
                std::move(reader),
                policy::call_purpose::housekeeping,
                std::move(out));
        }(ingress_.endpoints_, result_.reader_, std::move(call)));
}

void stream_forwarder::report_failure(const core::endpoint_id& engine)
{
    avoid_.insert(engine);
    engine_event_message event;
    event.service_ = call_.service_;
    event.failed_ = engine;
    placements_.record_engine_event(std::move(event));
}

/// Adds the pace that an engine reported with a response, if any, to an event.
void stream_forwarder::add_pace(
    engine_event_message& event,
    const core::endpoint_id& engine,
    const drivers::header_list& headers,
    int status) const
{
    const response_metadata metadata =
        ingress_.codec_.facts_of(call_.request_, status, headers);
    if (metadata.pace_percent_)
    {
        event.paces_.push_back({engine, *metadata.pace_percent_});
    }
}

void stream_forwarder::report_replaced(const core::endpoint_id& engine)
{
    engine_event_message event;
    event.service_ = call_.service_;
    event.replaced_ = engine;
    placements_.record_engine_event(std::move(event));
}

/// \return the engines that failed this stream, and those that take no requests
/// from this host now.
std::set<core::endpoint_id> stream_forwarder::engines_to_avoid() const
{
    std::set<core::endpoint_id> out = avoid_;
    const endpoint_section& list =
        ingress_.with_.board_.section<endpoint_section>();
    const core::time_point now = core::steady_now();
    for (const auto& [name, item] : list.endpoints_)
    {
        const bool is_withheld =
            item.listed_.service_ == call_.service_ &&
            (!list.notices_.may_send(
                 name, policy::call_purpose::request, now) ||
             !list.limits_.may_have_room(name, now));
        if (is_withheld)
        {
            out.insert(name);
        }
    }
    out.merge(ingress_.unreached_endpoints(call_.service_));
    return out;
}

placement_request stream_forwarder::make_placement_request() const
{
    const ingress_request& request = call_.request_;
    const core::duration waited = core::steady_now() - call_.arrived_at_;
    placement_request out;
    out.service_ = call_.service_;
    out.id_ = placement_id_;
    out.digest_ = call_.digest_;
    out.host_ = ingress_.with_.identity().host_;
    out.zone_ =
        ingress_.with_.board_.section<settings_section>().settings_.zone_;
    out.prompt_tokens_ = std::max<std::int64_t>(request.prompt_tokens_, 1);
    out.most_output_ = request.most_output_;
    out.output_hint_ = request.output_hint_;
    out.priority_ = call_.priority_;
    out.on_time_ms_ =
        (call_.route_.target_latency_ - waited - typical_first_event_time).ms_;
    const core::duration longest_wait{
        caller_event_timeout(call_.route_).ms_ * max_queue_wait_percent / 100};
    out.give_up_ms_ =
        std::min(longest_wait - waited, time_left(call_) - min_retry_time).ms_;
    out.prompt_is_read_ = kv_handle_.has_value();
    out.decode_reads_prompt_ = decode_reads_prompt_;
    const std::set<core::endpoint_id> avoided = engines_to_avoid();
    out.avoid_.assign(avoided.begin(), avoided.end());
    const bool prefills_again =
        prefills_sent_ > 0 && !kv_handle_ && !decode_reads_prompt_;
    out.resends_ = (prefills_again ? 1 : 0) + (result_.sends_ > 0 ? 1 : 0);
    out.sharing_account_ = call_.account_;
    out.sharing_price_ = call_.price_;
    out.pins_version_ = origin_.has_begun() || kv_handle_;
    out.kv_version_ =
        origin_.has_begun() ? origin_.version().value_or("") : kv_version_;
    if (!call_.charged_ && !call_.account_.empty())
    {
        out.account_ = call_.account_;
        out.price_ = call_.price_;
    }
    return out;
}

awaitable<stream_forwarder::step_result> stream_forwarder::acquire_placement()
{
    release_placement(false);
    placement_id_ =
        call_.request_.attempt_ + "." + std::to_string(++placement_attempts_);
    const placement_request request = make_placement_request();
    if (request.give_up_ms_ <= 0)
    {
        result_.detail_ = "no time left to wait";
        co_return step_result::refused;
    }
    const core::time_point requested_at = core::steady_now();
    // Set before the request: the caller may disconnect before the reply comes.
    has_placement_ = true;
    placement_ = co_await placements_.place(request);
    result_.waited_ms_ = std::max<std::int64_t>(result_.waited_ms_, 0) +
                         (core::steady_now() - requested_at).ms_;
    if (!placement_.placed_)
    {
        has_placement_ = false;
        retry_after_ = core::duration{placement_.retry_ms_};
        result_.detail_ = placement_.reason_;
        const bool lacks_version =
            kv_handle_ && !origin_.has_begun() &&
            placement_.reason_ ==
                policy::name_of(policy::stream_refusal_reason::no_engine);
        if (lacks_version)
        {
            // The engines of another version can prefill the prompt again.
            release_kv_handle();
            co_return may_place_again() ? step_result::retry
                                        : step_result::refused;
        }
        const bool lacks_reader = avoids_versions_ && !kv_handle_ &&
                                  !decode_reads_prompt_ &&
                                  !placement_.over_rate_;
        if (lacks_reader)
        {
            decode_reads_prompt_ = true;
            co_return step_result::retry;
        }
        co_return step_result::refused;
    }
    permission_ = {!placement_.decided_locally_, std::nullopt};
    if (placement_.is_target_)
    {
        // The leader decided no earlier than the request's queue time after it
        // was sent.
        permission_.target_until_ = requested_at +
                                    core::duration{placement_.waited_ms_} +
                                    rollout_grant_validity;
    }
    call_.charged_ = true;
    result_.endpoint_ = placement_.decoder_;
    running_stream running;
    running.placement_.id_ = placement_id_;
    running.placement_.service_ = call_.service_;
    running.placement_.decoder_ = placement_.decoder_;
    running.placement_.prompt_tokens_ = request.prompt_tokens_;
    running.placement_.expected_output_ = request.output_hint_ > 0
                                              ? request.output_hint_
                                              : request.most_output_ / 2;
    running.placed_at_ = core::steady_now();
    ingress_.with_.board_.section<stream_section>().running_[placement_id_] =
        std::move(running);
    co_return step_result::done;
}

/// \return the version at which the stream has to be placed, if the placement
/// joins engines of several: of the list that the leader has, or by a program
/// that does not know of versions.
std::optional<std::string> stream_forwarder::misplaced_version() const
{
    const known_endpoint* decoder =
        ingress_.find_usable_endpoint(placement_.decoder_);
    if (decoder == nullptr)
    {
        return std::nullopt;
    }
    const std::string& version = decoder->listed_.version_;
    if (!origin_.allows(decoder->listed_))
    {
        return origin_.version();
    }
    if (kv_handle_)
    {
        return version == kv_version_ ? std::nullopt
                                      : std::optional(kv_version_);
    }
    const known_endpoint* reader =
        ingress_.find_usable_endpoint(placement_.reader_);
    return reader == nullptr || reader->listed_.version_ == version
               ? std::nullopt
               : std::optional(version);
}

/// Leaves out the engines of other versions in further placements.
void stream_forwarder::avoid_other_versions(const std::string& version)
{
    const endpoint_section& list =
        ingress_.with_.board_.section<endpoint_section>();
    for (const auto& [name, item] : list.endpoints_)
    {
        if (item.listed_.service_ == call_.service_ &&
            item.listed_.version_ != version)
        {
            avoid_.insert(name);
        }
    }
    avoids_versions_ = true;
}

awaitable<stream_forwarder::step_result> stream_forwarder::prefill_prompt()
{
    const known_endpoint* endpoint =
        ingress_.find_usable_endpoint(placement_.reader_);
    if (endpoint == nullptr)
    {
        avoid_.insert(placement_.reader_);
        result_.detail_ = "the reader is leaving or gone";
        co_return step_result::retry;
    }
    if (!origin_.allows(endpoint->listed_))
    {
        avoid_.insert(placement_.reader_);
        result_.detail_ = "the prefill engine is of another version";
        co_return step_result::retry;
    }
    const auto permission =
        ingress_.rollouts_.permit_stream(*endpoint, permission_, std::nullopt);
    if (!permission)
    {
        result_.detail_ = "a roll-out withholds the prefill engine";
        co_return step_result::retry;
    }
    send_plan plan = make_send_plan(*endpoint, call_);
    plan.stage_ = request_stage::prefill_prompt;
    drivers::http_call out = ingress_.codec_.encode_call(call_.request_, plan);
    out.timeout_ = std::min(prefill_timeout, plan.deadline_);
    out.connect_timeout_ = connect_timeout;
    out.send_before_ = permission->until_;
    result_.reader_ = placement_.reader_;
    if (prefills_sent_ > 0 && placement_.decided_locally_ &&
        !ingress_.take_retry_allowance(call_.service_))
    {
        result_.detail_ = "no retry allowance to prefill the prompt again";
        co_return step_result::refused;
    }
    ++prefills_sent_;
    counted_send_.emplace(
        ingress_.rollouts_,
        *endpoint,
        call_.route_.name_ + prefill_route_suffix);
    const std::string version = endpoint->listed_.version_;
    const core::time_point started_at = core::steady_now();
    const core::endpoint_id reader = placement_.reader_;
    const core::result<drivers::http_response> reply =
        co_await ingress_.endpoints_.request(
            reader, policy::call_purpose::request, std::move(out));
    if (!core::is_ok(reply))
    {
        result_.detail_ = "prefill: " + core::failure(reply).message_;
        if (core::failure(reply).code_ == errc::withheld)
        {
            --prefills_sent_;
            counted_send_->record_not_sent();
            counted_send_.reset();
            avoid_.insert(reader);
            co_return step_result::retry;
        }
        if (core::failure(reply).code_ == errc::unreachable)
        {
            result_.unreached_ = true;
            --prefills_sent_;
            counted_send_->record_not_sent();
            counted_send_.reset();
        }
        record_stream_failure();
        report_failure(placement_.reader_);
        co_return step_result::retry;
    }
    const drivers::http_response& response = core::value(reply);
    if (response.status_ != status_ok)
    {
        const response_metadata metadata = ingress_.codec_.facts_of(
            call_.request_, response.status_, response.headers_);
        result_.detail_ =
            "prefill answered " + std::to_string(response.status_);
        if (metadata.not_run_ || metadata.misdirected_)
        {
            result_.note_refusal(
                reader, response.status_, response.connection_);
        }
        avoid_.insert(placement_.reader_);
        const bool is_failure = !metadata.misdirected_ && !metadata.not_run_ &&
                                response.status_ >= min_failure_status;
        if (is_failure)
        {
            record_stream_failure();
        }
        counted_send_.reset();
        if (metadata.misdirected_)
        {
            report_replaced(placement_.reader_);
        }
        else if (!metadata.not_run_)
        {
            report_failure(placement_.reader_);
        }
        co_return step_result::retry;
    }
    auto handle = ingress_.codec_.decode_kv_handle(response.body_);
    if (!handle)
    {
        result_.detail_ = "the prefill response contains no KV handle";
        record_stream_failure();
        report_failure(placement_.reader_);
        co_return step_result::retry;
    }
    kv_handle_ = std::move(handle);
    kv_handle_address_ = plan.address_;
    kv_version_ = version;
    prefilled_at_ = core::steady_now();
    prefill_time_ = prefilled_at_ - started_at;
    counted_send_->record_good(prefill_time_);
    counted_send_.reset();
    result_.read_ms_ = prefill_time_.ms_;
    engine_event_message event;
    event.service_ = call_.service_;
    event.read_ = placement_id_;
    add_pace(event, reader, response.headers_, response.status_);
    placements_.record_engine_event(std::move(event));
    co_return step_result::done;
}

awaitable<stream_forwarder::step_result> stream_forwarder::open_decode_stream()
{
    const known_endpoint* endpoint =
        ingress_.find_usable_endpoint(placement_.decoder_);
    if (endpoint == nullptr)
    {
        avoid_.insert(placement_.decoder_);
        result_.detail_ = "the decode engine is leaving or gone";
        co_return step_result::retry;
    }
    if (!origin_.allows(endpoint->listed_))
    {
        // The leader's list is of another revision than this host's, or the
        // leader runs an older program.
        avoid_.insert(placement_.decoder_);
        result_.detail_ = "the decode engine is of another version";
        co_return step_result::retry;
    }
    std::optional<std::string> pinned_version = origin_.version();
    if (kv_handle_)
    {
        pinned_version = kv_version_;
    }
    const auto permission = ingress_.rollouts_.permit_stream(
        *endpoint, permission_, pinned_version);
    if (!permission)
    {
        // The version that has prefilled the prompt may take no calls any more,
        // and no other may decode it.
        release_kv_handle();
        result_.detail_ = "the decode engine is withheld by a roll-out, or of "
                          "another version";
        co_return step_result::retry;
    }
    send_plan plan = make_send_plan(*endpoint, call_);
    plan.resume_after_ = sequence_.last();
    if (kv_handle_)
    {
        plan.kv_source_ =
            ingress_.codec_.prompt_source(kv_handle_address_, *kv_handle_);
    }
    drivers::http_call out = ingress_.codec_.encode_call(call_.request_, plan);
    out.timeout_ = std::min(open_timeout, plan.deadline_);
    out.connect_timeout_ = connect_timeout;
    out.send_before_ = permission->until_;
    out.peer_check_ = origin_.make_peer_check(endpoint->listed_);
    if (result_.sends_ > 0 && placement_.decided_locally_ &&
        !ingress_.take_retry_allowance(call_.service_))
    {
        result_.detail_ += ", and no allowance to send again";
        co_return step_result::refused;
    }
    ++result_.sends_;
    counted_send_.emplace(ingress_.rollouts_, *endpoint, call_.route_.name_);
    sent_at_ = core::steady_now();
    const listed_endpoint engine = endpoint->listed_;
    const core::endpoint_id decoder = placement_.decoder_;
    core::result<std::unique_ptr<drivers::http_stream>> opened =
        co_await ingress_.endpoints_.open(
            decoder, policy::call_purpose::request, std::move(out));
    if (!core::is_ok(opened))
    {
        result_.detail_ = "decode: " + core::failure(opened).message_;
        if (core::failure(opened).code_ == errc::withheld)
        {
            --result_.sends_;
            counted_send_->record_not_sent();
            counted_send_.reset();
            avoid_.insert(decoder);
            co_return step_result::retry;
        }
        report_failure(placement_.decoder_);
        if (core::failure(opened).code_ == errc::unreachable)
        {
            result_.unreached_ = true;
            --result_.sends_;
            counted_send_->record_not_sent();
            counted_send_.reset();
            co_return step_result::retry;
        }
        record_stream_failure();
        may_have_run_ = true;
        if (core::failure(opened).code_ == errc::broken)
        {
            ingress_.check_for_crash(
                call_,
                placement_.decoder_,
                policy::evidence::just_started,
                true,
                sent_at_);
        }
        co_return may_resume() ? step_result::retry : step_result::failed;
    }
    stream_ = std::move(core::value(opened));
    origin_.note_process(engine, *stream_);
    co_return check_decode_response();
}

stream_forwarder::step_result stream_forwarder::check_decode_response()
{
    const response_metadata metadata = ingress_.codec_.facts_of(
        call_.request_, stream_->status(), stream_->headers());
    if (metadata.not_run_ || metadata.misdirected_)
    {
        result_.detail_ =
            "decode answered " + std::to_string(stream_->status());
        result_.note_refusal(
            placement_.decoder_, stream_->status(), stream_->connection());
        stream_.reset();
        counted_send_.reset();
        avoid_.insert(placement_.decoder_);
        if (metadata.misdirected_)
        {
            report_replaced(placement_.decoder_);
            return step_result::retry;
        }
        if (kv_handle_ && placement_.decided_locally_)
        {
            // Without a leader, the likely cause is that other hosts' streams
            // have filled the engine, not that the KV handle has expired, so
            // another engine may still fetch the KV cache.
            return step_result::retry;
        }
        engine_event_message event;
        event.service_ = call_.service_;
        event.lapsed_ = kv_handle_ ? result_.reader_ : core::endpoint_id();
        placements_.record_engine_event(std::move(event));
        // The KV handle may have expired at the prefill engine; the next decode
        // engine prefills the prompt itself.
        decode_reads_prompt_ = true;
        kv_handle_.reset();
        return step_result::retry;
    }
    engine_event_message event;
    event.service_ = call_.service_;
    event.worked_ = {placement_.decoder_};
    add_pace(event, placement_.decoder_, stream_->headers(), stream_->status());
    if (kv_handle_)
    {
        event.worked_.push_back(result_.reader_);
    }
    placements_.record_engine_event(std::move(event));
    kv_handle_.reset();
    const bool is_unproven_refusal = promises_not_run(stream_->status());
    if (!metadata.signed_ || !metadata.echoes_attempt_ || is_unproven_refusal)
    {
        result_.detail_ = is_unproven_refusal
                              ? "the engine refused what it may have run"
                              : "the response does not match the request";
        record_stream_failure();
        stream_.reset();
        may_have_run_ = true;
        report_failure(placement_.decoder_);
        return may_resume() ? step_result::retry : step_result::failed;
    }
    return step_result::done;
}

awaitable<stream_forwarder::step_result> stream_forwarder::forward_event(
    drivers::http_exchange& exchange, stream_event event)
{
    const core::time_point now = core::steady_now();
    if (events_from_engine_ == 0)
    {
        engine_began_at_ = now;
        if (counted_send_)
        {
            counted_send_->record_good(now - sent_at_);
        }
    }
    switch (sequence_.add(event.id_, event.has_data_))
    {
    case event_sequence::position::duplicate:
        co_return step_result::done;
    case event_sequence::position::gap:
        result_.detail_ = "the engine does not go on where the stream broke";
        co_return step_result::retry;
    case event_sequence::position::next:
        break;
    }
    if (result_.events_ == 0)
    {
        first_event_at_ = now;
        result_.first_event_ms_ = (now - call_.arrived_at_).ms_;
    }
    if (events_from_engine_ == 0)
    {
        origin_.record_first_event();
    }
    last_event_at_ = now;
    ++events_from_engine_;
    ++result_.events_;
    report_answered_parts();
    const bool written = co_await exchange.write(event.bytes_);
    if (!written)
    {
        result_.detail_ = "the caller has stopped reading";
        co_return step_result::failed;
    }
    co_return step_result::done;
}

awaitable<stream_forwarder::step_result> stream_forwarder::relay_events(
    drivers::http_exchange& exchange)
{
    const core::duration event_timeout = caller_event_timeout(call_.route_);
    drivers::byte_hold held(ingress_.with_.http_.budget());
    const std::int64_t max_events =
        call_.request_.counts_tokens_
            ? call_.request_.most_output_ + max_events_without_tokens
            : std::numeric_limits<std::int64_t>::max();
    std::int64_t events_read = 0;
    parser_ = event_stream_parser();
    sequence_.begin_run();
    const bool is_resumed = result_.events_ > 0;
    events_from_engine_ = 0;
    // Only whole events are progress: a stalled engine may still send a byte
    // now and then.
    core::time_point progress_at = core::steady_now();
    for (;;)
    {
        if (time_left(call_).ms_ == 0)
        {
            result_.detail_ = "the time limit passed";
            co_return step_result::failed;
        }
        const core::duration event_time_left =
            progress_at + event_timeout - core::steady_now();
        if (event_time_left.ms_ <= 0)
        {
            result_.detail_ = "the engine completes no event";
            co_return step_result::retry;
        }
        const core::duration timeout =
            std::min(event_time_left, time_left(call_));
        core::result<std::optional<std::string>> piece =
            co_await stream_->read_some(timeout);
        if (!core::is_ok(piece))
        {
            result_.detail_ = "stream: " + core::failure(piece).message_;
            if (core::failure(piece).code_ == errc::broken)
            {
                check_for_crash();
            }
            co_return step_result::retry;
        }
        if (!core::value(piece))
        {
            if (parser_.has_partial_event())
            {
                result_.detail_ = "the stream ended within an event";
                check_for_crash();
                co_return step_result::retry;
            }
            if (is_resumed && events_from_engine_ == 0)
            {
                // It does not show that the stream is complete.
                result_.detail_ = "the resumed stream has no event";
                co_return step_result::retry;
            }
            result_.detail_ = "";
            co_return step_result::done;
        }
        parser_.add(*core::value(piece));
        for (auto event = parser_.next(); event; event = parser_.next())
        {
            ++events_read;
            const step_result forwarded =
                co_await forward_event(exchange, std::move(*event));
            progress_at = core::steady_now();
            if (forwarded != step_result::done)
            {
                co_return forwarded;
            }
        }
        const bool is_too_long =
            parser_.is_overlong() || !held.resize(parser_.pending_bytes());
        if (is_too_long || events_read > max_events)
        {
            result_.detail_ = "the engine sends more than an answer";
            co_return step_result::retry;
        }
    }
}

/// Counts the running call as failed by its engine. A stream that breaks after
/// its first event counts as answered, too.
void stream_forwarder::record_stream_failure()
{
    if (counted_send_)
    {
        counted_send_->record_bad();
        counted_send_.reset();
    }
}

/// Checks whether the engine whose stream broke has crashed.
void stream_forwarder::check_for_crash()
{
    const bool just_begun = has_just_begun();
    ingress_.check_for_crash(
        call_,
        placement_.decoder_,
        just_begun ? policy::evidence::just_started
                   : policy::evidence::long_running,
        just_begun,
        sent_at_);
}

bool stream_forwarder::has_just_begun() const
{
    return events_from_engine_ == 0 ||
           last_event_at_ - engine_began_at_ < begin_period;
}

/// Reports once to the leader that an engine answers this prompt, while it
/// suspects any part: it compares requests with the part to those without.
void stream_forwarder::report_answered_parts()
{
    const bool is_wanted =
        ingress_.with_.board_.section<group_section>().suspects_parts_;
    if (has_reported_parts_ || !is_wanted || has_just_begun())
    {
        return;
    }
    has_reported_parts_ = true;
    engine_event_message event;
    event.service_ = call_.service_;
    event.answered_ = true;
    event.answered_parts_ = call_.request_.shared_parts_;
    placements_.record_engine_event(std::move(event));
}

bool stream_forwarder::refuse_if_quarantined()
{
    if (!ingress_.is_quarantined(call_))
    {
        return false;
    }
    result_.detail_ = "quarantined";
    retry_after_ = quarantined_retry_after;
    return true;
}

bool stream_forwarder::may_resume() const
{
    return call_.route_.resumable_ && sequence_.is_resumable() &&
           origin_.allows_any() && time_left(call_) > min_retry_time;
}

/// \return whether an engine's response can go on within the response that has
/// begun. An error, or a body of another kind, cannot.
bool stream_forwarder::continues_response() const
{
    return stream_->status() == result_.status_ &&
           drivers::find_header(stream_->headers(), "Content-Type") ==
               content_type_;
}

bool stream_forwarder::may_place_again()
{
    return placement_attempts_ < max_placement_attempts &&
           time_left(call_) > min_retry_time;
}

awaitable<stream_forwarder::step_result> stream_forwarder::run_once(
    drivers::http_exchange& exchange)
{
    if (refuse_if_quarantined())
    {
        co_return step_result::refused;
    }
    const step_result placed = co_await acquire_placement();
    if (placed != step_result::done)
    {
        co_return placed;
    }
    if (refuse_if_quarantined())
    {
        co_return step_result::refused;
    }
    if (const auto version = misplaced_version(); version && !avoids_versions_)
    {
        avoid_other_versions(*version);
        result_.detail_ = "the placement joins engines of several versions";
        co_return step_result::retry;
    }
    if (!kv_handle_ && !placement_.reader_.empty())
    {
        const step_result prefilled = co_await prefill_prompt();
        if (prefilled != step_result::done)
        {
            co_return prefilled;
        }
    }
    if (refuse_if_quarantined())
    {
        co_return step_result::refused;
    }
    const step_result opened = co_await open_decode_stream();
    if (opened != step_result::done)
    {
        co_return opened;
    }
    if (result_.opened_ && !continues_response())
    {
        result_.detail_ = "the engine did not resume the stream: status " +
                          std::to_string(stream_->status());
        record_stream_failure();
        stream_.reset();
        report_failure(placement_.decoder_);
        co_return may_resume() ? step_result::retry : step_result::failed;
    }
    if (stream_->status() >= min_error_status)
    {
        if (stream_->status() >= min_failure_status)
        {
            record_stream_failure();
        }
        result_.status_ = stream_->status();
        result_.outcome_ = "answered";
        drivers::header_list headers =
            ingress_.codec_.caller_response_headers(stream_->headers());
        constexpr std::size_t max_error_body_bytes = 1024 * 1024;
        drivers::byte_hold held(ingress_.with_.http_.budget());
        core::result<std::string> body = co_await stream_->read_rest(
            open_timeout, max_error_body_bytes, held);
        if (!core::is_ok(body))
        {
            result_.detail_ = "the engine failed the stream";
            co_return step_result::failed;
        }
        co_await exchange.send(
            result_.status_, std::move(headers), std::move(core::value(body)));
        co_return step_result::done;
    }
    if (!result_.opened_)
    {
        result_.opened_ = true;
        result_.status_ = stream_->status();
        drivers::header_list headers =
            ingress_.codec_.caller_response_headers(stream_->headers());
        content_type_ = drivers::find_header(headers, "Content-Type");
        co_await exchange.start_stream(result_.status_, std::move(headers));
    }
    const step_result relayed = co_await relay_events(exchange);
    stream_.reset();
    if (relayed == step_result::retry)
    {
        record_stream_failure();
    }
    counted_send_.reset();
    if (relayed == step_result::done)
    {
        result_.outcome_ = "answered";
        record_times();
        release_placement(true);
        co_await exchange.finish();
        co_return step_result::done;
    }
    if (relayed == step_result::retry)
    {
        report_failure(placement_.decoder_);
        co_return may_resume() ? step_result::retry : step_result::failed;
    }
    co_return relayed;
}

void stream_forwarder::record_times()
{
    if (result_.events_ > 0)
    {
        ingress_.stream_times_[call_.service_].record(
            first_event_at_ - call_.arrived_at_,
            last_event_at_ - first_event_at_,
            call_.request_.most_output_,
            core::steady_now());
    }
}

awaitable<void> stream_forwarder::run(drivers::http_exchange& exchange)
{
    step_result last = step_result::retry;
    if (origin_.has_begun() && !co_await origin_.find())
    {
        last = step_result::refused;
    }
    while (last == step_result::retry)
    {
        last = co_await run_once(exchange);
        if (last == step_result::retry)
        {
            const bool may_continue = may_place_again();
            if (!may_continue)
            {
                last = result_.opened_ ? step_result::failed
                                       : step_result::refused;
            }
        }
    }
    if (last == step_result::done ||
        (may_hand_on(last) && co_await hand_on(exchange)))
    {
        co_return;
    }
    co_await answer_failure(exchange, last);
}

/// \return whether another host may go on with a stream that this one could
/// not place: it reaches no engine, and the stream has not run, or may be
/// resumed.
bool stream_forwarder::may_hand_on(step_result last) const
{
    const bool avoids_some =
        !ingress_.unreached_endpoints(call_.service_).empty() &&
        placement_.reason_ ==
            policy::name_of(policy::stream_refusal_reason::no_engine);
    const bool has_no_path = result_.unreached_ || avoids_some ||
                             ingress_.relay_.has_lost(call_.service_);
    const bool has_not_run = last == step_result::refused && !may_have_run_;
    return has_no_path && (result_.opened_ ? may_resume() : has_not_run);
}

awaitable<bool> stream_forwarder::hand_on(drivers::http_exchange& exchange)
{
    stream_.reset();
    release_kv_handle();
    release_placement(false);
    co_return co_await ingress_.relay_.hand_on(
        exchange,
        call_,
        result_,
        result_.opened_ ? sequence_.last() : std::nullopt);
}

awaitable<void> stream_forwarder::answer_failure(
    drivers::http_exchange& exchange, step_result last)
{
    if (origin_.version())
    {
        origin_.count(result_.opened_ ? "broken" : "refused");
    }
    if (result_.opened_)
    {
        result_.outcome_ = "stream_broken";
        exchange.abort_response();
        co_return;
    }
    std::optional<core::duration> retry_after;
    if (last == step_result::refused && !may_have_run_)
    {
        result_.status_ =
            placement_.over_rate_ ? status_too_many : status_unavailable;
        result_.outcome_ =
            placement_.over_rate_ ? "over_rate" : "refused_no_room";
        retry_after = std::max(
            {retry_after_,
             min_retry_after,
             ingress_.time_until_return(call_.service_)});
    }
    else
    {
        const bool late = time_left(call_).ms_ == 0;
        result_.status_ = late ? status_timeout : status_bad_gateway;
        result_.outcome_ = late ? "timed_out" : "engine_lost";
    }
    co_await send_local_response(
        exchange,
        ingress_.codec_,
        call_.request_,
        result_.status_,
        retry_after);
}

} // namespace poplarroute::node
