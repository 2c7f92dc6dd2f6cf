#pragma once

#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// How far ahead each prefill engine's time is taken.
///
/// Engines work on interactive prompts first, so those wait only for their
/// like, while batch prompts wait for all.
class prefill_timeline
{
public:
    /// \return how long a prompt that arrives now waits for its turn.
    core::duration backlog(
        const core::endpoint_id& endpoint,
        bool interactive,
        core::time_point now) const;

    /// Takes time for a prompt.
    /// \param span computing time.
    void add(
        const core::endpoint_id& endpoint,
        bool interactive,
        core::duration span,
        core::time_point now);

private:
    std::map<core::endpoint_id, core::time_point> interactive_until_;
    std::map<core::endpoint_id, core::time_point> busy_until_;
};

} // namespace poplarroute::policy
