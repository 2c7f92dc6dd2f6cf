#pragma once

#include <map>

#include "node/context.hpp"
#include "node/endpoint_client.hpp"
#include "node/fleet_sections.hpp"
#include "node/placement_controller.hpp"
#include "node/replica.hpp"
#include "policy/stage_planner.hpp"

namespace poplarroute::node
{

/// Orders engines to switch between prefill and decode; runs at the group's
/// leader. The Raft term is the fencing token, so that it rises with each
/// leader.
class stage_controller
{
public:
    stage_controller(
        context& with,
        catalog_replica& group,
        const wire_codec& codec,
        placement_controller& placements);

    void start();

private:
    void begin_leading();
    awaitable<void> run();
    awaitable<void> plan_service(core::service_id service);
    awaitable<void> order_change(
        core::service_id service,
        policy::stage_change change,
        policy::stage_rates rates);
    awaitable<std::optional<engine_report>> fetch_report(
        const known_endpoint& engine);
    awaitable<int> send_order(
        const known_endpoint& engine,
        policy::stage_change change,
        std::int64_t sequence,
        core::time_point send_before);
    policy::stage_planner& planner_of(const core::service_id& service);

    context& with_;
    catalog_replica& group_;
    const wire_codec& codec_;
    endpoint_client endpoints_;
    placement_controller& placements_;
    std::map<core::service_id, policy::stage_planner> planners_;
    std::uint64_t term_ = 0; ///< Term that the planners' state belongs to.
};

} // namespace poplarroute::node
