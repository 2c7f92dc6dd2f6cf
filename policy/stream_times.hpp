#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// How long the streams of a service have lasted lately, as a bound on how long
/// another one will.
///
/// Load: a host that stops refuses what is not certain to end in time. Most
/// streams end long before their time limit.
class stream_times
{
public:
    /// Records a complete stream.
    /// \param first_event from the request to the first event.
    /// \param rest from the first to the last event.
    /// \param tokens most output tokens that the request allowed.
    void record(
        core::duration first_event,
        core::duration rest,
        std::int64_t tokens,
        core::time_point now);

    /// \param tokens most output tokens of a request.
    /// \return a time within which such a stream ends, with a margin over the
    /// slowest recent one; nothing when too few are known.
    std::optional<core::duration> longest(
        std::int64_t tokens, core::time_point now);

private:
    struct sample
    {
        core::time_point ended_at_;
        core::duration first_event_;
        core::duration rest_;
        std::int64_t tokens_ = 1;
    };

    void expire(core::time_point now);

    std::deque<sample> samples_;
};

} // namespace poplarroute::policy
