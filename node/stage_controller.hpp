#pragma once

#include <map>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/replica.hpp"
#include "node/placement_controller.hpp"
#include "policy/stage_planner.hpp"

namespace poplarroute::node
{

/// Orders engines to change their stage, at the group's leader. The term of
/// its leadership is the fencing token, so that tokens rise with each holder.
class stage_controller
{
public:
    stage_controller(
        context& with,
        catalog_replica& group,
        const wire_dialect& dialect,
        stream_desk& desk);

    void start();

private:
    void begin_leading();
    awaitable<void> run();
    awaitable<void> tend(core::service_id service);
    awaitable<void> order(
        core::service_id service,
        policy::stage_change change,
        policy::stage_rates rates);
    awaitable<std::optional<engine_report>> ask_report(
        const known_endpoint& engine);
    awaitable<int> send(
        const known_endpoint& engine,
        policy::stage_change change,
        std::int64_t sequence);
    policy::stage_planner& planner_of(const core::service_id& service);

    context& with_;
    catalog_replica& group_;
    const wire_dialect& dialect_;
    stream_desk& desk_;
    std::map<core::service_id, policy::stage_planner> planners_;
    std::uint64_t term_ = 0; ///< Of the leadership that planners are for.
};

} // namespace poplarroute::node
