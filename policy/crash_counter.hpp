#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Tells the crashes of one endpoint apart. An endpoint may start again under
/// its earlier id, and several reports may name the same crash.
///
/// A request that began to run after a crash was recorded ran on the endpoint's
/// next process, so that its crash is another one.
class crash_counter
{
public:
    /// Records a report of a crash.
    /// \param began_at when the request that reports it was sent to the
    /// endpoint.
    /// \return an id that reports of the same crash share, and no other.
    std::string record(
        const core::endpoint_id& endpoint,
        core::time_point began_at,
        core::time_point now);

    /// Removes endpoints that have not crashed for long.
    void expire(core::time_point now);

private:
    struct last_crash
    {
        std::uint64_t number_ = 0;
        core::time_point recorded_at_;
    };

    std::map<core::endpoint_id, last_crash> crashes_;
};

} // namespace poplarroute::policy
