#pragma once

#include "node/context.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Probes other hosts and keeps the membership section.
class membership_controller
{
public:
    membership_controller(context& with, replica* own);

    void start();

    /// Called with the host to pull from when it has a newer directory.
    std::function<void(core::host_id)> on_newer_;

    /// Called with each host process that is gone.
    std::function<void(const control::membership_update&)> on_death_;

private:
    awaitable<void> run();
    awaitable<void> probe_one(core::host_id host);
    void take_hosts();
    void heard(const control::probe& from);
    control::probe make_probe(const core::host_id& to);
    void report_deaths();

    context& with_;
    replica* own_;
};

} // namespace poplarroute::node
