#include "policy/rollout_evaluator.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace poplarroute::policy
{

namespace
{

using tally = rollout_evaluator::tally;
using role_tally = rollout_evaluator::role_tally;
using route_tally = rollout_evaluator::route_tally;
using route_tallies = rollout_evaluator::route_tallies;

/// Time kept for the switch, its commits and some delay of the group.
constexpr core::duration switch_time{4'000};
/// The least that the switch and its commits take.
constexpr core::duration min_switch_time{2'800};
/// Shortest trial that can give evidence.
constexpr core::duration min_trial{2'000};
/// Longest time over which the target's share grows to all requests.
constexpr core::duration max_switch_ramp{2'000};
/// Longer deadlines leave this part of them to the switch, up to
/// max_switch_time, since long requests may run at the old endpoints.
constexpr std::int64_t switch_parts = 10;
constexpr core::duration max_switch_time{60'000};

/// Spans over which the target is judged, beside the time since the order. The
/// short ones find a version that turns bad after many good answers.
constexpr std::array<core::duration, 3> window_lengths{
    core::duration{1'000}, core::duration{3'000}, core::duration{30'000}};
constexpr std::int64_t snapshots_per_window = 4;

/// Accepted probability that chance alone ends the roll-out of a good version.
constexpr double false_verdict_budget = 1e-2;
/// Tests of one route that are nearly independent, per second of the deadline.
constexpr double tests_per_second = 8;
/// Probabilities of chance below which failures or slow answers keep the target
/// from being switched to.
constexpr double failure_doubt = 1e-2;
constexpr double slowness_doubt = 2e-3;
/// Probability of chance below which the answers of all endpoints, hosts or
/// zones but the worst one confirm a fault.
constexpr double confirming_alpha = 0.03;
/// The same for a doubt before the switch.
constexpr double doubt_confirming_alpha = 0.1;

/// Failure rates up to this one are no fault, whatever the baseline's.
constexpr double accepted_failure_rate = 0.02;
/// The same for the test before the switch, which is made once.
constexpr double unsuspicious_failure_rate = 0.01;
/// A target may fail this many times as often as the baseline.
constexpr double accepted_failure_ratio = 1.5;
/// Answers' worth of the whole baseline's rate in the rate of each group.
constexpr double prior_answers = 10;

/// Excess of bad answers that always ends a roll-out.
constexpr double decisive_bad_answers = 50;
constexpr double excess_deviations = 4;

/// Latency buckets by which a target may be slower than the baseline at the
/// same time: a factor of 1.7.
constexpr std::size_t accepted_slowdown = 3;
/// The same where the baseline's answers are of another time: a factor of 2.8.
constexpr std::size_t accepted_slowdown_over_time = 6;
/// Baseline answers that make its latencies known.
constexpr std::int64_t min_baseline_answers = 20;
/// Quantiles of the baseline's latency whose excess by the target is tested. A
/// version that is slow at all times shows at the low ones, one that is slow in
/// a part of its answers at the high ones.
constexpr std::array<double, 4> tested_quantiles{0.5, 0.75, 0.9, 0.97};

/// Good answers that are enough for one route: a version that fails a third of
/// its answers gives as many in a row once in 25 times.
constexpr std::int64_t enough_on_route = 8;
constexpr std::int64_t enough_in_all = 20;
constexpr std::int64_t least_in_all = 3;
/// Good answers of warm endpoints that show the target's latency.
constexpr std::int64_t enough_warm = 8;
/// Good answers in the last seconds that show that the target still works.
constexpr std::int64_t enough_recent = 3;
/// Part of the target's share of the answers that must be seen. The trial sends
/// half of the share, and chance distributes it unevenly over routes.
constexpr double expected_part = 0.25;
/// A decision may be made this long after the last moment, because hosts report
/// and the leader decides at intervals.
constexpr core::duration decision_delay{300};

/// Answers of other endpoints without which a suspected target
/// isn't switched to.
constexpr std::int64_t enough_other_endpoints = 6;
/// The same of hosts and zones.
constexpr std::int64_t enough_other_groups = 6;

/// Route names are cut to this length in reasons.
constexpr std::size_t max_route_length = 64;

/// Answers that are bad, of all.
struct proportion
{
    std::int64_t bad_ = 0;
    std::int64_t total_ = 0;

    proportion operator-(const proportion& part) const
    {
        return {bad_ - part.bad_, total_ - part.total_};
    }
};

proportion failures(const tally& counts)
{
    return {counts.bad_, counts.good_ + counts.bad_};
}

/// \return the probability of at least `bad` of `total` at this rate.
double upper_tail(const proportion& counts, double rate)
{
    const auto bad = static_cast<double>(counts.bad_);
    const auto total = static_cast<double>(counts.total_);
    if (counts.bad_ <= 0 || bad <= total * rate)
    {
        return 1;
    }
    if (rate <= 0)
    {
        return 0;
    }
    constexpr double negligible = 1e-4;
    double term = std::exp(
        std::lgamma(total + 1) - std::lgamma(bad + 1) -
        std::lgamma(total - bad + 1) + bad * std::log(rate) +
        (total - bad) * std::log1p(-rate));
    double sum = 0;
    for (double k = bad; k <= total && term > sum * negligible; ++k)
    {
        sum += term;
        term *= (total - k) / (k + 1) * rate / (1 - rate);
    }
    return std::min(sum, 1.0);
}

void add(tally& sum, const tally& part)
{
    sum.good_ += part.good_;
    sum.bad_ += part.bad_;
    sum.latencies_.merge(part.latencies_);
}

void subtract(tally& sum, const tally& earlier)
{
    sum.good_ = std::max<std::int64_t>(sum.good_ - earlier.good_, 0);
    sum.bad_ = std::max<std::int64_t>(sum.bad_ - earlier.bad_, 0);
    sum.latencies_.subtract(earlier.latencies_);
}

template <typename Groups>
void subtract_groups(Groups& groups, const Groups& earlier)
{
    for (auto& [id, counts] : groups)
    {
        const auto before = earlier.find(id);
        if (before != earlier.end())
        {
            subtract(counts, before->second);
        }
    }
}

void subtract(role_tally& role, const role_tally& earlier)
{
    subtract(role.total_, earlier.total_);
    subtract_groups(role.by_endpoint_, earlier.by_endpoint_);
    subtract_groups(role.by_host_, earlier.by_host_);
    subtract_groups(role.by_zone_, earlier.by_zone_);
}

template <typename Groups>
void add_groups(Groups& sums, const Groups& parts)
{
    for (const auto& [id, counts] : parts)
    {
        add(sums[id], counts);
    }
}

void add(role_tally& sum, const role_tally& part)
{
    add(sum.total_, part.total_);
    add_groups(sum.by_endpoint_, part.by_endpoint_);
    add_groups(sum.by_host_, part.by_host_);
    add_groups(sum.by_zone_, part.by_zone_);
}

void add_cell(route_tallies& routes, const rollout_observation& cell)
{
    tally counts{cell.good_, cell.bad_, {}};
    if (cell.is_warm_)
    {
        counts.latencies_ = cell.latencies_;
    }
    route_tally& route = routes[cell.route_];
    role_tally& role = cell.is_target_ ? route.target_ : route.baseline_;
    add(role.total_, counts);
    add(role.by_host_[cell.host_], counts);
    add(role.by_zone_[cell.zone_], counts);
    if (cell.is_target_)
    {
        add(role.by_endpoint_[cell.endpoint_], counts);
    }
}

route_tallies tally_cells(std::span<const rollout_observation> cells)
{
    route_tallies routes;
    for (const rollout_observation& cell : cells)
    {
        add_cell(routes, cell);
    }
    return routes;
}

route_tally sum_of(const route_tallies& routes)
{
    route_tally sum;
    for (const auto& [name, route] : routes)
    {
        add(sum.target_, route.target_);
        add(sum.baseline_, route.baseline_);
    }
    return sum;
}

/// The rate of bad answers that the baseline explains.
class baseline_rate
{
public:
    /// \param baseline over the same time as the target.
    /// \param prior rate that stands in where the baseline has few answers.
    baseline_rate(const role_tally& baseline, double prior)
        : baseline_(baseline), prior_(prior)
    {
    }

    /// \return the largest rate that the route, the hosts or the zones explain,
    /// the latter weighted by the target's answers there.
    double explained(const role_tally& target) const
    {
        const proportion all = failures(baseline_.total_);
        const double rate = rate_of(all);
        const double deviation = std::sqrt(
            rate * (1 - rate) /
            (static_cast<double>(all.total_) + prior_answers));
        return std::max(
            {rate + deviation,
             mean_rate(target.by_host_, baseline_.by_host_),
             mean_rate(target.by_zone_, baseline_.by_zone_)});
    }

private:
    double rate_of(const proportion& counts) const
    {
        return (static_cast<double>(counts.bad_) + prior_answers * prior_) /
               (static_cast<double>(counts.total_) + prior_answers);
    }

    template <typename Groups>
    double mean_rate(const Groups& target, const Groups& baseline) const
    {
        double sum = 0;
        double weights = 0;
        for (const auto& [id, counts] : target)
        {
            const auto same = baseline.find(id);
            const double rate = same == baseline.end()
                                    ? prior_
                                    : rate_of(failures(same->second));
            const auto weight = static_cast<double>(failures(counts).total_);
            sum += rate * weight;
            weights += weight;
        }
        return weights > 0 ? sum / weights : 0;
    }

    const role_tally& baseline_;
    double prior_;
};

/// \return the rate of bad answers; zero without answers.
double rate_of(const tally& counts)
{
    const proportion bad = failures(counts);
    return bad.total_ == 0 ? 0
                           : static_cast<double>(bad.bad_) /
                                 static_cast<double>(bad.total_);
}

/// How strictly a target is judged.
struct strictness
{
    double failure_alpha_;
    double slowness_alpha_;
    double confirming_alpha_;
    double accepted_failures_;
    /// Answers of the other groups that can show a fault to be that of one.
    std::int64_t other_endpoints_;
    std::int64_t other_groups_; ///< The same of hosts and zones.
    std::size_t slowdown_;      ///< Accepted, against answers of the same time.
};

/// \return whether the answers of all groups but the worst one confirm the
/// fault, or only one group has answered since the order.
template <typename Groups>
bool is_confirmed(
    const Groups& groups,
    const Groups& since_order,
    const proportion& all,
    double rate,
    std::int64_t enough,
    double alpha)
{
    proportion worst;
    for (const auto& [id, counts] : groups)
    {
        const proportion group = failures(counts);
        if (group.bad_ > worst.bad_)
        {
            worst = group;
        }
    }
    const proportion rest = all - worst;
    if (rest.total_ > 0)
    {
        return rest.total_ < enough ||
               upper_tail(rest, std::max(rate, accepted_failure_rate)) < alpha;
    }
    return std::count_if(
               since_order.begin(),
               since_order.end(),
               [](const auto& group)
               {
                   return failures(group.second).total_ > 0;
               }) <= 1;
}

/// \return whether chance explains the target's bad answers with less than
/// this probability, and not only a single endpoint, host or zone shows them.
bool is_fault(
    const role_tally& target,
    const role_tally& since_order,
    double rate,
    double alpha,
    const strictness& limits)
{
    const proportion all = failures(target.total_);
    if (upper_tail(all, rate) >= alpha)
    {
        return false;
    }
    const auto confirms =
        [&](const auto& groups, const auto& all_groups, std::int64_t enough)
    {
        return is_confirmed(
            groups, all_groups, all, rate, enough, limits.confirming_alpha_);
    };
    return confirms(
               target.by_endpoint_,
               since_order.by_endpoint_,
               limits.other_endpoints_) &&
           confirms(
               target.by_host_, since_order.by_host_, limits.other_groups_) &&
           confirms(
               target.by_zone_, since_order.by_zone_, limits.other_groups_);
}

std::string of(const proportion& counts)
{
    return std::to_string(counts.bad_) + " of " + std::to_string(counts.total_);
}

std::string on_route(const std::string& name)
{
    return " on route " + name.substr(0, max_route_length);
}

std::optional<std::string> find_failures(
    const route_tally& route,
    const tally& baseline_since_order,
    const role_tally& target_since_order,
    const strictness& limits)
{
    constexpr double max_rate = 0.98;
    const baseline_rate baseline(
        route.baseline_, rate_of(baseline_since_order));
    const double rate = std::clamp(
        accepted_failure_ratio * baseline.explained(route.target_),
        limits.accepted_failures_,
        max_rate);
    if (!is_fault(
            route.target_,
            target_since_order,
            rate,
            limits.failure_alpha_,
            limits))
    {
        return std::nullopt;
    }
    return of(failures(route.target_.total_)) + " answers failed, baseline " +
           of(failures(route.baseline_.total_));
}

/// \return counts with slow answers as bad and all others as good.
tally slow_as_bad(const tally& counts, std::size_t bucket)
{
    const std::int64_t slow = counts.latencies_.count_above(bucket);
    return {counts.latencies_.count() - slow, slow, {}};
}

template <typename Groups>
Groups slow_groups_as_bad(const Groups& groups, std::size_t bucket)
{
    Groups slow;
    for (const auto& [id, counts] : groups)
    {
        slow[id] = slow_as_bad(counts, bucket);
    }
    return slow;
}

role_tally slow_as_bad(const role_tally& role, std::size_t bucket)
{
    return {
        slow_as_bad(role.total_, bucket),
        slow_groups_as_bad(role.by_endpoint_, bucket),
        slow_groups_as_bad(role.by_host_, bucket),
        slow_groups_as_bad(role.by_zone_, bucket)};
}

/// \return counts in which answers above this quantile of the baseline's
/// latency, for the target with the accepted slowdown, are bad; nothing while
/// the baseline's latency isn't known.
route_tally slow_as_bad(
    const route_tally& route,
    const route_tally& since_order,
    double quantile,
    std::size_t slowdown)
{
    const bool is_known =
        route.baseline_.total_.latencies_.count() >= min_baseline_answers;
    const role_tally& baseline =
        is_known ? route.baseline_ : since_order.baseline_;
    const latency_histogram& usual = baseline.total_.latencies_;
    if (usual.count() < min_baseline_answers)
    {
        return {};
    }
    const std::size_t limit = usual.quantile_bucket(quantile);
    const std::size_t accepted =
        is_known ? slowdown : accepted_slowdown_over_time;
    return {
        slow_as_bad(route.target_, limit + accepted),
        slow_as_bad(baseline, limit)};
}

/// \param counts with slow answers as bad.
std::optional<std::string> find_slowness(
    const route_tally& counts,
    const role_tally& target_since_order,
    double quantile,
    const strictness& limits)
{
    constexpr double min_rate = 0.03;
    const baseline_rate baseline(
        counts.baseline_, rate_of(counts.baseline_.total_));
    const double rate = std::max(baseline.explained(counts.target_), min_rate);
    if (rate >= 1 || !is_fault(
                         counts.target_,
                         target_since_order,
                         rate,
                         limits.slowness_alpha_,
                         limits))
    {
        return std::nullopt;
    }
    constexpr double percent = 100;
    return of(failures(counts.target_.total_)) +
           " answers clearly above the baseline's latency of percentile " +
           std::to_string(std::lround(quantile * percent)) + ", baseline " +
           of(failures(counts.baseline_.total_));
}

/// Looks for slow answers on one route and on all together.
std::optional<std::string> find_slowness_in(
    const route_tallies& routes,
    const route_tallies& since_order,
    const role_tally& target_since_order,
    double quantile,
    const strictness& limits)
{
    route_tally all;
    for (const auto& [name, route] : routes)
    {
        const route_tally counts = slow_as_bad(
            route, since_order.at(name), quantile, limits.slowdown_);
        const auto fault =
            find_slowness(counts, target_since_order, quantile, limits);
        if (fault)
        {
            return *fault + on_route(name);
        }
        add(all.target_, counts.target_);
        add(all.baseline_, counts.baseline_);
    }
    const auto fault = find_slowness(all, target_since_order, quantile, limits);
    return fault ? std::optional(*fault + " on all routes") : std::nullopt;
}

/// Looks for failures on one route and on all together.
std::optional<std::string> find_failures_in(
    const route_tallies& routes,
    const route_tallies& since_order,
    const route_tally& all_since_order,
    const strictness& limits)
{
    for (const auto& [name, route] : routes)
    {
        const auto fault = find_failures(
            route,
            since_order.at(name).baseline_.total_,
            all_since_order.target_,
            limits);
        if (fault)
        {
            return *fault + on_route(name);
        }
    }
    const auto fault = find_failures(
        sum_of(routes),
        all_since_order.baseline_.total_,
        all_since_order.target_,
        limits);
    return fault ? std::optional(*fault + " on all routes") : std::nullopt;
}

/// Looks for a fault over one span of time.
std::optional<std::string> find_fault_in(
    const route_tallies& routes,
    const route_tallies& since_order,
    const strictness& limits)
{
    const route_tally all = sum_of(since_order);
    auto fault = find_failures_in(routes, since_order, all, limits);
    for (const double quantile : tested_quantiles)
    {
        if (!fault)
        {
            fault = find_slowness_in(
                routes, since_order, all.target_, quantile, limits);
        }
    }
    return fault;
}

/// \return the figures when the target has more bad answers than the baseline
/// explains by a number that always decides.
std::optional<std::string> find_excess(const route_tally& all)
{
    const proportion target = failures(all.target_.total_);
    const baseline_rate baseline(all.baseline_, rate_of(all.baseline_.total_));
    const double expected =
        baseline.explained(all.target_) * static_cast<double>(target.total_);
    const double excess = static_cast<double>(target.bad_) - expected -
                          excess_deviations * std::sqrt(expected);
    if (excess < decisive_bad_answers)
    {
        return std::nullopt;
    }
    return of(target) + " answers failed since the order, baseline " +
           of(failures(all.baseline_.total_));
}

/// \return the number of routes, at least one.
double count_of(const route_tallies& routes)
{
    return static_cast<double>(std::max<std::size_t>(routes.size(), 1));
}

std::int64_t answers(const role_tally& role)
{
    return role.total_.good_ + role.total_.bad_;
}

/// \return the good answers on a route that a target of this share must have
/// shown if it is as good as the baseline.
std::int64_t required(
    const route_tally& route, double share, std::int64_t enough)
{
    const double good = 1 - rate_of(route.baseline_.total_);
    const auto all =
        static_cast<double>(answers(route.target_) + answers(route.baseline_));
    return static_cast<std::int64_t>(
        good *
        std::min(static_cast<double>(enough), expected_part * share * all));
}

} // namespace

rollout_evaluator::rollout_evaluator(rollout_bounds bounds) : bounds_(bounds)
{
    for (const core::duration length : window_lengths)
    {
        windows_.push_back({length, {}});
    }
}

core::duration rollout_evaluator::min_deadline()
{
    return min_trial + min_switch_time;
}

core::duration rollout_evaluator::switch_at() const
{
    const core::duration part{std::clamp(
        bounds_.deadline_.ms_ / switch_parts,
        switch_time.ms_,
        max_switch_time.ms_)};
    return std::max(
        bounds_.deadline_ - part,
        std::min(min_trial, bounds_.deadline_ - min_switch_time));
}

core::duration rollout_evaluator::last_switch_at() const
{
    return bounds_.deadline_ - min_switch_time;
}

void rollout_evaluator::window::remember(
    const route_tallies& routes, core::time_point now)
{
    const core::duration spacing{length_.ms_ / snapshots_per_window};
    if (!snapshots_.empty() && now - snapshots_.back().at_ < spacing)
    {
        return;
    }
    snapshots_.push_back({now, routes});
    // The oldest one must not be younger than the window.
    while (snapshots_.size() > 1 && now - snapshots_[1].at_ >= length_)
    {
        snapshots_.pop_front();
    }
}

/// \return the counts of this span of time; nothing while it reaches back to
/// before the first snapshot.
std::optional<route_tallies> rollout_evaluator::window::recent(
    const route_tallies& routes, core::time_point now) const
{
    const auto after = std::upper_bound(
        snapshots_.begin(),
        snapshots_.end(),
        now - length_,
        [](core::time_point at, const snapshot& taken)
        {
            return at < taken.at_;
        });
    if (after == snapshots_.begin())
    {
        return std::nullopt;
    }
    const route_tallies& earlier = std::prev(after)->routes_;
    route_tallies recent = routes;
    for (auto& [name, route] : recent)
    {
        const auto before = earlier.find(name);
        if (before != earlier.end())
        {
            subtract(route.target_, before->second.target_);
            subtract(route.baseline_, before->second.baseline_);
        }
    }
    return recent;
}

std::optional<std::string> rollout_evaluator::find_fault(
    const route_tallies& routes,
    const std::vector<route_tallies>& recent,
    bool is_switching) const
{
    const core::duration phase =
        is_switching ? bounds_.deadline_ - switch_at() : switch_at();
    const double seconds =
        std::max(static_cast<double>(phase.ms_) / 1'000, 1.0);
    const double alpha =
        false_verdict_budget / (seconds * tests_per_second * count_of(routes));
    // While switching, the baseline's answers are older than the target's.
    const strictness limits{
        alpha,
        alpha,
        confirming_alpha,
        accepted_failure_rate,
        1,
        1,
        is_switching ? accepted_slowdown_over_time : accepted_slowdown};
    auto fault = find_excess(sum_of(routes));
    if (!fault)
    {
        fault = find_fault_in(routes, routes, limits);
    }
    for (auto span = recent.begin(); !fault && span != recent.end(); ++span)
    {
        fault = find_fault_in(*span, routes, limits);
    }
    return fault;
}

/// \return the reason why the target isn't known to be good; empty when it is.
std::string rollout_evaluator::missing_evidence(
    const route_tallies& routes, const std::vector<route_tallies>& recent) const
{
    const route_tally all = sum_of(routes);
    const tally& target = all.target_.total_;
    const std::int64_t needed =
        std::max(required(all, bounds_.share_, enough_in_all), least_in_all);
    if (target.good_ < needed)
    {
        return std::to_string(target.good_) + " good answers of the target, " +
               std::to_string(needed) + " needed";
    }
    if (target.latencies_.count() < std::min(needed, enough_warm))
    {
        return std::to_string(target.latencies_.count()) +
               " good answers of warm endpoints of the target";
    }
    // The second window is long enough for a slow service to have answered.
    const std::int64_t recent_good =
        recent.size() > 1 ? sum_of(recent[1]).target_.total_.good_
                          : target.good_;
    if (recent_good < std::min(needed, enough_recent))
    {
        return std::to_string(recent_good) +
               " good answers of the target in the last seconds";
    }
    for (const auto& [name, route] : routes)
    {
        const std::int64_t on_this =
            required(route, bounds_.share_, enough_on_route);
        if (route.target_.total_.good_ < on_this)
        {
            return std::to_string(route.target_.total_.good_) +
                   " good answers of the target, " + std::to_string(on_this) +
                   " needed," + on_route(name);
        }
    }
    return {};
}

/// \return the reason not to switch though no fault is certain; empty if there
/// is none.
std::string rollout_evaluator::find_doubt(
    const route_tallies& routes, const std::vector<route_tallies>& recent) const
{
    const strictness limits{
        failure_doubt / count_of(routes),
        slowness_doubt / count_of(routes),
        doubt_confirming_alpha,
        unsuspicious_failure_rate,
        enough_other_endpoints,
        enough_other_groups,
        accepted_slowdown};
    auto doubt = find_fault_in(routes, routes, limits);
    for (auto span = recent.begin(); !doubt && span != recent.end(); ++span)
    {
        doubt = find_fault_in(*span, routes, limits);
    }
    return doubt.value_or("");
}

/// Decides once the trial has lasted until switch_at() without a fault.
rollout_decision rollout_evaluator::conclude(
    const route_tallies& routes,
    const std::vector<route_tallies>& recent,
    core::duration elapsed) const
{
    const bool is_late = elapsed >= last_switch_at();
    std::string obstacle = missing_evidence(routes, recent);
    if (obstacle.empty())
    {
        obstacle = find_doubt(routes, recent);
    }
    if (!obstacle.empty())
    {
        return is_late
                   ? rollout_decision{rollout_verdict::roll_back, "not enough evidence: " + obstacle}
                   : rollout_decision{rollout_verdict::keep_trying, obstacle};
    }
    if (elapsed >= last_switch_at() + decision_delay)
    {
        return {
            rollout_verdict::roll_back,
            "the switch cannot end before the deadline"};
    }
    return {
        rollout_verdict::switch_over,
        of(failures(sum_of(routes).target_.total_)) +
            " answers of the target failed"};
}

double rollout_evaluator::trial_share(double requests_per_second) const
{
    constexpr double ms_per_second = 1'000;
    constexpr double part_for_trial = 0.45;
    const double requests = requests_per_second *
                            static_cast<double>(switch_at().ms_) /
                            ms_per_second;
    if (requests <= 0)
    {
        return 1;
    }
    return std::min(
        part_for_trial *
            (bounds_.share_ + static_cast<double>(bounds_.slack_) / requests),
        1.0);
}

double rollout_evaluator::switch_share(
    core::duration switched_at, core::duration elapsed) const
{
    const core::duration ramp{std::min(
        (bounds_.deadline_ - switched_at).ms_ / 2, max_switch_ramp.ms_)};
    if (elapsed - switched_at >= ramp)
    {
        return 1;
    }
    const double part = static_cast<double>((elapsed - switched_at).ms_) /
                        static_cast<double>(ramp.ms_);
    // Slow at first, when a version that fails under load is found.
    return std::max(part * part, bounds_.share_);
}

rollout_decision rollout_evaluator::evaluate(
    std::span<const rollout_observation> cells,
    core::duration elapsed,
    bool is_switching,
    core::time_point now)
{
    const route_tallies routes = tally_cells(cells);
    std::vector<route_tallies> recent;
    for (window& span : windows_)
    {
        auto counts = span.recent(routes, now);
        span.remember(routes, now);
        if (counts)
        {
            recent.push_back(std::move(*counts));
        }
    }
    if (elapsed >= bounds_.deadline_)
    {
        return {rollout_verdict::roll_back, "the deadline has passed"};
    }
    if (const auto fault = find_fault(routes, recent, is_switching))
    {
        return {rollout_verdict::roll_back, *fault};
    }
    if (is_switching)
    {
        return {rollout_verdict::keep_trying, "switching, no fault found"};
    }
    if (elapsed < switch_at())
    {
        return {rollout_verdict::keep_trying, "on trial, no fault found"};
    }
    return conclude(routes, recent, elapsed);
}

} // namespace poplarroute::policy
