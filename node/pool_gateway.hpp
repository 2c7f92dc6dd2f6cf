#pragma once

#include <string>
#include <vector>

#include "node/context.hpp"
#include "node/pool_controller.hpp"

namespace poplarroute::node
{

/// A place that was given, and who gave it.
struct placed
{
    reserve_reply reply_;
    core::zone_id zone_;
    core::attempt_id attempt_;
};

/// Calls the owners of pools, whether they are this host or another.
class pool_gateway
{
public:
    pool_gateway(context& with, pool_controller& own);

    /// Asks this availability zone's owner for a place, and when it refuses,
    /// the other zones' owners in turn.
    /// \return the place, or the refusal that waits the shortest.
    awaitable<placed> reserve(reserve_request request, core::time_point due);

    /// Says that a prefill is done.
    /// \param wait how long the reply may take to confirm decode memory.
    awaitable<reserve_reply> prefilled(
        core::zone_id zone, prefilled_request request);

    /// Says that a prefill's result has been taken over. Does not wait.
    void transferred(core::zone_id zone, transferred_request request);

    /// Says how an attempt ended. Does not wait.
    void end(core::zone_id zone, end_request request);

    /// Renews the places that this host's callers use.
    awaitable<void> renew_all();

    /// \return zones that have endpoints of a service and are not out, this
    /// host's own first.
    std::vector<core::zone_id> zones_of(const core::service_id& service) const;

private:
    awaitable<reserve_reply> reserve_in(
        core::zone_id zone, reserve_request request);
    awaitable<void> send_transferred(
        std::string address, transferred_request request);
    awaitable<void> send_end(core::zone_id zone, end_request request);

    context& with_;
    pool_controller& own_;
};

} // namespace poplarroute::node
