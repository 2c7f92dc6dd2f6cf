#pragma once

#include <string>
#include <vector>

#include "node/context.hpp"
#include "node/pool_controller.hpp"

namespace poplarroute::node
{

/// A placement or a refusal, with the zone of the pool that replied.
struct placement_result
{
    reserve_reply reply_;
    core::zone_id zone_;
    core::attempt_id attempt_;
};

/// Calls the owners of pools, which may be this host or another.
class pool_client
{
public:
    pool_client(context& with, pool_controller& local_pools);

    /// Requests a placement from the pool owner in this availability zone and,
    /// when it refuses, from the owners in the other zones in turn.
    /// \return the placement, or the refusal with the shortest retry delay.
    awaitable<placement_result> reserve(
        reserve_request request, core::time_point deadline);

    /// Reports that a prefill is finished and waits up to the request's
    /// wait_ms_ for the confirmation of the decode memory.
    awaitable<reserve_reply> report_prefilled(
        core::zone_id zone, prefilled_request request);

    /// Reports that the decode engine has received the prefill's KV cache. Does
    /// not wait.
    void report_transferred(core::zone_id zone, transferred_request request);

    /// Reports how an attempt ended. Does not wait.
    void report_end(core::zone_id zone, end_request request);

    /// Renews the placements that this host's callers use.
    awaitable<void> renew_placements();

    /// \return zones that have endpoints of a service and are not out of
    /// service; this host's own zone comes first.
    std::vector<core::zone_id> zones_of(const core::service_id& service) const;

private:
    awaitable<reserve_reply> reserve_in_zone(
        core::zone_id zone, reserve_request request);
    awaitable<void> send_transferred(
        std::string address, transferred_request request);
    awaitable<void> send_end(core::zone_id zone, end_request request);

    context& with_;
    pool_controller& local_pools_;
};

} // namespace poplarroute::node
