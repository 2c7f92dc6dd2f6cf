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
constexpr double news = 0.1;

/// Used until answers have been seen: a large engine's usual figures.
constexpr double first_read_rate = 45;
constexpr double first_token_ms = 0.9;

/// Without a hint or a mean, answers are taken for this part of the most.
constexpr double first_output_part = 0.55;

/// Memory that placed streams may be expected to use, of an engine's whole.
/// The rest absorbs answers that are longer than expected.
constexpr double fill_on_time = 0.92;
constexpr double fill_late = 0.80;

/// Mean part of its answer that a stream has made while it runs.
constexpr double mean_progress = 0.55;

/// A reader's backlog in ms up to which it gets another prompt: enough to keep
/// it busy; further prompts would only queue there.
constexpr double reader_backlog_ms = 90;

/// The list shows by then that an engine has been replaced.
constexpr core::duration gone_from_list{5'000};

/// Consecutive expired prompts after which a reader is ejected.
constexpr int most_lapses = 2;

/// A placement younger than this may be missing from its host's report, which
/// was sent before the placement arrived.
constexpr core::duration untold{1'500};

/// A host that has not reported for this long is considered dead, and its
/// placements are released.
constexpr core::duration host_silence{4'000};

/// A caller that was refused returns within this time or not at all: a third
/// of the longest usual deadline.
constexpr core::duration callers_return{5'000};

/// Preference for a decode engine in the caller's zone, as a part of the
/// engine's memory: a cut between zones breaks streams that cross it.
constexpr double far_from_caller = 0.15;

/// Preference for a reader in the decode engine's zone, as a part of the
/// reader's largest backlog: a move between zones takes twice as long.
constexpr double far_from_decoder = 0.5;

/// Hosts place streams unevenly: each may use this many times its even part
/// of the engines while it sees none of the others' streams.
constexpr double overbooking = 2;

/// Difference in load, as a part of an engine's whole, that chance outweighs
/// while a host does not see the others' streams.
constexpr double blind_spread = 0.3;

constexpr core::duration one_second{1'000};

/// Over which the rate of arrivals is taken: longer than a lull, shorter than
/// the tens of seconds for which stages are planned.
constexpr core::duration rate_window{4'000};
constexpr core::duration least_retry{300};

void learn(double& mean, double seen)
{
    mean = mean == 0 ? seen : mean + news * (seen - mean);
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
    stands_for_ = std::max(static_cast<double>(hosts) / overbooking, 1.0);
}

double stream_scheduler::draw()
{
    if (stands_for_ <= 1)
    {
        return 0;
    }
    return std::uniform_real_distribution<double>(0, blind_spread)(random_);
}

void stream_scheduler::set_engines(std::span<const engine_info> engines)
{
    std::map<core::endpoint_id, engine> next;
    for (const engine_info& facts : engines)
    {
        const auto found = engines_.find(facts.name_);
        engine item = found == engines_.end() ? engine() : found->second;
        item.facts_ = facts;
        next.emplace(facts.name_, std::move(item));
    }
    engines_ = std::move(next);
}

void stream_scheduler::ask(stream_request want, core::time_point now)
{
    hosts_[want.host_] = now;
    if (!want.prompt_is_read_)
    {
        learn(prompt_mean_, static_cast<double>(want.prompt_tokens_));
        asked_.push_back(now);
    }
    keep_first_objective(want, now);
    waiting_.push_back({std::move(want), now});
}

void stream_scheduler::keep_first_objective(
    stream_request& want, core::time_point now)
{
    if (want.digest_.empty())
    {
        return;
    }
    const first_try fresh{want.first_event_deadline_, now + callers_return};
    const auto [found, first] = first_tries_.try_emplace(want.digest_, fresh);
    if (!first && now < found->second.forget_at_)
    {
        want.first_event_deadline_ = std::min(
            want.first_event_deadline_, found->second.first_event_deadline_);
        return;
    }
    found->second = fresh;
}

void stream_scheduler::free_reader(run& of)
{
    const auto reader = engines_.find(of.reader_);
    if (reader != engines_.end())
    {
        reader->second.reading_tokens_ = std::max<std::int64_t>(
            reader->second.reading_tokens_ - of.prompt_tokens_, 0);
    }
    of.reader_.clear();
}

void stream_scheduler::prefill_finished(const std::string& id)
{
    const auto found = runs_.find(id);
    if (found != runs_.end())
    {
        free_reader(found->second);
    }
}

void stream_scheduler::add_run(const std::string& id, run placed)
{
    release(id);
    const auto decoder = engines_.find(placed.decoder_);
    if (decoder != engines_.end())
    {
        decoder->second.runs_.insert(id);
    }
    runs_.emplace(id, std::move(placed));
}

void stream_scheduler::release(const std::string& id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
    {
        return;
    }
    free_reader(found->second);
    const auto decoder = engines_.find(found->second.decoder_);
    if (decoder != engines_.end())
    {
        decoder->second.runs_.erase(id);
    }
    runs_.erase(found);
}

void stream_scheduler::finished(const stream_result& end, core::time_point now)
{
    std::erase_if(
        waiting_,
        [&](const waiting_stream& item)
        {
            return item.want_.id_ == end.id_;
        });
    const auto found = runs_.find(end.id_);
    if (found != runs_.end())
    {
        hosts_[found->second.host_] = now;
    }
    if (end.read_.ms_ > 0)
    {
        learn(
            read_rate_,
            static_cast<double>(end.prompt_tokens_) /
                static_cast<double>(end.read_.ms_));
    }
    if (end.complete_ && found != runs_.end())
    {
        first_tries_.erase(found->second.digest_);
    }
    release(end.id_);
    if (end.complete_ && end.output_tokens_ > 0)
    {
        const auto tokens = static_cast<double>(end.output_tokens_);
        learn(output_mean_, tokens);
        if (end.decode_.ms_ > 0)
        {
            learn(token_ms_, static_cast<double>(end.decode_.ms_) / tokens);
        }
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
        found->second.ejections_.failed(host, now);
    }
}

void stream_scheduler::record_handle_expiry(
    const core::endpoint_id& name, core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end() && ++found->second.lapses_ >= most_lapses)
    {
        found->second.lapses_ = 0;
        found->second.ejections_.eject_for_all(now);
    }
}

void stream_scheduler::replaced(
    const core::endpoint_id& name, core::time_point now)
{
    const auto found = engines_.find(name);
    if (found != engines_.end())
    {
        found->second.ejections_.eject_for_all(now, gone_from_list);
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
        found->second.lapses_ = 0;
    }
}

void stream_scheduler::reconcile(
    const core::host_id& host,
    std::span<const reported_placement> held,
    core::time_point now)
{
    hosts_[host] = now;
    std::set<std::string> told;
    for (const reported_placement& place : held)
    {
        told.insert(place.id_);
        if (runs_.count(place.id_) != 0)
        {
            continue;
        }
        run item;
        item.host_ = host;
        item.decoder_ = place.decoder_;
        item.prompt_tokens_ = place.prompt_tokens_;
        item.expected_output_ = place.output_hint_;
        item.placed_at_ = now - place.age_;
        add_run(place.id_, std::move(item));
    }
    std::vector<std::string> gone;
    for (const auto& [id, item] : runs_)
    {
        if (item.host_ == host && told.count(id) == 0 &&
            now - item.placed_at_ > untold)
        {
            gone.push_back(id);
        }
    }
    for (const std::string& id : gone)
    {
        release(id);
    }
}

void stream_scheduler::expire(core::time_point now)
{
    std::erase_if(
        first_tries_,
        [now](const auto& item)
        {
            return now >= item.second.forget_at_;
        });
    std::erase_if(
        hosts_,
        [now](const auto& item)
        {
            return now - item.second > host_silence;
        });
    std::vector<std::string> gone;
    for (const auto& [id, item] : runs_)
    {
        if (hosts_.count(item.host_) == 0)
        {
            gone.push_back(id);
        }
    }
    for (const std::string& id : gone)
    {
        release(id);
    }
    std::erase_if(
        waiting_,
        [this](const waiting_stream& item)
        {
            return hosts_.count(item.want_.host_) == 0;
        });
}

std::int64_t stream_scheduler::expected_output(const stream_request& want) const
{
    const auto most = static_cast<double>(want.most_output_);
    double mean = output_mean_ > 0 ? output_mean_ : most * first_output_part;
    if (want.output_hint_ > 0)
    {
        // The hint is right at its median and often far off.
        mean = std::sqrt(mean * static_cast<double>(want.output_hint_));
    }
    return static_cast<std::int64_t>(std::min(mean, std::max(most, 1.0)));
}

stream_scheduler::load stream_scheduler::load_of(
    const engine& on, core::time_point now) const
{
    const double token_ms = token_ms_ > 0 ? token_ms_ : first_token_ms;
    load out;
    for (const std::string& id : on.runs_)
    {
        const run& item = runs_.at(id);
        const auto age = static_cast<double>((now - item.placed_at_).ms_);
        const auto made = std::min<std::int64_t>(
            static_cast<std::int64_t>(age / token_ms), item.expected_output_);
        const auto mean = static_cast<std::int64_t>(
            mean_progress * static_cast<double>(item.expected_output_));
        out.now_tokens_ += item.prompt_tokens_ + made;
        out.mean_tokens_ += item.prompt_tokens_ + std::max(made, mean);
        ++out.runs_;
    }
    return out;
}

std::optional<stage_rates> stream_scheduler::rates(core::time_point now)
{
    while (!asked_.empty() && now - asked_.front() > rate_window)
    {
        asked_.pop_front();
    }
    if (read_rate_ <= 0 || output_mean_ <= 0 || token_ms_ <= 0 ||
        engines_.empty())
    {
        return std::nullopt;
    }
    // Engines of one service are alike.
    const engine_info& any = engines_.begin()->second.facts_;
    const double ms = static_cast<double>(one_second.ms_);
    const double held = prompt_mean_ + mean_progress * output_mean_;
    const double at_once = std::min(
        fill_on_time * static_cast<double>(any.memory_tokens_) / held,
        static_cast<double>(any.slots_));
    stage_rates out;
    out.per_prefill_engine_ = read_rate_ / prompt_mean_ * ms;
    out.per_decode_engine_ = at_once / (output_mean_ * token_ms_) * ms;
    out.offered_ = static_cast<double>(asked_.size()) * ms /
                   static_cast<double>(rate_window.ms_);
    return out;
}

double stream_scheduler::fill(core::time_point now) const
{
    std::int64_t used = 0;
    std::int64_t all = 0;
    for (const auto& [name, item] : engines_)
    {
        if (!item.facts_.reads_prompts_)
        {
            used += load_of(item, now).mean_tokens_;
            all += item.facts_.memory_tokens_;
        }
    }
    return all == 0 ? 0 : static_cast<double>(used) / static_cast<double>(all);
}

bool stream_scheduler::in_use(
    const engine& item, const core::host_id& host, core::time_point now) const
{
    return item.facts_.usable_ && !item.ejections_.is_ejected_for(host, now);
}

bool stream_scheduler::has_reader(
    const stream_request& want, core::time_point now) const
{
    return std::any_of(
        engines_.begin(),
        engines_.end(),
        [&](const auto& item)
        {
            return item.second.facts_.reads_prompts_ &&
                   in_use(item.second, want.host_, now);
        });
}

bool stream_scheduler::may_start(engine& item, core::time_point now) const
{
    while (!item.starts_.empty() && now - item.starts_.front() > one_second)
    {
        item.starts_.pop_front();
    }
    return item.facts_.starts_per_second_ == 0 ||
           static_cast<std::int64_t>(item.starts_.size()) <
               item.facts_.starts_per_second_;
}

stream_scheduler::engine* stream_scheduler::pick_reader(
    const stream_request& want,
    const core::zone_id& decoder_zone,
    core::time_point now)
{
    const double rate = read_rate_ > 0 ? read_rate_ : first_read_rate;
    engine* best = nullptr;
    double best_score = 0;
    for (auto& [name, item] : engines_)
    {
        if (!item.facts_.reads_prompts_ || !in_use(item, want.host_, now) ||
            want.avoid_.count(name) != 0 || !may_start(item, now))
        {
            continue;
        }
        const double backlog = static_cast<double>(item.reading_tokens_) / rate;
        if (backlog > reader_backlog_ms)
        {
            continue;
        }
        const bool far = item.facts_.zone_ != decoder_zone;
        const double score =
            backlog / reader_backlog_ms + (far ? far_from_decoder : 0) + draw();
        if (best == nullptr || score < best_score)
        {
            best = &item;
            best_score = score;
        }
    }
    return best;
}

stream_scheduler::engine* stream_scheduler::pick_decoder(
    const stream_request& want, bool late, core::time_point now)
{
    const std::int64_t output = expected_output(want);
    const double most_fill = late ? fill_late : fill_on_time;
    engine* best = nullptr;
    double best_score = 0;
    for (auto& [name, item] : engines_)
    {
        if (item.facts_.reads_prompts_ || !in_use(item, want.host_, now) ||
            want.avoid_.count(name) != 0 || !may_start(item, now))
        {
            continue;
        }
        const load used = load_of(item, now);
        const double memory =
            static_cast<double>(item.facts_.memory_tokens_) / stands_for_;
        const auto own_mean = static_cast<double>(want.prompt_tokens_) +
                              mean_progress * static_cast<double>(output);
        const double after =
            (static_cast<double>(used.mean_tokens_) + own_mean) / memory;
        const double now_after =
            static_cast<double>(used.now_tokens_ + want.prompt_tokens_) /
            memory;
        const bool alone = used.runs_ == 0;
        const bool fits = after <= most_fill && now_after <= most_fill &&
                          static_cast<double>(used.runs_) * stands_for_ <
                              static_cast<double>(item.facts_.slots_);
        if (!fits && !alone)
        {
            continue;
        }
        const bool far = item.facts_.zone_ != want.zone_;
        const double score = after + (far ? far_from_caller : 0) + draw();
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
    const stream_request& want = item.want_;
    const bool late = now > want.first_event_deadline_;
    engine* decoder = pick_decoder(want, late, now);
    if (decoder == nullptr)
    {
        return false;
    }
    const bool needs_reader =
        !want.prompt_is_read_ && !want.decode_reads_prompt_;
    engine* reader = nullptr;
    if (needs_reader)
    {
        reader = pick_reader(want, decoder->facts_.zone_, now);
        // Without any reader decode engines read prompts themselves. While
        // there is one they do not: it slows their streams down.
        if (reader == nullptr && has_reader(want, now))
        {
            return false;
        }
    }
    run placed;
    placed.host_ = want.host_;
    placed.digest_ = want.digest_;
    placed.decoder_ = decoder->facts_.name_;
    placed.prompt_tokens_ = want.prompt_tokens_;
    placed.expected_output_ = expected_output(want);
    placed.placed_at_ = now;
    decoder->starts_.push_back(now);
    if (reader != nullptr)
    {
        placed.reader_ = reader->facts_.name_;
        reader->reading_tokens_ += want.prompt_tokens_;
        reader->starts_.push_back(now);
    }
    out.emplace_back(stream_placement{
        want.id_, placed.reader_, placed.decoder_, now - item.asked_at_});
    add_run(want.id_, std::move(placed));
    return true;
}

std::optional<stream_refusal_reason> stream_scheduler::hopeless(
    const waiting_stream& item, core::time_point now) const
{
    bool decoder = false;
    bool large_enough = false;
    for (const auto& [name, engine] : engines_)
    {
        if (engine.facts_.reads_prompts_ || !engine.facts_.usable_)
        {
            continue;
        }
        decoder = true;
        large_enough = large_enough ||
                       engine.facts_.memory_tokens_ > item.want_.prompt_tokens_;
    }
    if (!decoder)
    {
        return stream_refusal_reason::no_engine;
    }
    if (!large_enough)
    {
        return stream_refusal_reason::too_large;
    }
    if (now >= item.want_.queue_deadline_)
    {
        return stream_refusal_reason::waited_out;
    }
    return std::nullopt;
}

core::duration stream_scheduler::time_to_room() const
{
    // A stream's place frees after its answer's time; places end evenly.
    const double token_ms = token_ms_ > 0 ? token_ms_ : first_token_ms;
    const double span = std::max(output_mean_, 1'000.0) * token_ms;
    const double per_ms =
        static_cast<double>(std::max<std::size_t>(runs_.size(), 1)) / span;
    return {static_cast<std::int64_t>(
        static_cast<double>(waiting_.size() + 1) / per_ms)};
}

/// Sorts those that can still meet their objective before late ones, then by
/// priority, then by arrival.
void stream_scheduler::sort_waiting(core::time_point now)
{
    std::stable_sort(
        waiting_.begin(),
        waiting_.end(),
        [now](const waiting_stream& left, const waiting_stream& right)
        {
            const bool left_late = now > left.want_.first_event_deadline_;
            const bool right_late = now > right.want_.first_event_deadline_;
            if (left_late != right_late)
            {
                return right_late;
            }
            if (left.want_.priority_ != right.want_.priority_)
            {
                return left.want_.priority_ < right.want_.priority_;
            }
            return left.asked_at_ < right.asked_at_;
        });
}

std::vector<stream_decision> stream_scheduler::decide(core::time_point now)
{
    std::vector<stream_decision> out;
    sort_waiting(now);
    std::vector<waiting_stream> rest;
    for (waiting_stream& item : waiting_)
    {
        const auto reason = hopeless(item, now);
        if (reason)
        {
            out.emplace_back(stream_refusal{
                item.want_.id_,
                *reason,
                spread(std::max(time_to_room(), least_retry)),
                static_cast<std::int64_t>(waiting_.size())});
            continue;
        }
        if (!try_place(item, now, out))
        {
            rest.push_back(std::move(item));
        }
    }
    waiting_ = std::move(rest);
    refuse_without_hope(now, out);
    return out;
}

/// Refuses new arrivals whose queueing delay exceeds their patience, and those
/// whose objective has passed while streams wait that can still meet theirs.
void stream_scheduler::refuse_without_hope(
    core::time_point now, std::vector<stream_decision>& out)
{
    const bool crowded = std::any_of(
        waiting_.begin(),
        waiting_.end(),
        [now](const waiting_stream& item)
        {
            return now <= item.want_.first_event_deadline_;
        });
    const auto all = static_cast<std::int64_t>(waiting_.size());
    std::vector<waiting_stream> kept;
    for (waiting_stream& item : waiting_)
    {
        const stream_request& want = item.want_;
        const double share =
            static_cast<double>(kept.size() + 1) / static_cast<double>(all + 1);
        const core::duration wait{static_cast<std::int64_t>(
            share * static_cast<double>(time_to_room().ms_))};
        const bool too_long =
            item.asked_at_ == now && wait > want.queue_deadline_ - now;
        // Callers that have returned wait on: few of them return twice.
        const bool missed = crowded && now > want.first_event_deadline_ &&
                            item.asked_at_ <= want.first_event_deadline_;
        if (too_long || missed)
        {
            const auto reason = too_long ? stream_refusal_reason::no_room_soon
                                         : stream_refusal_reason::overtaken;
            out.emplace_back(stream_refusal{
                want.id_, reason, spread(std::max(wait, least_retry)), all});
            continue;
        }
        kept.push_back(std::move(item));
    }
    waiting_ = std::move(kept);
}

/// \return a time from one to two times the given one, by chance, so that
/// refused callers do not return together.
core::duration stream_scheduler::spread(core::duration time)
{
    const double times = std::uniform_real_distribution<double>(1, 2)(random_);
    return {static_cast<std::int64_t>(times * static_cast<double>(time.ms_))};
}

} // namespace poplarroute::policy
