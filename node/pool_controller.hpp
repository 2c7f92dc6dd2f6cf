#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "node/context.hpp"
#include "node/endpoint_monitor.hpp"
#include "node/engine.hpp"
#include "node/messages.hpp"
#include "policy/pool_scheduler.hpp"

namespace poplarroute::node
{

/// Owns pools: runs their schedulers, polls their endpoints for reports, and
/// answers the placement requests of other hosts.
class pool_controller
{
public:
    explicit pool_controller(context& with);

    void start();

    /// Grants or refuses a placement, within the time that the request allows.
    awaitable<reserve_reply> reserve(reserve_request request);

    /// Waits until the decode memory of a prefilled request is available.
    awaitable<reserve_reply> wait_for_decode_memory(prefilled_request request);

    /// Records that the decode engine has received an attempt's KV cache.
    void record_transfer(const transferred_request& request);

    /// Ends an attempt, granted or waiting.
    void end_attempt(const end_request& request);

    /// Renews the placements that an entry host still uses.
    void renew(const renew_request& request);

    /// Takes over a pool from an owner that stops, with the placements that it
    /// has granted.
    void take_over(const renew_request& request);

    /// \return the scheduler of a pool that this host owns, otherwise null.
    policy::pool_scheduler* scheduler_of(const core::service_id& service);

    /// Executes a scheduler's actions.
    void perform(
        const core::service_id& service,
        const std::vector<policy::pool_action>& actions);

    /// Releases the placements of a host's process that has ended.
    void host_gone(const control::membership_update& dead_process);

    /// Hands every pool over to its next owner, at a graceful stop.
    awaitable<void> hand_over_all();

    /// \return the owner of a service's pool in a zone; empty if none.
    core::host_id owner_of(
        const core::zone_id& zone, const core::service_id& service) const;

    /// \return the state of the pools and endpoints as JSON, for operators.
    nlohmann::json status() const;

private:
    using waiter = std::shared_ptr<pending_value<reserve_reply>>;

    struct pool
    {
        std::unique_ptr<policy::pool_scheduler> scheduler_;

        /// Attempts that wait for a placement.
        std::map<core::attempt_id, waiter> waiting_;

        /// Prefilled attempts that wait for their decode memory.
        std::map<core::attempt_id, waiter> confirming_;
    };

    awaitable<void> run();
    void update_owned_pools();
    void detect_stall(core::time_point now);
    reserve_reply reply_for(
        const pool& owned_pool, const policy::grant& granted) const;
    std::string address_of_endpoint(const core::endpoint_id& name) const;
    std::vector<policy::endpoint_config> endpoints_of(
        const core::service_id& service) const;
    void set_metrics(
        const core::service_id& service, const pool& owned_pool) const;
    awaitable<void> cancel_orphan(policy::orphan orphaned);
    awaitable<void> hand_over(renew_request placements);
    bool was_handed_over(const core::service_id& service, core::time_point now);

    context& with_;
    endpoint_monitor monitor_;
    engine_client engines_;
    std::map<core::service_id, pool> pools_;
    std::map<core::service_id, core::time_point> handed_over_at_;
    core::time_point last_tick_;
};

/// \return a service's configured endpoints in a zone.
/// \param leaving endpoints that get no new work.
std::vector<policy::endpoint_config> configured_endpoints(
    const control::directory& fleet,
    const core::zone_id& zone,
    const core::service_id& service,
    const std::set<core::endpoint_id>& leaving);

} // namespace poplarroute::node
