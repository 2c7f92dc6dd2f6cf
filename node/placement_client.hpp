#pragma once

#include <optional>

#include "node/catalog_watcher.hpp"
#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/placement_controller.hpp"

namespace poplarroute::node
{

/// Requests placements of streams from the group's leader, or from this host's
/// own desk when no leader is reachable.
class placement_link
{
public:
    placement_link(context& with, stream_desk& own);

    /// Also charges the stream's account, when the request names a price.
    awaitable<place_reply> place(want_message want);

    /// Says that a place is free, and how its stream went.
    void end(end_message ending);

    /// Says what happened at an engine.
    void note(note_message what);

private:
    awaitable<std::optional<place_reply>> ask_leader(
        core::host_id leader, want_message want);
    awaitable<place_reply> place_alone(want_message want);
    awaitable<void> until_leader_changes(core::host_id leader);
    awaitable<void> tell_end(core::host_id leader, end_message ending);
    awaitable<void> tell_note(core::host_id leader, note_message what);

    context& with_;
    stream_desk& own_;
};

} // namespace poplarroute::node
