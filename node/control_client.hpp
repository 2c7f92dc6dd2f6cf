#pragma once

#include <string>

#include "control/commands.hpp"
#include "node/context.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Submits commands to the control group's leader, from any host.
class control_client
{
public:
    /// \param local_replica this host's member of the control group; null on a
    /// host without a disk.
    control_client(context& with, replica* local_replica);

    /// Registers the calls by which hosts and operators submit commands.
    void start();

    /// Submits a command and waits until it is committed.
    /// \param command sent again unchanged in retries after a lost reply; its
    /// command id or attempt id makes it idempotent.
    /// \param timeout maximum time for the command and its retries together.
    /// \return its reply; an error when no leader answered in time, and then
    /// it is unknown whether the command is committed.
    awaitable<core::result<control::command_reply>> submit(
        control::command command, core::duration timeout);

private:
    awaitable<core::result<control::command_reply>> submit_to(
        core::host_id host, std::string bytes, core::duration timeout);
    core::host_id next_candidate(std::size_t attempt) const;

    context& with_;
    replica* local_replica_;
    core::host_id leader_;
};

/// \return the origin of a new command: its sender, a random id and the time.
control::command_origin make_command_origin(const std::string& sender);

} // namespace poplarroute::node
