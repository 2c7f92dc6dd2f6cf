#pragma once

#include <map>
#include <memory>
#include <string>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/running_streams.hpp"
#include "policy/stage_planner.hpp"
#include "policy/stream_scheduler.hpp"

namespace poplarroute::node
{

/// Largest number of endpoints of a service whose speeds are shown as gauges;
/// further ones, in the order of their names, are left out.
inline constexpr std::size_t max_speed_gauges = 128;

/// Queues placement requests until a scheduler decides them, with one scheduler
/// for each service.
///
/// The group's leader has a controller for the whole fleet. An entry host has
/// one for its own streams, used when it reaches no leader.
class placement_controller
{
public:
    /// Which streams the controller places.
    enum class scope
    {
        fleet,    ///< Those of all hosts.
        own_host, ///< Those of this host; other hosts place theirs.
    };

    placement_controller(context& with, scope scope);

    void start();

    /// Updates the schedulers' engines from the catalog and the endpoint list.
    void refresh();

    /// Sets the engines of a service that are changing their stage.
    void set_changing_engines(
        const core::service_id& service, std::set<core::endpoint_id> engines);

    /// \return the throughput of a service's engines and the offered load;
    /// nothing until they are known.
    std::optional<policy::stage_rates> rates(
        const core::service_id& service, core::time_point now);

    /// Waits for the decision on a placement request.
    awaitable<placement_reply> place(placement_request request);

    /// Releases a stream's placement, or drops its queued request.
    void end_stream(const stream_end_message& ending);

    /// Passes an event at an engine to the scheduler of its service.
    void record_engine_event(const engine_event_message& event);

    /// Replaces a host's known placements by those that it reports.
    void reconcile(
        const core::host_id& host,
        const std::vector<placement_message>& placements);

    /// Sets the gauges of the engines' speeds.
    void set_metrics() const;

    /// Discards all placements, because another controller has decided
    /// meanwhile.
    void reset();

private:
    using pending_reply = std::shared_ptr<pending_value<placement_reply>>;

    awaitable<void> run();
    void decide_all();
    double share_cost(const placement_request& request) const;
    std::optional<std::int64_t> scheduling_hosts() const;
    void reconcile_local_placements();
    policy::stream_scheduler* find(const core::service_id& service);

    context& with_;
    const scope scope_;
    std::map<core::service_id, policy::stream_scheduler> schedulers_;
    std::map<core::service_id, std::set<core::endpoint_id>> changing_engines_;
    std::map<std::string, pending_reply> waiting_;
};

} // namespace poplarroute::node
