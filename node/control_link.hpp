#pragma once

#include <string>

#include "control/commands.hpp"
#include "node/context.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// The way of a command to the control group's leader, from any host.
class control_link
{
public:
    /// \param own this host's member; nothing on a host without a disk.
    control_link(context& with, replica* own);

    /// Registers the calls that pass commands on.
    void start();

    /// Has a command committed.
    /// \param order sent again as it is after a lost answer, which its
    /// command id or attempt makes idempotent.
    /// \param most how long to try.
    /// \return its reply; an error when no leader answered in time, and then
    /// it is unknown whether the command is committed.
    awaitable<core::result<control::command_reply>> submit(
        control::command order, core::duration most);

private:
    awaitable<core::result<control::command_reply>> submit_to(
        core::host_id host, std::string bytes, core::duration most);
    core::host_id next_candidate(std::size_t attempt) const;

    context& with_;
    replica* own_;
    core::host_id leader_;
};

/// Fills in who sends a command, and an id of its own.
control::command_origin new_origin(const std::string& sender);

} // namespace poplarroute::node
