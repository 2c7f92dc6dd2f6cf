#pragma once

#include "node/context.hpp"
#include "node/control_link.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Reads the platform's list of live and leaving hosts and endpoints. Thin:
/// the list lags, so it is taken as a hint for endpoints and, past its lag,
/// as evidence for hosts.
class platform_watch
{
public:
    platform_watch(context& with, replica* own, control_link& link);

    /// Does nothing when the settings name no list.
    void start();

private:
    awaitable<void> run();
    awaitable<void> read_list();
    awaitable<void> retire_missing(std::set<core::host_id> listed);

    context& with_;
    replica* own_;
    control_link& link_;
    std::map<core::host_id, core::time_point> missing_since_;
};

} // namespace poplarroute::node
