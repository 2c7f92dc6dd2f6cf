#pragma once

#include <optional>

#include "core/clock.hpp"
#include "drivers/asio.hpp"

namespace poplarroute::node
{

/// Retry-After of a request that a stopping host does not take any more. Other
/// hosts take it at once.
inline constexpr core::duration stopping_retry_after{50};

/// The time at which a stopping process ends the requests that still run.
class stop_gate
{
public:
    explicit stop_gate(drivers::asio::io_context& io);

    /// Sets the time, once the process is asked to stop.
    void close_at(core::time_point time);

    /// \return whether a request that may last until a time is still taken. If
    /// not, it must be refused: it could be cut after it has run.
    bool admits_until(core::time_point deadline) const
    {
        return !time_ || deadline <= *time_;
    }

    /// Completes at that time.
    drivers::asio::awaitable<void> closed();

private:
    std::optional<core::time_point> time_;
    drivers::asio::steady_timer timer_;
};

} // namespace poplarroute::node
