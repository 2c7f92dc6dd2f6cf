#include "policy/hedging.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// A call that takes longer than this quantile of the recent ones is slow.
constexpr double slow_quantile = 0.95;

constexpr std::size_t max_latencies = 256;
constexpr std::size_t min_latencies = 20;

/// Number of new latencies after which the quantile is computed again.
constexpr std::size_t quantile_update_interval = 8;

/// Ratio of the median to its usual value from which calls are taken to queue.
constexpr double max_median_ratio = 2;

/// Part of the difference by which the usual median follows a higher one at
/// each update: a service that has become slower for good gets extra runs again
/// after some thousand calls, a burst does not.
constexpr double usual_median_gain = 0.002;

/// Extra runs that may be saved up, so that a quiet time is not followed by
/// many at once.
constexpr double max_earned_runs = 10;

/// Shortest delay: below it, the wake-ups of the host decide.
constexpr core::duration min_delay{5};

} // namespace

const char* name_of(hedge_refusal reason)
{
    switch (reason)
    {
    case hedge_refusal::off:
        return "off";
    case hedge_refusal::unknown_latency:
        return "unknown_latency";
    case hedge_refusal::overload:
        return "overload";
    case hedge_refusal::no_room:
        return "no_room";
    case hedge_refusal::over_share:
        return "over_share";
    }
    return "unknown";
}

void hedging::set_share(double share)
{
    share_ = std::max(share, 0.0);
    earned_ = share_ > 0 ? earned_ : 0;
}

void hedging::record_call()
{
    earned_ = std::min(earned_ + share_, max_earned_runs);
}

void hedging::record_latency(core::duration latency)
{
    latencies_.push_back(latency);
    if (latencies_.size() > max_latencies)
    {
        latencies_.pop_front();
    }
    ++unsorted_latencies_;
    if (!delay_ || unsorted_latencies_ >= quantile_update_interval)
    {
        update_quantile();
    }
}

void hedging::update_quantile()
{
    if (latencies_.size() < min_latencies)
    {
        return;
    }
    unsorted_latencies_ = 0;
    std::vector<core::duration> sorted(latencies_.begin(), latencies_.end());
    std::sort(sorted.begin(), sorted.end());
    median_ = sorted[sorted.size() / 2];
    delay_ = std::max(
        sorted[static_cast<std::size_t>(
            slow_quantile * static_cast<double>(sorted.size() - 1))],
        min_delay);
    const auto median_ms =
        static_cast<double>(std::max(median_, min_delay).ms_);
    if (usual_median_ms_ == 0 || median_ms < usual_median_ms_)
    {
        usual_median_ms_ = median_ms;
    }
    usual_median_ms_ += usual_median_gain * (median_ms - usual_median_ms_);
}

std::optional<core::duration> hedging::delay() const
{
    return share_ > 0 ? delay_ : std::nullopt;
}

std::optional<hedge_refusal> hedging::take()
{
    if (share_ <= 0)
    {
        return hedge_refusal::off;
    }
    if (!delay_)
    {
        return hedge_refusal::unknown_latency;
    }
    if (static_cast<double>(median_.ms_) > usual_median_ms_ * max_median_ratio)
    {
        return hedge_refusal::overload;
    }
    if (earned_ < 1)
    {
        return hedge_refusal::over_share;
    }
    earned_ -= 1;
    return std::nullopt;
}

void hedging::give_back()
{
    earned_ = std::min(earned_ + 1, max_earned_runs);
}

} // namespace poplarroute::policy
