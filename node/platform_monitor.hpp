#pragma once

#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Polls the platform's list of live and leaving hosts and endpoints. The list
/// lags: it is taken as a hint for endpoints, and as evidence that a host is
/// gone once the host has been missing for longer than the lag.
class platform_monitor
{
public:
    /// \param local_replica this host's member of the control group; null on a
    /// host without a disk.
    platform_monitor(
        context& with, replica* local_replica, control_client& client);

    /// Does nothing when the settings name no list.
    void start();

private:
    awaitable<void> run();
    awaitable<void> read_list();
    awaitable<void> retire_missing(std::set<core::host_id> listed);

    context& with_;
    replica* local_replica_;
    control_client& control_client_;
    std::size_t unreadable_entries_ = 0; ///< In the list read last.
    std::map<core::host_id, core::time_point> missing_since_;
};

} // namespace poplarroute::node
