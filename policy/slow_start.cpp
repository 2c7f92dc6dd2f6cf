#include "policy/slow_start.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr core::duration widen_every{700};
constexpr std::int64_t growth_divisor = 4;

} // namespace

ramp::ramp(std::int64_t full, core::time_point now)
    : full_(full), widened_at_(now)
{
}

void ramp::close(core::time_point now)
{
    window_ = 1;
    widened_at_ = now;
}

void ramp::completed(core::time_point now)
{
    if (warm() || now - widened_at_ < widen_every)
    {
        return;
    }
    const std::int64_t step =
        std::max<std::int64_t>(window_ / growth_divisor, 1);
    window_ = std::min(window_ + step, full_);
    widened_at_ = now;
}

void ramp::bears(std::int64_t running)
{
    window_ = std::clamp(running, window_, full_);
}

void ramp::set_full(std::int64_t full)
{
    full_ = full;
    window_ = std::min(window_, full_);
}

} // namespace poplarroute::policy
