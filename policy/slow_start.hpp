#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// How many requests an endpoint may be given at once since it (re)started.
///
/// The window opens by one for each completion, and by one a second at most
/// while it is small, since a cold endpoint answers before it can bear more.
/// Source: slow start of V. Jacobson, "Congestion Avoidance and Control"
/// (1988), held back by time.
class ramp
{
public:
    /// \param full the window of an endpoint that is warm.
    ramp(std::int64_t full, core::time_point now);

    /// Closes the window: the endpoint has restarted or fell over.
    void close(core::time_point now);

    /// Widens the window after a completion.
    void completed(core::time_point now);

    /// Opens the window as far as the endpoint is seen to bear.
    void bears(std::int64_t running);

    void set_full(std::int64_t full);

    std::int64_t window() const
    {
        return window_;
    }

    bool warm() const
    {
        return window_ >= full_;
    }

private:
    std::int64_t full_;
    std::int64_t window_ = 1;
    core::time_point widened_at_;
};

} // namespace poplarroute::policy
