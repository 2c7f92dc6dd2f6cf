#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>

namespace poplarroute::core
{

/// A span of time in whole milliseconds.
struct duration
{
    std::int64_t ms_ = 0;

    friend auto operator<=>(const duration&, const duration&) = default;

    /// Converts to the type that the standard library and Asio timers take.
    std::chrono::milliseconds chrono() const
    {
        return std::chrono::milliseconds(ms_);
    }
};

/// A point on the monotonic clock of one host, in milliseconds. The clock also
/// counts the time for which the host is suspended.
///
/// Code without input or output takes the time as a parameter and never reads
/// a clock itself, so that a run can be repeated from its seed.
struct time_point
{
    std::int64_t ms_ = 0;

    friend auto operator<=>(const time_point&, const time_point&) = default;
};

inline time_point operator+(time_point point, duration span)
{
    return {point.ms_ + span.ms_};
}

inline time_point operator-(time_point point, duration span)
{
    return {point.ms_ - span.ms_};
}

inline duration operator-(time_point later, time_point earlier)
{
    return {later.ms_ - earlier.ms_};
}

inline duration operator+(duration left, duration right)
{
    return {left.ms_ + right.ms_};
}

inline duration operator-(duration left, duration right)
{
    return {left.ms_ - right.ms_};
}

inline duration operator*(duration span, std::int64_t factor)
{
    return {span.ms_ * factor};
}

/// Reads the monotonic clock of this host, which does not follow changes of
/// the wall clock. It counts suspended time, so that a lease or a deadline that
/// passed meanwhile has passed for this process, too.
/// \return milliseconds since an arbitrary start.
inline time_point steady_now()
{
    constexpr std::int64_t ms_per_second = 1'000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return {now.tv_sec * ms_per_second + now.tv_nsec / ns_per_ms};
}

/// Reads the wall clock, for records that people read and for retention
/// periods.
/// \return milliseconds since the Unix epoch.
inline std::int64_t wall_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace poplarroute::core
