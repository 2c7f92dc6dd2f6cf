#include "policy/slow_start.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr core::duration min_widening_interval{700};

/// The window grows by its size divided by this number, and by at least one.
constexpr std::int64_t growth_divisor = 4;

} // namespace

slow_start::slow_start(std::int64_t max_window, core::time_point now)
    : max_window_(max_window), widened_at_(now)
{
}

void slow_start::reset(core::time_point now)
{
    window_ = 1;
    widened_at_ = now;
}

void slow_start::on_completed(core::time_point now)
{
    if (warm() || now - widened_at_ < min_widening_interval)
    {
        return;
    }
    const std::int64_t step =
        std::max<std::int64_t>(window_ / growth_divisor, 1);
    window_ = std::min(window_ + step, max_window_);
    widened_at_ = now;
}

void slow_start::raise_to(std::int64_t running)
{
    window_ = std::clamp(running, window_, max_window_);
}

void slow_start::set_max_window(std::int64_t max_window)
{
    max_window_ = max_window;
    window_ = std::min(window_, max_window_);
}

} // namespace poplarroute::policy
