#include "policy/stream_times.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr core::duration sample_validity{60'000};
constexpr std::size_t max_samples = 512;
constexpr std::size_t min_samples = 20;

/// Margin over the slowest recent stream.
constexpr double safety_factor = 2;

} // namespace

void stream_times::expire(core::time_point now)
{
    while (!samples_.empty() &&
           (samples_.size() > max_samples ||
            now - samples_.front().ended_at_ > sample_validity))
    {
        samples_.pop_front();
    }
}

void stream_times::record(
    core::duration first_event,
    core::duration rest,
    std::int64_t tokens,
    core::time_point now)
{
    samples_.push_back(
        {now, first_event, rest, std::max<std::int64_t>(tokens, 1)});
    expire(now);
}

std::optional<core::duration> stream_times::longest(
    std::int64_t tokens, core::time_point now)
{
    expire(now);
    if (samples_.size() < min_samples)
    {
        return std::nullopt;
    }
    core::duration first_event;
    double ms_per_token = 0;
    for (const sample& item : samples_)
    {
        first_event = std::max(first_event, item.first_event_);
        ms_per_token = std::max(
            ms_per_token,
            static_cast<double>(item.rest_.ms_) /
                static_cast<double>(item.tokens_));
    }
    const double rest_ms =
        ms_per_token * static_cast<double>(std::max<std::int64_t>(tokens, 1));
    return core::duration{static_cast<std::int64_t>(
        safety_factor * (static_cast<double>(first_event.ms_) + rest_ms))};
}

} // namespace poplarroute::policy
