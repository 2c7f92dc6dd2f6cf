#include "policy/call_bounds.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr double ms_per_second = 1'000;

/// The budget's maximum, in seconds of its rate.
constexpr double burst_seconds = 2;

/// Cost of a part of a document, in small calls: it has 32 KB.
constexpr double part_cost = 10;

/// Fractions of the maximum that are left to kinds that matter more.
constexpr double part_reserve = 0.5;
constexpr double settlement_reserve = 0.2;

double reserve_of(call_kind kind)
{
    switch (kind)
    {
    case call_kind::part:
        return part_reserve;
    case call_kind::settlement:
        return settlement_reserve;
    case call_kind::watch:
        break;
    }
    return 0;
}

} // namespace

void call_bounds::set_rate(std::int64_t rate)
{
    const auto value = static_cast<double>(rate);
    if (value == rate_)
    {
        return;
    }
    rate_ = value;
    level_ = rate_ * burst_seconds;
}

bool call_bounds::admit(call_kind kind, core::time_point now)
{
    const double burst = rate_ * burst_seconds;
    const auto elapsed = static_cast<double>((now - filled_at_).ms_);
    level_ = std::min(burst, level_ + elapsed * rate_ / ms_per_second);
    filled_at_ = now;
    const double cost = kind == call_kind::part ? part_cost : 1;
    const bool admitted =
        rate_ == 0 || level_ - cost >= burst * reserve_of(kind);
    if (admitted)
    {
        level_ -= cost;
    }
    return admitted;
}

const char* name_of(call_kind kind)
{
    switch (kind)
    {
    case call_kind::part:
        return "part";
    case call_kind::settlement:
        return "settlement";
    case call_kind::watch:
        break;
    }
    return "watch";
}

} // namespace poplarroute::policy
