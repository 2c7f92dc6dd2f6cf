#include "node/leader_notes.hpp"

#include <utility>

#include "node/fleet_sections.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration send_timeout{1'000};

awaitable<void> send_event(
    context& with, core::host_id leader, engine_event_message event)
{
    co_await ask<empty_reply>(
        with.peers_, leader, method::streams_note, event, send_timeout);
}

} // namespace

void send_to_leader(context& with, engine_event_message event)
{
    const core::host_id leader = with.board_.section<group_section>().leader_;
    if (leader.empty())
    {
        return;
    }
    event.host_ = with.identity().host_;
    drivers::spawn_task(
        with.io_, "send_event", send_event(with, leader, std::move(event)));
}

} // namespace poplarroute::node
