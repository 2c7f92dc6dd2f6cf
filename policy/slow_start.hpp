#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Limit on the concurrent requests of an endpoint that has (re)started.
///
/// The window grows after a completed request, but at most once in 700 ms and
/// by one at a time while it is small, since a cold endpoint completes requests
/// before it can sustain more of them.
/// Source: slow start of V. Jacobson, "Congestion Avoidance and Control"
/// (1988), with a bound on the growth over time.
class slow_start
{
public:
    /// \param max_window the window of a warm endpoint.
    slow_start(std::int64_t max_window, core::time_point now);

    /// Resets the window to one request, after a restart or failure of the
    /// endpoint.
    void reset(core::time_point now);

    /// Widens the window after a completion.
    void on_completed(core::time_point now);

    /// Raises the window to a number of requests that the endpoint is known to
    /// run.
    void raise_to(std::int64_t running);

    /// Sets the window of a warm endpoint; reduces the present one if
    /// necessary.
    void set_max_window(std::int64_t max_window);

    /// \return the present limit on concurrent requests.
    std::int64_t window() const
    {
        return window_;
    }

    /// \return whether the window has reached its maximum.
    bool warm() const
    {
        return window_ >= max_window_;
    }

private:
    std::int64_t max_window_;
    std::int64_t window_ = 1;
    core::time_point widened_at_;
};

} // namespace poplarroute::policy
