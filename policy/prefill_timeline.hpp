#pragma once

#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Tracks until when each prefill engine is busy with assigned prompts.
///
/// Engines process interactive prompts first, so those wait only for other
/// interactive prompts, while batch prompts wait for all.
class prefill_timeline
{
public:
    /// \return how long a prompt that arrives now waits before its prefill
    /// starts.
    core::duration backlog(
        const core::endpoint_id& endpoint,
        bool interactive,
        core::time_point now) const;

    /// Assigns a prompt to an engine.
    /// \param compute_time expected duration of the prefill.
    void add(
        const core::endpoint_id& endpoint,
        bool interactive,
        core::duration compute_time,
        core::time_point now);

private:
    std::map<core::endpoint_id, core::time_point> interactive_until_;
    std::map<core::endpoint_id, core::time_point> busy_until_;
};

} // namespace poplarroute::policy
