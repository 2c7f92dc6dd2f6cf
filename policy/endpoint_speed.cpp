#include "policy/endpoint_speed.hpp"

#include <algorithm>
#include <cmath>

namespace poplarroute::policy
{

namespace
{

/// Time after which a duration counts half. A host that sends one call a second
/// to 35 endpoints sees each of them about every 30 s.
constexpr core::duration duration_half_life{20'000};

/// Time after which the difference of a reported pace from the mean counts
/// half. Periods of slow work last about 600 ms.
constexpr core::duration pace_half_life{300};

/// A report that is older shows nothing of the present pace.
constexpr core::duration pace_validity{1'000};

/// Time after which a report counts half in the mean pace: long compared to a
/// period of slow work.
constexpr core::duration mean_pace_half_life{10'000};

/// Number of reports that the usual pace counts as in the mean: a single report
/// may be from a slow period.
constexpr double usual_pace_weight = 3;

/// Number of durations that what is known of all endpoints counts as.
constexpr double common_weight = 2;

/// Standard deviation of single durations that is assumed at first, as a
/// fraction of the common time.
constexpr double assumed_deviation = 0.3;

/// A difference from the common time counts if it exceeds this many standard
/// errors, and this fraction of the common time.
constexpr double significant_errors = 3;
constexpr double significant_fraction = 0.05;

/// Bounds of a factor: a faulty report or clock must not exclude an endpoint,
/// nor attract all work to it.
constexpr double min_factor = 0.2;
constexpr double max_factor = 10;

constexpr double percent = 100;

/// Least pace, by which durations are divided.
constexpr double min_pace = 0.1;

double decay(core::duration age, core::duration half_life)
{
    return std::exp2(
        -static_cast<double>(std::max<std::int64_t>(age.ms_, 0)) /
        static_cast<double>(half_life.ms_));
}

} // namespace

double endpoint_speed::weight_at(core::time_point now) const
{
    return weight_ * decay(now - recorded_at_, duration_half_life);
}

void endpoint_speed::record(
    double ms_per_unit, core::time_point now, core::duration span)
{
    const double usual_ms =
        ms_per_unit / (span > pace_validity ? mean_pace(now) : pace(now));
    const double kept = decay(now - recorded_at_, duration_half_life);
    const double deviation = usual_ms - mean_ms_;
    weight_ = weight_ * kept + 1;
    mean_ms_ += deviation / weight_;
    squares_ = squares_ * kept + deviation * (usual_ms - mean_ms_);
    recorded_at_ = now;
}

void endpoint_speed::record_pace(
    std::int64_t reported_percent, core::time_point now)
{
    // Reports of several hosts may arrive out of order.
    if (pace_reported_at_ && now < *pace_reported_at_)
    {
        return;
    }
    last_pace_ =
        std::max(static_cast<double>(reported_percent) / percent, min_pace);
    const double kept =
        pace_reported_at_ ? decay(now - *pace_reported_at_, mean_pace_half_life)
                          : 0;
    pace_weight_ = pace_weight_ * kept + 1;
    mean_pace_ += (last_pace_ - mean_pace_) / pace_weight_;
    pace_reported_at_ = now;
}

bool endpoint_speed::is_pace_fresh(core::time_point now) const
{
    return pace_reported_at_ && now - *pace_reported_at_ <= pace_validity;
}

double endpoint_speed::mean_pace(core::time_point now) const
{
    if (!pace_reported_at_)
    {
        return 1;
    }
    const double trust = pace_weight_ / (pace_weight_ + usual_pace_weight) *
                         decay(now - *pace_reported_at_, duration_half_life);
    return 1 + (mean_pace_ - 1) * trust;
}

double endpoint_speed::pace(core::time_point now, core::duration span) const
{
    const double mean = mean_pace(now);
    if (!is_pace_fresh(now))
    {
        return mean;
    }
    const double at_once =
        (last_pace_ - mean) * decay(now - *pace_reported_at_, pace_half_life);
    if (span.ms_ <= 0)
    {
        return mean + at_once;
    }
    // The mean of the exponential decay over the span.
    const double half_lives =
        static_cast<double>(span.ms_) / static_cast<double>(pace_half_life.ms_);
    return mean +
           at_once * (1 - std::exp2(-half_lives)) / (half_lives * std::log(2));
}

std::optional<work_time> endpoint_speed::usual() const
{
    if (weight_ <= 0)
    {
        return std::nullopt;
    }
    return work_time{mean_ms_, std::sqrt(squares_) / weight_};
}

work_time endpoint_speed::expected(double common_ms, core::time_point now) const
{
    const double own_weight = weight_at(now);
    const double weight = own_weight + common_weight;
    const double aged =
        weight_ > 0 ? squares_ * own_weight / weight_ : squares_;
    const double assumed = assumed_deviation * common_ms;
    const double mean =
        common_ms + (mean_ms_ - common_ms) * (own_weight / weight);
    const double variance = (aged + common_weight * assumed * assumed) / weight;
    const double now_pace = pace(now);
    return {mean * now_pace, std::sqrt(variance / weight) * now_pace};
}

double endpoint_speed::factor(
    double common_ms, core::time_point now, core::duration span) const
{
    if (common_ms <= 0)
    {
        return 1;
    }
    const double now_pace = pace(now);
    const work_time own = expected(common_ms, now);
    const double lasting = own.ms_ / now_pace - common_ms;
    const double tolerance = std::max(
        significant_errors * own.error_ms_ / now_pace,
        significant_fraction * common_ms);
    const double lasting_factor =
        std::abs(lasting) > tolerance ? 1 + lasting / common_ms : 1;
    return std::clamp(lasting_factor * pace(now, span), min_factor, max_factor);
}

} // namespace poplarroute::policy
