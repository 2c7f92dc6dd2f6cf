#pragma once

#include <optional>

#include "node/catalog_messages.hpp"
#include "node/catalog_watcher.hpp"
#include "node/context.hpp"
#include "node/placement_controller.hpp"
#include "node/rollout_client.hpp"

namespace poplarroute::node
{

/// Requests placements of streams from the group's leader, or from this host's
/// placement controller when no leader is reachable.
class placement_client
{
public:
    placement_client(
        context& with, placement_controller& local, rollout_client& rollouts);

    /// Requests a placement. Also charges the stream's account when the request
    /// contains a price.
    awaitable<placement_reply> place(placement_request request);

    /// Reports how a stream ended. This releases its placement.
    void end_stream(stream_end_message ending);

    /// Reports an event at an engine.
    void record_engine_event(engine_event_message event);

private:
    awaitable<std::optional<placement_reply>> ask_leader(
        core::host_id leader, placement_request request);
    awaitable<placement_reply> place_locally(placement_request request);
    awaitable<void> wait_for_leader_change(core::host_id leader);
    awaitable<void> send_stream_end(
        core::host_id leader, stream_end_message ending);

    context& with_;
    placement_controller& local_controller_;
    rollout_client& rollouts_;
};

} // namespace poplarroute::node
