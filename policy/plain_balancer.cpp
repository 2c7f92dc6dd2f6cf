#include "policy/plain_balancer.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarroute::policy
{

namespace
{

/// Weight of a new observation in a running mean.
constexpr double smoothing_factor = 0.1;

/// How long a load that an endpoint reported with an answer is used.
constexpr core::duration reported_load_validity{400};

/// Consecutive failures that eject an endpoint. A single one does if the
/// endpoint is unreachable.
constexpr int failures_to_eject = 3;

/// Time of the first ejection; it doubles with each further one up to a
/// maximum.
constexpr core::duration min_ejection_time{500};
constexpr core::duration max_ejection_time{6'000};

/// An endpoint with calls in flight and no answer for this long counts as
/// unresponsive.
constexpr core::duration unresponsive_after{400};

/// Excess of the error rate over the other endpoints' mean that ejects an
/// endpoint, and the minimum number of observed calls for this.
constexpr double max_excess_error_rate = 0.25;
constexpr std::int64_t min_observed_calls = 10;

/// Score penalty of an endpoint in another zone, in calls in flight.
constexpr double other_zone_penalty_calls = 0.5;

constexpr core::duration one_second{1'000};

/// For how long after the last reported pace endpoints count as ones that
/// report it.
constexpr core::duration pace_use_time{60'000};

/// Number of endpoints drawn for a call while endpoints report their pace. The
/// third one makes it unlikely that all are in a period of slow work, which
/// each endpoint is in for up to a tenth of the time.
constexpr int draws_by_completion = 3;

/// Range of the random factor of an expected completion. It exceeds the usual
/// error of the expectation, so that hosts with the same reports differ.
constexpr double min_random_factor = 0.85;
constexpr double max_random_factor = 1.15;

/// Endpoints whose expected completion is within this multiple of the earliest
/// one are drawn from when none answers in time.
constexpr double earliest_tolerance = 1.25;

/// Multiple of the expected duration after which a slow endpoint counts as
/// unresponsive, and the longest such time: an endpoint that is silent for
/// longer would hold too many calls to their deadline.
constexpr double unresponsive_multiple = 4;
constexpr core::duration max_unresponsive_after{2'000};

} // namespace

plain_balancer::plain_balancer(std::uint64_t seed) : random_(seed) {}

void plain_balancer::set_endpoints(std::span<const plain_endpoint> endpoints)
{
    std::map<core::endpoint_id, endpoint_state> next;
    for (const plain_endpoint& endpoint : endpoints)
    {
        const auto found = endpoints_.find(endpoint.name_);
        endpoint_state item =
            found == endpoints_.end() ? endpoint_state() : found->second;
        item.endpoint_ = endpoint;
        next.emplace(endpoint.name_, std::move(item));
    }
    endpoints_ = std::move(next);
}

bool plain_balancer::uses_paces(core::time_point now) const
{
    return pace_reported_at_ && now - *pace_reported_at_ <= pace_use_time;
}

double plain_balancer::calls_at(
    const endpoint_state& item, core::time_point now) const
{
    const bool is_reported =
        now - item.load_reported_at_ <= reported_load_validity;
    return static_cast<double>(std::max(
        item.in_flight_, is_reported ? item.reported_load_ : std::int64_t{0}));
}

/// \return the duration of a call that does not queue, in ms, as expected from
/// earlier calls and the reported pace.
double plain_balancer::learned_time(
    const endpoint_state& item, core::time_point now) const
{
    const auto common = common_speed_.usual();
    return std::max(
        item.speed_.expected(common ? common->ms_ : 1, now).ms_, 1.0);
}

/// \return the expected duration of a call that does not queue, in ms. Calls
/// that are still running show that they take at least as long as they have.
double plain_balancer::service_time(
    const endpoint_state& item, core::time_point now) const
{
    const double running_ms =
        item.in_flight_ > 0 ? static_cast<double>((now - item.progress_at_).ms_)
                            : 0;
    return std::max(learned_time(item, now), running_ms);
}

/// \return by how much a call takes longer because of others at its endpoint.
double plain_balancer::queueing_factor(
    const endpoint_state& item, core::time_point now) const
{
    const auto slots =
        static_cast<double>(std::max<std::int64_t>(item.endpoint_.slots_, 1));
    return std::max(1.0, (calls_at(item, now) + 1) / slots);
}

/// \return the expected duration of another call, in ms.
double plain_balancer::completion_time(
    const endpoint_state& item, core::time_point now) const
{
    return service_time(item, now) * queueing_factor(item, now);
}

core::duration plain_balancer::unresponsive_time(
    const endpoint_state& item, core::time_point now) const
{
    if (!uses_paces(now))
    {
        return unresponsive_after;
    }
    return std::clamp(
        core::duration{static_cast<std::int64_t>(
            unresponsive_multiple * learned_time(item, now) *
            queueing_factor(item, now))},
        unresponsive_after,
        max_unresponsive_after);
}

void plain_balancer::record_duration(
    endpoint_state& item, core::duration duration, core::time_point now)
{
    const double ms =
        static_cast<double>(duration.ms_) / queueing_factor(item, now);
    item.speed_.record(ms, now);
    common_speed_.record(ms / item.speed_.pace(now), now);
}

std::vector<endpoint_speed_view> plain_balancer::speeds(
    core::time_point now) const
{
    std::vector<endpoint_speed_view> out;
    out.reserve(endpoints_.size());
    for (const auto& [name, item] : endpoints_)
    {
        const work_time usual = item.speed_.usual().value_or(work_time());
        out.push_back(
            {name,
             usual.ms_,
             usual.error_ms_,
             item.speed_.pace(now),
             item.speed_.is_pace_fresh(now)});
    }
    return out;
}

bool plain_balancer::is_healthy(
    const endpoint_state& item, core::time_point now) const
{
    const bool is_unresponsive =
        item.in_flight_ > 0 &&
        now - item.progress_at_ > unresponsive_time(item, now);
    return item.ejected_until_ <= now && !is_unresponsive;
}

double plain_balancer::score(
    const endpoint_state& item,
    const core::zone_id& zone,
    core::time_point now) const
{
    const double calls = calls_at(item, now);
    const double zone_penalty =
        item.endpoint_.zone_ == zone ? 0 : other_zone_penalty_calls;
    const double slowness = std::max(item.latency_ms_, 1.0);
    return (calls + 1 + zone_penalty) * slowness /
           static_cast<double>(
               std::max<std::int64_t>(item.endpoint_.slots_, 1));
}

plain_balancer::candidate_list plain_balancer::find_candidates(
    const std::set<core::endpoint_id>& avoid, core::time_point now)
{
    candidate_list out;
    for (auto& [name, item] : endpoints_)
    {
        while (!item.recent_starts_.empty() &&
               now - item.recent_starts_.front() > one_second)
        {
            item.recent_starts_.pop_front();
        }
        const std::int64_t start_limit = item.endpoint_.starts_per_second_;
        const bool at_start_limit =
            start_limit > 0 && static_cast<std::int64_t>(
                                   item.recent_starts_.size()) >= start_limit;
        if (!item.endpoint_.usable_ || avoid.count(name) != 0 || at_start_limit)
        {
            continue;
        }
        (is_healthy(item, now) ? out.healthy_ : out.unhealthy_)
            .push_back(&item);
    }
    return out;
}

std::optional<core::endpoint_id> plain_balancer::begin(
    const core::zone_id& zone,
    const std::set<core::endpoint_id>& avoid,
    core::time_point now,
    call_time_left left)
{
    auto [candidates, unhealthy] = find_candidates(avoid, now);
    // At most half of the endpoints stay ejected: they may have recovered, and
    // the rest cannot carry the whole load.
    if (candidates.size() < unhealthy.size())
    {
        std::sort(
            unhealthy.begin(),
            unhealthy.end(),
            [](const endpoint_state* left, const endpoint_state* right)
            {
                return left->ejected_until_ < right->ejected_until_;
            });
        const std::size_t readmit_count =
            (candidates.size() + unhealthy.size() + 1) / 2 - candidates.size();
        unhealthy.resize(std::min(unhealthy.size(), readmit_count));
        candidates.insert(candidates.end(), unhealthy.begin(), unhealthy.end());
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return start_call(*draw(candidates, zone, now, left), now);
}

std::optional<core::endpoint_id> plain_balancer::begin_with_room(
    const core::zone_id& zone,
    const std::set<core::endpoint_id>& avoid,
    core::time_point now,
    call_time_left left)
{
    std::vector<endpoint_state*> candidates =
        find_candidates(avoid, now).healthy_;
    std::erase_if(
        candidates,
        [&](const endpoint_state* item)
        {
            const bool is_cold = item->endpoint_.starts_per_second_ > 0;
            return is_cold || calls_at(*item, now) >=
                                  static_cast<double>(item->endpoint_.slots_);
        });
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return start_call(*draw(candidates, zone, now, left), now);
}

/// Counts a call to an endpoint as in flight.
core::endpoint_id plain_balancer::start_call(
    endpoint_state& item, core::time_point now)
{
    if (item.in_flight_ == 0)
    {
        item.progress_at_ = now;
    }
    ++item.in_flight_;
    item.recent_starts_.push_back(now);
    return item.endpoint_.name_;
}

plain_balancer::endpoint_state* plain_balancer::draw(
    const std::vector<endpoint_state*>& candidates,
    const core::zone_id& zone,
    core::time_point now,
    call_time_left left)
{
    return uses_paces(now) ? draw_by_completion(candidates, zone, now, left)
                           : draw_two(candidates, zone, now);
}

plain_balancer::endpoint_state* plain_balancer::draw_two(
    const std::vector<endpoint_state*>& candidates,
    const core::zone_id& zone,
    core::time_point now)
{
    std::uniform_int_distribution<std::size_t> draw_index(
        0, candidates.size() - 1);
    endpoint_state* first = candidates[draw_index(random_)];
    endpoint_state* second = candidates[draw_index(random_)];
    return score(*second, zone, now) < score(*first, zone, now) ? second
                                                                : first;
}

plain_balancer::endpoint_state* plain_balancer::draw_by_completion(
    const std::vector<endpoint_state*>& candidates,
    const core::zone_id& zone,
    core::time_point now,
    call_time_left left)
{
    std::uniform_int_distribution<std::size_t> draw_index(
        0, candidates.size() - 1);
    std::uniform_real_distribution<double> draw_factor(
        min_random_factor, max_random_factor);
    endpoint_state* best = nullptr;
    double best_score = 0;
    for (int draw = 0; draw < draws_by_completion; ++draw)
    {
        endpoint_state* item = candidates[draw_index(random_)];
        const double zone_penalty =
            item->endpoint_.zone_ == zone ? 0 : other_zone_penalty_calls;
        const auto slots = static_cast<double>(
            std::max<std::int64_t>(item->endpoint_.slots_, 1));
        // Calls below the number of slots count too: calls of other hosts that
        // no report shows yet may take the other slots.
        const double item_score =
            service_time(*item, now) * draw_factor(random_) *
            (1 + (calls_at(*item, now) + zone_penalty) / slots);
        if (best == nullptr || item_score < best_score)
        {
            best = item;
            best_score = item_score;
        }
    }
    const core::duration limit =
        left.objective_.ms_ > 0 ? left.objective_ : left.deadline_;
    const bool is_in_time =
        limit.ms_ <= 0 ||
        completion_time(*best, now) <= static_cast<double>(limit.ms_);
    return is_in_time ? best : draw_in_time(candidates, now, left);
}

/// \return a random one of the endpoints that are expected to answer within
/// the objective; without any, one of those that are expected to answer first.
plain_balancer::endpoint_state* plain_balancer::draw_in_time(
    const std::vector<endpoint_state*>& candidates,
    core::time_point now,
    call_time_left left)
{
    double earliest = completion_time(*candidates.front(), now);
    for (const endpoint_state* item : candidates)
    {
        earliest = std::min(earliest, completion_time(*item, now));
    }
    const double limit = std::max(
        static_cast<double>(left.objective_.ms_),
        earliest * earliest_tolerance);
    std::vector<endpoint_state*> in_time;
    for (endpoint_state* item : candidates)
    {
        if (completion_time(*item, now) <= limit)
        {
            in_time.push_back(item);
        }
    }
    std::uniform_int_distribution<std::size_t> draw_index(
        0, in_time.size() - 1);
    return in_time[draw_index(random_)];
}

void plain_balancer::eject(endpoint_state& item, core::time_point now)
{
    if (now < item.ejected_until_)
    {
        return;
    }
    item.ejection_time_ =
        item.ejection_time_.ms_ == 0
            ? min_ejection_time
            : std::min(item.ejection_time_ * 2, max_ejection_time);
    item.ejected_until_ = now + item.ejection_time_;
    item.consecutive_failures_ = 0;
    item.observed_calls_ = 0;
    item.error_rate_ = 0;
}

bool plain_balancer::is_error_outlier(const endpoint_state& item) const
{
    if (item.observed_calls_ < min_observed_calls)
    {
        return false;
    }
    double other_error_rates = 0;
    int count = 0;
    for (const auto& [name, other] : endpoints_)
    {
        if (&other != &item && other.observed_calls_ > 0)
        {
            other_error_rates += other.error_rate_;
            ++count;
        }
    }
    return count > 0 &&
           item.error_rate_ > other_error_rates / count + max_excess_error_rate;
}

void plain_balancer::end(
    const core::endpoint_id& name,
    call_outcome outcome,
    core::time_point started_at,
    core::time_point now)
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end())
    {
        return;
    }
    endpoint_state& item = found->second;
    item.in_flight_ = std::max<std::int64_t>(item.in_flight_ - 1, 0);
    // A call that waited for less than the time after which its endpoint counts
    // as unresponsive shows only that the endpoint is slow.
    const bool is_slow = outcome == call_outcome::timed_out &&
                         uses_paces(now) &&
                         now - started_at <= unresponsive_time(item, now);
    if (is_slow)
    {
        record_duration(item, now - started_at, now);
        return;
    }
    const bool is_failure = outcome == call_outcome::broken ||
                            outcome == call_outcome::timed_out ||
                            outcome == call_outcome::unreachable;
    const bool is_error = is_failure || outcome == call_outcome::errored;
    if (outcome != call_outcome::shed)
    {
        ++item.observed_calls_;
        item.error_rate_ +=
            smoothing_factor * ((is_error ? 1.0 : 0.0) - item.error_rate_);
    }
    if (!is_failure)
    {
        item.progress_at_ = now;
        item.consecutive_failures_ = 0;
        const auto latency_ms = static_cast<double>((now - started_at).ms_);
        item.latency_ms_ =
            item.latency_ms_ == 0
                ? latency_ms
                : item.latency_ms_ +
                      smoothing_factor * (latency_ms - item.latency_ms_);
    }
    if (outcome == call_outcome::answered)
    {
        item.ejection_time_ = {};
        record_duration(item, now - started_at, now);
    }
    item.consecutive_failures_ += is_failure ? 1 : 0;
    if (outcome == call_outcome::unreachable ||
        item.consecutive_failures_ >= failures_to_eject ||
        is_error_outlier(item))
    {
        eject(item, now);
    }
}

void plain_balancer::record_load(
    const core::endpoint_id& name,
    std::int64_t running,
    std::int64_t waiting,
    std::optional<std::int64_t> pace_percent,
    core::time_point now)
{
    const auto found = endpoints_.find(name);
    if (found == endpoints_.end())
    {
        return;
    }
    endpoint_state& item = found->second;
    item.reported_load_ = running + waiting;
    item.load_reported_at_ = now;
    if (pace_percent)
    {
        item.speed_.record_pace(*pace_percent, now);
        pace_reported_at_ = now;
    }
}

} // namespace poplarroute::policy
