#include "policy/stream_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace poplarroute::policy
{

namespace
{

/// Weight of a new observation in a running mean.
constexpr double smoothing_factor = 0.1;

/// Speeds assumed until streams have completed: usual for a large engine.
constexpr double default_prefill_tokens_per_ms = 45;
constexpr double default_ms_per_token = 0.9;

/// Mean output as a fraction of the maximum output, assumed until streams have
/// completed.
constexpr double default_output_fraction = 0.55;

/// Fraction of an engine's memory that placed streams may be expected to use,
/// when the new stream is on time or late. The rest absorbs outputs that are
/// longer than expected.
constexpr double max_memory_fraction_on_time = 0.92;
constexpr double max_memory_fraction_late = 0.80;

/// Fraction of its output that a running stream has generated on average.
constexpr double mean_output_progress = 0.55;

/// Backlog in ms up to which a prefill engine gets another prompt: enough to
/// keep it busy; further prompts would only queue there.
constexpr double max_prefill_backlog_ms = 90;

/// Ejection time of an engine that was replaced: after it, the platform's list
/// shows the replacement.
constexpr core::duration replaced_ejection_time{5'000};

/// Consecutive expired KV handles after which a prefill engine is ejected.
constexpr int expirations_to_eject = 2;

/// A placement younger than this may be missing from its host's report, which
/// was sent before the placement arrived.
constexpr core::duration report_grace_time{1'500};

/// A host that has not reported for this long is considered dead, and its
/// placements are released.
constexpr core::duration host_report_timeout{4'000};

/// A caller that was refused returns within this time or not at all: a third
/// of the longest usual deadline.
constexpr core::duration caller_return_time{5'000};

/// Score penalty of a decode engine outside the caller's zone, as a fraction of
/// the engine's memory: a network partition between zones breaks the streams
/// that cross it.
constexpr double decode_zone_penalty = 0.15;

/// Score penalty of a prefill engine outside the decode engine's zone, as a
/// fraction of the maximum backlog: a KV-cache transfer between zones takes
/// twice as long.
constexpr double prefill_zone_penalty = 0.5;

/// Multiple of its equal share of the engines that a host may use while it
/// does not see the other hosts' streams, since hosts place streams unevenly.
constexpr double overbooking_factor = 2;

/// Maximum random offset of a score, as a fraction of an engine's capacity,
/// while a host does not see the other hosts' streams.
constexpr double max_random_score_offset = 0.3;

/// Score penalty of a decode engine, as a fraction of its memory, for each
/// common duration that its tokens take longer: it holds a stream's memory for
/// that much longer.
constexpr double slow_decode_penalty = 0.25;

constexpr core::duration one_second{1'000};

/// Window over which the arrival rate is measured: longer than a lull, shorter
/// than the tens of seconds for which stages are planned.
constexpr core::duration arrival_rate_window{4'000};
constexpr core::duration min_retry_after{300};

/// How long an account counts as one that competes for capacity after its last
/// request.
constexpr core::duration account_memory{30'000};

/// A new stream is refused if the forecast of its wait is more than this
/// multiple of the time to its first-event deadline. A late first event still
/// has some value, a very late one has none.
constexpr std::int64_t max_forecast_multiple = 2;

/// A caller that returns sooner than it was told by more than this is early.
constexpr core::duration return_tolerance{50};

/// Retry-After is at most this: callers that are told to wait for longer than
/// caller_return_time do not return.
constexpr core::duration max_retry_after{4'500};

void update_mean(double& mean, double observed)
{
    mean = mean == 0 ? observed : mean + smoothing_factor * (observed - mean);
}

} // namespace

const char* name_of(stream_refusal_reason reason)
{
    switch (reason)
    {
    case stream_refusal_reason::no_engine:
        return "no_engine";
    case stream_refusal_reason::too_large:
        return "too_large";
    case stream_refusal_reason::no_room_soon:
        return "no_room_soon";
    case stream_refusal_reason::overtaken:
        return "overtaken";
    case stream_refusal_reason::waited_out:
        return "waited_out";
    }
    return "unknown";
}

stream_scheduler::stream_scheduler(std::uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

void stream_scheduler::set_scheduling_hosts(std::int64_t hosts)
{
    own_stream_weight_ =
        std::max(static_cast<double>(hosts) / overbooking_factor, 1.0);
}

double stream_scheduler::random_score_offset()
{
    if (own_stream_weight_ <= 1)
    {
        return 0;
    }
    return std::uniform_real_distribution<double>(0, max_random_score_offset)(
        random_);
}

void stream_scheduler::set_engines(std::span<const engine_info> engines)
{
    std::map<core::endpoint_id, engine> next;
    for (const engine_info& info : engines)
    {
        const auto found = engines_.find(info.name_);
        engine item = found == engines_.end() ? engine() : found->second;
        item.info_ = info;
        next.emplace(info.name_, std::move(item));
    }
    engines_ = std::move(next);
}

void stream_scheduler::ask(stream_request request, core::time_point now)
{
    host_heard_at_[request.host_] = now;
    if (!request.prompt_is_read_)
    {
        update_mean(
            mean_prompt_tokens_, static_cast<double>(request.prompt_tokens_));
        recent_arrivals_.push_back(now);
    }
    if (!request.account_.empty())
    {
        accounts_seen_at_[request.account_] = now;
        if (request.share_cost_ > 0)
        {
            update_mean(mean_share_cost_, request.share_cost_);
        }
        const bool waits_already = std::any_of(
            waiting_.begin(),
            waiting_.end(),
            [&](const waiting_stream& item)
            {
                return item.request_.account_ == request.account_ &&
                       item.request_.priority_ == request.priority_;
            });
        if (!waits_already)
        {
            shares_.began_waiting(request.account_, request.priority_);
        }
    }
    const core::time_point place_since = keep_first_deadline(request, now);
    waiting_.push_back({std::move(request), now, place_since});
}

/// \return the time from which the stream's place in the order counts: the
/// first arrival of a caller that returns when it was told to. One that returns
/// early counts from when it should have returned.
core::time_point stream_scheduler::keep_first_deadline(
    stream_request& request, core::time_point now)
{
    if (request.digest_.empty())
    {
        return now;
    }
    const first_arrival arrival{
        request.first_event_deadline_,
        now + caller_return_time,
        now,
        std::nullopt};
    const auto [found, is_first] =
        first_arrivals_.try_emplace(request.digest_, arrival);
    if (!is_first && now < found->second.expires_at_)
    {
        request.first_event_deadline_ = std::min(
            request.first_event_deadline_, found->second.first_event_deadline_);
        const auto& return_at = found->second.return_at_;
        const bool is_early = return_at && now + return_tolerance < *return_at;
        return is_early ? *return_at : found->second.arrived_at_;
    }
    found->second = arrival;
    return now;
}

bool stream_scheduler::shares_capacity(core::time_point now) const
{
    int accounts = 0;
    for (const auto& [account, seen_at] : accounts_seen_at_)
    {
        accounts += now - seen_at <= account_memory ? 1 : 0;
    }
    return accounts > 1;
}

share_entry stream_scheduler::to_entry(
    const waiting_stream& item, core::time_point now) const
{
    const stream_request& request = item.request_;
    // An account without a rate has the mean of the others.
    const double known_cost =
        request.share_cost_ > 0 ? request.share_cost_ : mean_share_cost_;
    return {
        request.account_,
        request.priority_,
        now > request.first_event_deadline_,
        item.place_since_,
        known_cost > 0 ? known_cost : 1};
}

std::vector<share_entry> stream_scheduler::waiting_entries(
    core::time_point now) const
{
    std::vector<share_entry> out;
    out.reserve(waiting_.size());
    for (const waiting_stream& item : waiting_)
    {
        out.push_back(to_entry(item, now));
    }
    return out;
}

void stream_scheduler::sort_by_shares(core::time_point now)
{
    const std::vector<share_entry> entries = waiting_entries(now);
    std::vector<waiting_stream> sorted;
    sorted.reserve(waiting_.size());
    for (const std::size_t index : shares_.order(entries))
    {
        sorted.push_back(std::move(waiting_[index]));
    }
    waiting_ = std::move(sorted);
}

std::set<int> stream_scheduler::waiting_priorities() const
{
    std::set<int> out;
    for (const waiting_stream& item : waiting_)
    {
        out.insert(item.request_.priority_);
    }
    return out;
}

std::map<core::account_id, std::int64_t> stream_scheduler::waiting_by_account()
    const
{
    std::map<core::account_id, std::int64_t> out;
    for (const waiting_stream& item : waiting_)
    {
        ++out[item.request_.account_];
    }
    return out;
}

/// \return whether a stream of this priority or a more urgent one waits that
/// can still meet its first-event deadline.
bool stream_scheduler::waits_on_time(int priority, core::time_point now) const
{
    return std::any_of(
        waiting_.begin(),
        waiting_.end(),
        [&](const waiting_stream& item)
        {
            return item.request_.priority_ <= priority &&
                   now <= item.request_.first_event_deadline_;
        });
}

void stream_scheduler::release_prefill_engine(running_stream& stream)
{
    const auto prefill_engine = engines_.find(stream.reader_);
    if (prefill_engine != engines_.end())
    {
        prefill_engine->second.prefilling_tokens_ = std::max<std::int64_t>(
            prefill_engine->second.prefilling_tokens_ - stream.prompt_tokens_,
            0);
    }
    stream.reader_.clear();
}

void stream_scheduler::prefill_finished(const std::string& id)
{
    const auto found = running_.find(id);
    if (found != running_.end())
    {
        release_prefill_engine(found->second);
    }
}

void stream_scheduler::add_running(const std::string& id, running_stream placed)
{
    release(id);
    const auto decode_engine = engines_.find(placed.decoder_);
    if (decode_engine != engines_.end())
    {
        decode_engine->second.stream_ids_.insert(id);
        decode_engine->second.load_.reset();
    }
    running_.emplace(id, std::move(placed));
}

void stream_scheduler::release(const std::string& id)
{
    const auto found = running_.find(id);
    if (found == running_.end())
    {
        return;
    }
    release_prefill_engine(found->second);
    const auto decode_engine = engines_.find(found->second.decoder_);
    if (decode_engine != engines_.end())
    {
        decode_engine->second.stream_ids_.erase(id);
        decode_engine->second.load_.reset();
    }
    running_.erase(found);
}

void stream_scheduler::finished(
    const stream_result& result, core::time_point now)
{
    std::erase_if(
        waiting_,
        [&](const waiting_stream& item)
        {
            return item.request_.id_ == result.id_;
        });
    const auto found = running_.find(result.id_);
    if (found != running_.end())
    {
        host_heard_at_[found->second.host_] = now;
    }
    if (result.read_.ms_ > 0)
    {
        update_mean(
            prefill_tokens_per_ms_,
            static_cast<double>(result.prompt_tokens_) /
                static_cast<double>(result.read_.ms_));
    }
    if (result.complete_ && found != running_.end())
    {
        first_arrivals_.erase(found->second.digest_);
    }
    if (found != running_.end())
    {
        record_durations(result, found->second, now);
    }
    release(result.id_);
    if (result.complete_ && result.output_tokens_ > 0)
    {
        const auto tokens = static_cast<double>(result.output_tokens_);
        update_mean(mean_output_tokens_, tokens);
        if (result.decode_.ms_ > 0)
        {
            update_mean(
                ms_per_token_,
                static_cast<double>(result.decode_.ms_) / tokens);
        }
    }
}

void stream_scheduler::record_durations(
    const stream_result& result,
    const running_stream& stream,
    core::time_point now)
{
    const auto prefill_engine = engines_.find(stream.prefilled_by_);
    if (prefill_engine != engines_.end() && result.read_.ms_ > 0 &&
        result.prompt_tokens_ > 0)
    {
        // The prefill ended a while ago, so the present pace is not its own.
        prefill_engine->second.prefill_speed_.record(
            static_cast<double>(result.read_.ms_) /
                static_cast<double>(result.prompt_tokens_),
            now,
            now - stream.placed_at_);
    }
    const auto decode_engine = engines_.find(stream.decoder_);
    if (decode_engine != engines_.end() && result.complete_ &&
        result.output_tokens_ > 0 && result.decode_.ms_ > 0)
    {
        decode_engine->second.decode_speed_.record(
            static_cast<double>(result.decode_.ms_) /
                static_cast<double>(result.output_tokens_),
            now,
            result.decode_);
    }
}

void stream_scheduler::record_pace(
    const core::endpoint_id& name, std::int64_t percent, core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end())
    {
        found->second.prefill_speed_.record_pace(percent, now);
        found->second.decode_speed_.record_pace(percent, now);
    }
}

std::vector<engine_speed_view> stream_scheduler::speeds(
    core::time_point now) const
{
    std::vector<engine_speed_view> out;
    out.reserve(engines_.size());
    for (const auto& [name, item] : engines_)
    {
        const bool prefills = item.info_.reads_prompts_;
        out.push_back(
            {name,
             prefills,
             prefills ? prefill_factor(item, now) : decode_factor(item, now),
             item.decode_speed_.is_pace_fresh(now)});
    }
    return out;
}

double stream_scheduler::common_prefill_ms_per_token() const
{
    return 1 / (prefill_tokens_per_ms_ > 0 ? prefill_tokens_per_ms_
                                           : default_prefill_tokens_per_ms);
}

double stream_scheduler::common_decode_ms_per_token() const
{
    return ms_per_token_ > 0 ? ms_per_token_ : default_ms_per_token;
}

/// \return how many times the common duration a prefill takes on an engine now.
double stream_scheduler::prefill_factor(
    const engine& item, core::time_point now) const
{
    const double common_ms = common_prefill_ms_per_token();
    const core::duration span{
        static_cast<std::int64_t>(common_ms * mean_prompt_tokens_)};
    return item.prefill_speed_.factor(common_ms, now, span);
}

/// \return how many times the common duration a stream's decode takes on an
/// engine from now on.
double stream_scheduler::decode_factor(
    const engine& item, core::time_point now) const
{
    const double common_ms = common_decode_ms_per_token();
    const core::duration span{static_cast<std::int64_t>(
        common_ms * std::max(mean_output_tokens_, 1.0))};
    return item.decode_speed_.factor(common_ms, now, span);
}

/// Updates the engines' factors once for all decisions of one time.
void stream_scheduler::update_factors(core::time_point now)
{
    for (auto& [name, item] : engines_)
    {
        item.load_.reset();
        item.prefill_factor_ = prefill_factor(item, now);
        item.decode_factor_ = decode_factor(item, now);
    }
}

void stream_scheduler::failed(
    const core::endpoint_id& name,
    const core::host_id& host,
    core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end())
    {
        found->second.ejections_.record_failure(host, now);
    }
}

void stream_scheduler::record_handle_expiry(
    const core::endpoint_id& name, core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end() &&
        ++found->second.consecutive_expirations_ >= expirations_to_eject)
    {
        found->second.consecutive_expirations_ = 0;
        found->second.ejections_.eject_for_all(now);
    }
}

void stream_scheduler::replaced(
    const core::endpoint_id& name, core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end())
    {
        found->second.ejections_.eject_for_all(now, replaced_ejection_time);
    }
}

void stream_scheduler::record_success(
    const core::endpoint_id& name,
    const core::host_id& host,
    core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end())
    {
        found->second.ejections_.record_success(host, now);
        found->second.consecutive_expirations_ = 0;
    }
}

void stream_scheduler::reconcile(
    const core::host_id& host,
    std::span<const reported_placement> reported,
    core::time_point now)
{
    host_heard_at_[host] = now;
    std::set<std::string> reported_ids;
    for (const reported_placement& placement : reported)
    {
        reported_ids.insert(placement.id_);
        if (running_.count(placement.id_) != 0)
        {
            continue;
        }
        running_stream item;
        item.host_ = host;
        item.decoder_ = placement.decoder_;
        item.prompt_tokens_ = placement.prompt_tokens_;
        item.expected_output_ = placement.output_hint_;
        item.placed_at_ = now - placement.age_;
        add_running(placement.id_, std::move(item));
    }
    std::vector<std::string> released;
    for (const auto& [id, item] : running_)
    {
        if (item.host_ == host && reported_ids.count(id) == 0 &&
            now - item.placed_at_ > report_grace_time)
        {
            released.push_back(id);
        }
    }
    for (const std::string& id : released)
    {
        release(id);
    }
}

void stream_scheduler::expire(core::time_point now)
{
    const auto is_forgotten = [now](const auto& item)
    {
        return now - item.second > account_memory;
    };
    std::erase_if(accounts_seen_at_, is_forgotten);
    std::erase_if(next_return_at_, is_forgotten);
    shares_.expire(waiting_entries(now));
    std::erase_if(
        first_arrivals_,
        [now](const auto& item)
        {
            return now >= item.second.expires_at_;
        });
    std::erase_if(
        host_heard_at_,
        [now](const auto& item)
        {
            return now - item.second > host_report_timeout;
        });
    std::vector<std::string> released;
    for (const auto& [id, item] : running_)
    {
        if (host_heard_at_.count(item.host_) == 0)
        {
            released.push_back(id);
        }
    }
    for (const std::string& id : released)
    {
        release(id);
    }
    std::erase_if(
        waiting_,
        [this](const waiting_stream& item)
        {
            return host_heard_at_.count(item.request_.host_) == 0;
        });
}

std::int64_t stream_scheduler::expected_output(
    const stream_request& request) const
{
    const auto max_output = static_cast<double>(request.most_output_);
    double mean = mean_output_tokens_ > 0
                      ? mean_output_tokens_
                      : max_output * default_output_fraction;
    if (request.output_hint_ > 0)
    {
        // The hints are accurate in the median, but a single one is often far
        // off, so it is combined with the mean.
        mean = std::sqrt(mean * static_cast<double>(request.output_hint_));
    }
    return static_cast<std::int64_t>(std::min(mean, std::max(max_output, 1.0)));
}

stream_scheduler::engine_load stream_scheduler::load_of(
    const engine& item, core::time_point now) const
{
    const double token_time_ms =
        common_decode_ms_per_token() * item.decode_factor_;
    engine_load out;
    for (const std::string& id : item.stream_ids_)
    {
        const running_stream& stream = running_.at(id);
        const auto age = static_cast<double>((now - stream.placed_at_).ms_);
        const auto produced = std::min<std::int64_t>(
            static_cast<std::int64_t>(age / token_time_ms),
            stream.expected_output_);
        const auto mean = static_cast<std::int64_t>(
            mean_output_progress *
            static_cast<double>(stream.expected_output_));
        out.current_tokens_ += stream.prompt_tokens_ + produced;
        out.mean_tokens_ += stream.prompt_tokens_ + std::max(produced, mean);
        ++out.streams_;
    }
    return out;
}

/// \return the load, which is the same for all decisions of one decide() as
/// long as the engine's streams are.
const stream_scheduler::engine_load& stream_scheduler::known_load(
    engine& item, core::time_point now) const
{
    if (!item.load_)
    {
        item.load_ = load_of(item, now);
    }
    return *item.load_;
}

std::optional<stage_rates> stream_scheduler::rates(core::time_point now)
{
    while (!recent_arrivals_.empty() &&
           now - recent_arrivals_.front() > arrival_rate_window)
    {
        recent_arrivals_.pop_front();
    }
    if (prefill_tokens_per_ms_ <= 0 || mean_output_tokens_ <= 0 ||
        ms_per_token_ <= 0 || engines_.empty())
    {
        return std::nullopt;
    }
    // All engines of one service have the same capacity.
    const engine_info& sample_engine = engines_.begin()->second.info_;
    const double ms = static_cast<double>(one_second.ms_);
    const double tokens_per_stream =
        mean_prompt_tokens_ + mean_output_progress * mean_output_tokens_;
    const double max_concurrent_streams = std::min(
        max_memory_fraction_on_time *
            static_cast<double>(sample_engine.memory_tokens_) /
            tokens_per_stream,
        static_cast<double>(sample_engine.slots_));
    stage_rates out;
    out.per_prefill_engine_ = prefill_tokens_per_ms_ / mean_prompt_tokens_ * ms;
    out.per_decode_engine_ =
        max_concurrent_streams / (mean_output_tokens_ * ms_per_token_) * ms;
    out.offered_ = static_cast<double>(recent_arrivals_.size()) * ms /
                   static_cast<double>(arrival_rate_window.ms_);
    return out;
}

double stream_scheduler::memory_utilization(core::time_point now) const
{
    std::int64_t used_tokens = 0;
    std::int64_t total_tokens = 0;
    for (const auto& [name, item] : engines_)
    {
        if (!item.info_.reads_prompts_)
        {
            used_tokens += load_of(item, now).mean_tokens_;
            total_tokens += item.info_.memory_tokens_;
        }
    }
    return total_tokens == 0 ? 0
                             : static_cast<double>(used_tokens) /
                                   static_cast<double>(total_tokens);
}

bool stream_scheduler::is_available_to(
    const engine& item, const core::host_id& host, core::time_point now) const
{
    return item.info_.usable_ && !item.ejections_.is_ejected_for(host, now);
}

bool stream_scheduler::has_prefill_engine(
    const stream_request& request,
    const std::string& version,
    core::time_point now) const
{
    return std::any_of(
        engines_.begin(),
        engines_.end(),
        [&](const auto& item)
        {
            return item.second.info_.reads_prompts_ &&
                   item.second.info_.version_ == version &&
                   request.avoid_.count(item.first) == 0 &&
                   is_available_to(item.second, request.host_, now);
        });
}

bool stream_scheduler::within_start_rate(
    engine& item, core::time_point now) const
{
    while (!item.recent_starts_.empty() &&
           now - item.recent_starts_.front() > one_second)
    {
        item.recent_starts_.pop_front();
    }
    return item.info_.starts_per_second_ == 0 ||
           static_cast<std::int64_t>(item.recent_starts_.size()) <
               item.info_.starts_per_second_;
}

stream_scheduler::engine* stream_scheduler::choose_prefill_engine(
    const stream_request& request,
    const engine_info& decode_engine,
    core::time_point now)
{
    const double rate = prefill_tokens_per_ms_ > 0
                            ? prefill_tokens_per_ms_
                            : default_prefill_tokens_per_ms;
    const double own_ms = static_cast<double>(request.prompt_tokens_) / rate;
    const bool is_late = now > request.first_event_deadline_;
    bool some_engine_is_in_time = false;
    engine* best = nullptr;
    double best_score = 0;
    for (auto& [name, item] : engines_)
    {
        if (!item.info_.reads_prompts_ ||
            item.info_.version_ != decode_engine.version_ ||
            !is_available_to(item, request.host_, now) ||
            request.avoid_.count(name) != 0 || !within_start_rate(item, now))
        {
            continue;
        }
        const double factor = item.prefill_factor_;
        const double backlog =
            static_cast<double>(item.prefilling_tokens_) / rate * factor;
        const bool in_time = is_in_time_there(item, request, now);
        some_engine_is_in_time = some_engine_is_in_time || in_time;
        if (backlog > max_prefill_backlog_ms)
        {
            continue;
        }
        const bool other_zone = item.info_.zone_ != decode_engine.zone_;
        const double score = backlog / max_prefill_backlog_ms +
                             (other_zone ? prefill_zone_penalty : 0) +
                             (factor - 1) * own_ms / max_prefill_backlog_ms +
                             random_score_offset();
        if (best == nullptr || score < best_score)
        {
            best = &item;
            best_score = score;
        }
    }
    const bool waits_for_another = best != nullptr && !is_late &&
                                   some_engine_is_in_time &&
                                   !is_in_time_there(*best, request, now);
    return waits_for_another ? nullptr : best;
}

/// \return whether the first event is on time if the engine prefills the prompt
/// after its backlog. First-event deadlines allow for the common speed.
bool stream_scheduler::is_in_time_there(
    const engine& item,
    const stream_request& request,
    core::time_point now) const
{
    const double factor = item.prefill_factor_;
    if (factor <= 1)
    {
        return true;
    }
    const double excess_ms =
        (factor - 1) * common_prefill_ms_per_token() *
        static_cast<double>(request.prompt_tokens_ + item.prefilling_tokens_);
    return now + core::duration{static_cast<std::int64_t>(excess_ms)} <=
           request.first_event_deadline_;
}

stream_scheduler::engine* stream_scheduler::choose_decode_engine(
    const stream_request& request, bool is_late, core::time_point now)
{
    const std::int64_t output = expected_output(request);
    const double max_fraction =
        is_late ? max_memory_fraction_late : max_memory_fraction_on_time;
    engine* best = nullptr;
    double best_score = 0;
    for (auto& [name, item] : engines_)
    {
        if (item.info_.reads_prompts_ ||
            !is_available_to(item, request.host_, now) ||
            request.avoid_.count(name) != 0 || !within_start_rate(item, now))
        {
            continue;
        }
        const engine_load& used_load = known_load(item, now);
        const double memory =
            static_cast<double>(item.info_.memory_tokens_) / own_stream_weight_;
        const auto own_mean =
            static_cast<double>(request.prompt_tokens_) +
            mean_output_progress * static_cast<double>(output);
        const double mean_fraction =
            (static_cast<double>(used_load.mean_tokens_) + own_mean) / memory;
        const double current_fraction =
            static_cast<double>(
                used_load.current_tokens_ + request.prompt_tokens_) /
            memory;
        const bool is_idle = used_load.streams_ == 0;
        const bool fits =
            mean_fraction <= max_fraction && current_fraction <= max_fraction &&
            static_cast<double>(used_load.streams_) * own_stream_weight_ <
                static_cast<double>(item.info_.slots_);
        if (!fits && !is_idle)
        {
            continue;
        }
        const bool other_zone = item.info_.zone_ != request.zone_;
        const double score = mean_fraction +
                             (other_zone ? decode_zone_penalty : 0) +
                             slow_decode_penalty * (item.decode_factor_ - 1) +
                             random_score_offset();
        if (best == nullptr || score < best_score)
        {
            best = &item;
            best_score = score;
        }
    }
    return best;
}

bool stream_scheduler::try_place(
    waiting_stream& item,
    core::time_point now,
    std::vector<stream_decision>& out)
{
    const stream_request& request = item.request_;
    const bool is_late = now > request.first_event_deadline_;
    engine* decode_engine = choose_decode_engine(request, is_late, now);
    if (decode_engine == nullptr)
    {
        return false;
    }
    const bool needs_prefill =
        !request.prompt_is_read_ && !request.decode_reads_prompt_;
    engine* prefill_engine = nullptr;
    if (needs_prefill)
    {
        prefill_engine =
            choose_prefill_engine(request, decode_engine->info_, now);
        // Decode engines prefill prompts only while no prefill engine is
        // available, since it slows their streams down.
        if (prefill_engine == nullptr &&
            has_prefill_engine(request, decode_engine->info_.version_, now))
        {
            return false;
        }
    }
    running_stream placed;
    placed.host_ = request.host_;
    placed.digest_ = request.digest_;
    placed.decoder_ = decode_engine->info_.name_;
    placed.prompt_tokens_ = request.prompt_tokens_;
    placed.expected_output_ = expected_output(request);
    placed.placed_at_ = now;
    decode_engine->recent_starts_.push_back(now);
    if (prefill_engine != nullptr)
    {
        placed.reader_ = prefill_engine->info_.name_;
        placed.prefilled_by_ = placed.reader_;
        prefill_engine->prefilling_tokens_ += request.prompt_tokens_;
        prefill_engine->recent_starts_.push_back(now);
    }
    out.emplace_back(stream_placement{
        request.id_, placed.reader_, placed.decoder_, now - item.arrived_at_});
    add_running(request.id_, std::move(placed));
    return true;
}

std::optional<stream_refusal_reason> stream_scheduler::find_refusal_reason(
    const waiting_stream& item, core::time_point now) const
{
    bool has_decode_engine = false;
    bool has_large_enough_engine = false;
    for (const auto& [name, engine] : engines_)
    {
        if (engine.info_.reads_prompts_ || !engine.info_.usable_ ||
            item.request_.avoid_.count(name) != 0)
        {
            continue;
        }
        has_decode_engine = true;
        has_large_enough_engine =
            has_large_enough_engine ||
            engine.info_.memory_tokens_ > item.request_.prompt_tokens_;
    }
    if (!has_decode_engine)
    {
        return stream_refusal_reason::no_engine;
    }
    if (!has_large_enough_engine)
    {
        return stream_refusal_reason::too_large;
    }
    if (now >= item.request_.queue_deadline_)
    {
        return stream_refusal_reason::waited_out;
    }
    return std::nullopt;
}

core::duration stream_scheduler::estimate_queue_delay() const
{
    // Assumes that a placement lasts for the mean output's time, and that
    // placements end evenly over time.
    const double stream_time_ms =
        std::max(mean_output_tokens_, 1'000.0) * common_decode_ms_per_token();
    double released_in_stream_time = 0;
    for (const auto& [id, stream] : running_)
    {
        const auto decode_engine = engines_.find(stream.decoder_);
        released_in_stream_time +=
            decode_engine == engines_.end()
                ? 1
                : 1 / decode_engine->second.decode_factor_;
    }
    const double released_per_ms =
        std::max(released_in_stream_time, 1.0) / stream_time_ms;
    return {static_cast<std::int64_t>(
        static_cast<double>(waiting_.size() + 1) / released_per_ms)};
}

/// Sorts streams that can still meet their first-event deadline before late
/// ones, then by priority, then by arrival.
void stream_scheduler::sort_waiting(core::time_point now)
{
    std::stable_sort(
        waiting_.begin(),
        waiting_.end(),
        [now](const waiting_stream& left, const waiting_stream& right)
        {
            const bool left_late = now > left.request_.first_event_deadline_;
            const bool right_late = now > right.request_.first_event_deadline_;
            if (left_late != right_late)
            {
                return right_late;
            }
            if (left.request_.priority_ != right.request_.priority_)
            {
                return left.request_.priority_ < right.request_.priority_;
            }
            return left.arrived_at_ < right.arrived_at_;
        });
}

std::vector<stream_decision> stream_scheduler::decide(core::time_point now)
{
    std::vector<stream_decision> out;
    update_factors(now);
    const bool shares = shares_capacity(now);
    if (shares)
    {
        sort_by_shares(now);
    }
    else
    {
        sort_waiting(now);
    }
    const std::set<int> priorities = waiting_priorities();
    std::vector<waiting_stream> remaining;
    for (waiting_stream& item : waiting_)
    {
        const auto reason = find_refusal_reason(item, now);
        if (reason)
        {
            const core::duration wait = estimate_queue_delay();
            out.emplace_back(stream_refusal{
                item.request_.id_,
                *reason,
                shares ? schedule_return(
                             item,
                             std::min(wait, max_retry_after),
                             streams_per_ms(item.request_, now),
                             now)
                       : add_jitter(std::max(wait, min_retry_after)),
                static_cast<std::int64_t>(waiting_.size()),
                item.request_.account_});
            continue;
        }
        if (!try_place(item, now, out))
        {
            remaining.push_back(std::move(item));
        }
        else if (shares)
        {
            shares_.served(to_entry(item, now), priorities);
        }
    }
    waiting_ = std::move(remaining);
    if (shares)
    {
        shed_by_forecast(now, out);
    }
    else
    {
        shed_load(now, out);
    }
    return out;
}

/// \return the rate at which streams like this one can be placed: that of
/// prefills while decode engines have room, else also that of ending streams.
double stream_scheduler::streams_per_ms(
    const stream_request& request, core::time_point now)
{
    double prefills_per_ms = 0;
    const double prefill_ms =
        std::max(common_prefill_ms_per_token() * mean_prompt_tokens_, 1.0);
    for (const auto& [name, item] : engines_)
    {
        prefills_per_ms += item.info_.reads_prompts_ && item.info_.usable_
                               ? 1 / (prefill_ms * item.prefill_factor_)
                               : 0;
    }
    const bool is_late = now > request.first_event_deadline_;
    const bool has_room =
        choose_decode_engine(request, is_late, now) != nullptr;
    const double ends_per_ms =
        static_cast<double>(waiting_.size() + 1) /
        std::max(static_cast<double>(estimate_queue_delay().ms_), 1.0);
    if (prefills_per_ms <= 0)
    {
        return ends_per_ms;
    }
    return has_room ? prefills_per_ms : std::min(prefills_per_ms, ends_per_ms);
}

/// Refuses streams that cannot be placed in time by the forecast of the order,
/// and late ones while others of their priority or a more urgent one wait that
/// can still meet their deadline.
void stream_scheduler::shed_by_forecast(
    core::time_point now, std::vector<stream_decision>& out)
{
    if (waiting_.empty())
    {
        return;
    }
    const auto queue_length = static_cast<std::int64_t>(waiting_.size());
    const double rate = streams_per_ms(waiting_.front().request_, now);
    std::map<int, bool> is_on_time_waiting;
    for (const int priority : waiting_priorities())
    {
        is_on_time_waiting[priority] = waits_on_time(priority, now);
    }
    std::vector<waiting_stream> remaining;
    for (waiting_stream& item : waiting_)
    {
        const stream_request& request = item.request_;
        const core::duration wait{static_cast<std::int64_t>(
            static_cast<double>(remaining.size() + 1) / rate)};
        const core::duration time_left = request.first_event_deadline_ - now;
        const bool is_new = item.arrived_at_ == now;
        const bool too_late = is_new && time_left.ms_ > 0 &&
                              wait > time_left * max_forecast_multiple;
        const bool wait_too_long = wait > request.queue_deadline_ - now;
        // Callers that were late on arrival stay, as in shed_load().
        const bool is_overtaken =
            time_left.ms_ < 0 &&
            item.arrived_at_ <= request.first_event_deadline_ &&
            is_on_time_waiting[request.priority_];
        if (too_late || wait_too_long || is_overtaken)
        {
            out.emplace_back(stream_refusal{
                request.id_,
                is_overtaken ? stream_refusal_reason::overtaken
                             : stream_refusal_reason::no_room_soon,
                schedule_return(item, wait, rate, now),
                queue_length,
                request.account_});
            continue;
        }
        remaining.push_back(std::move(item));
    }
    waiting_ = std::move(remaining);
}

/// \return when a refused caller may return. Those of one priority are told
/// times that follow each other as fast as streams can be placed, after the
/// wait. One that returned early is told the same time again.
core::duration stream_scheduler::schedule_return(
    const waiting_stream& item,
    core::duration wait,
    double streams_per_ms,
    core::time_point now)
{
    const auto found = first_arrivals_.find(item.request_.digest_);
    const bool is_told = found != first_arrivals_.end() &&
                         found->second.return_at_ &&
                         now + return_tolerance < *found->second.return_at_;
    if (is_told)
    {
        return *found->second.return_at_ - now;
    }
    core::time_point& next = next_return_at_[item.request_.priority_];
    const core::duration spacing{
        static_cast<std::int64_t>(std::ceil(1 / streams_per_ms))};
    next = std::max(next + spacing, now + std::max(wait, min_retry_after));
    core::duration out = next - now;
    if (out > max_retry_after)
    {
        // More callers than can return in time: they share the later half.
        next = now + max_retry_after;
        out = max_retry_after -
              core::duration{static_cast<std::int64_t>(
                  std::uniform_real_distribution<double>(0, 0.5)(random_) *
                  static_cast<double>(max_retry_after.ms_))};
    }
    if (found != first_arrivals_.end())
    {
        found->second.return_at_ = now + out;
        found->second.expires_at_ =
            std::max(found->second.expires_at_, now + out + caller_return_time);
    }
    return out;
}

/// Refuses new arrivals whose expected queueing delay exceeds their queue
/// deadline, and streams whose first-event deadline has passed while others
/// wait that can still meet theirs.
void stream_scheduler::shed_load(
    core::time_point now, std::vector<stream_decision>& out)
{
    const bool on_time_waiting = std::any_of(
        waiting_.begin(),
        waiting_.end(),
        [now](const waiting_stream& item)
        {
            return now <= item.request_.first_event_deadline_;
        });
    const auto queue_length = static_cast<std::int64_t>(waiting_.size());
    const core::duration queue_delay = estimate_queue_delay();
    std::vector<waiting_stream> remaining;
    for (waiting_stream& item : waiting_)
    {
        const stream_request& request = item.request_;
        const double queue_fraction =
            static_cast<double>(remaining.size() + 1) /
            static_cast<double>(queue_length + 1);
        const core::duration wait{static_cast<std::int64_t>(
            queue_fraction * static_cast<double>(queue_delay.ms_))};
        const bool wait_too_long =
            item.arrived_at_ == now && wait > request.queue_deadline_ - now;
        // Callers that returned after a refusal, and were late on arrival, stay
        // in the queue: few of them return a second time.
        const bool is_overtaken =
            on_time_waiting && now > request.first_event_deadline_ &&
            item.arrived_at_ <= request.first_event_deadline_;
        if (wait_too_long || is_overtaken)
        {
            const auto reason = wait_too_long
                                    ? stream_refusal_reason::no_room_soon
                                    : stream_refusal_reason::overtaken;
            out.emplace_back(stream_refusal{
                request.id_,
                reason,
                add_jitter(std::max(wait, min_retry_after)),
                queue_length,
                request.account_});
            continue;
        }
        remaining.push_back(std::move(item));
    }
    waiting_ = std::move(remaining);
}

/// \return a random time from one to two times the given one, so that refused
/// callers do not return at the same time.
core::duration stream_scheduler::add_jitter(core::duration time)
{
    const double factor = std::uniform_real_distribution<double>(1, 2)(random_);
    return {static_cast<std::int64_t>(factor * static_cast<double>(time.ms_))};
}

} // namespace poplarroute::policy
