#pragma once

#include "node/context.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Probes other hosts and keeps the membership section up to date.
class membership_controller
{
public:
    /// \param local_replica this host's member of the control group; null on a
    /// host without a disk.
    membership_controller(context& with, replica* local_replica);

    void start();

    /// Called with a host that has a newer version of the directory.
    std::function<void(core::host_id)> on_newer_directory_;

    /// Called for each host whose process is gone.
    std::function<void(const control::membership_update&)> on_host_gone_;

private:
    awaitable<void> run();
    awaitable<void> send_probe(core::host_id host);
    void update_hosts();
    void handle_probe(const control::probe& received);
    control::probe make_probe(const core::host_id& to);
    void report_gone_hosts();

    context& with_;
    replica* local_replica_;
};

} // namespace poplarroute::node
