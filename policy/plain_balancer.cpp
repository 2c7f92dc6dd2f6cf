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

bool plain_balancer::is_healthy(
    const endpoint_state& item, core::time_point now) const
{
    const bool is_unresponsive =
        item.in_flight_ > 0 && now - item.progress_at_ > unresponsive_after;
    return item.ejected_until_ <= now && !is_unresponsive;
}

double plain_balancer::score(
    const endpoint_state& item,
    const core::zone_id& zone,
    core::time_point now) const
{
    const bool is_reported =
        now - item.load_reported_at_ <= reported_load_validity;
    const double calls = static_cast<double>(std::max(
        item.in_flight_, is_reported ? item.reported_load_ : std::int64_t{0}));
    const double zone_penalty =
        item.endpoint_.zone_ == zone ? 0 : other_zone_penalty_calls;
    const double slowness = std::max(item.latency_ms_, 1.0);
    return (calls + 1 + zone_penalty) * slowness /
           static_cast<double>(
               std::max<std::int64_t>(item.endpoint_.slots_, 1));
}

std::optional<core::endpoint_id> plain_balancer::begin(
    const core::zone_id& zone,
    const std::set<core::endpoint_id>& avoid,
    core::time_point now)
{
    std::vector<endpoint_state*> candidates;
    std::vector<endpoint_state*> unhealthy;
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
        (is_healthy(item, now) ? candidates : unhealthy).push_back(&item);
    }
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
    std::uniform_int_distribution<std::size_t> draw_index(
        0, candidates.size() - 1);
    endpoint_state* first = candidates[draw_index(random_)];
    endpoint_state* second = candidates[draw_index(random_)];
    endpoint_state* best =
        score(*second, zone, now) < score(*first, zone, now) ? second : first;
    if (best->in_flight_ == 0)
    {
        best->progress_at_ = now;
    }
    ++best->in_flight_;
    best->recent_starts_.push_back(now);
    return best->endpoint_.name_;
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
    const bool is_failure =
        outcome == call_outcome::broken || outcome == call_outcome::unreachable;
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
        item.pace_percent_ = pace_percent;
        item.pace_reported_at_ = now;
    }
}

} // namespace poplarroute::policy
