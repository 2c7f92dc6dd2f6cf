#pragma once

#include <map>
#include <set>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "policy/endpoint_reach.hpp"

namespace poplarroute::node
{

/// Which endpoints this host reaches, by service. Written by endpoint_client
/// and reach_monitor.
struct reach_section
{
    std::map<core::service_id, policy::endpoint_reach> services_;
    std::set<core::service_id> lost_; ///< Services without a path.
    std::string relay_address_; ///< Where other hosts hand requests to this.
};

/// \return the usable endpoints of a service.
std::set<core::endpoint_id> usable_endpoints(
    core::blackboard& board,
    const core::service_id& service,
    core::time_point now);

/// Probes endpoints after connections have failed, and notes the services that
/// this host has lost.
class reach_monitor
{
public:
    explicit reach_monitor(context& with) : with_(with) {}

    void start();

private:
    awaitable<void> run();
    awaitable<void> probe(core::service_id service, core::endpoint_id name);
    void update(const core::service_id& service, core::time_point now);

    context& with_;
};

} // namespace poplarroute::node
