#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "node/context.hpp"
#include "node/endpoint_watch.hpp"
#include "node/engine.hpp"
#include "node/messages.hpp"
#include "policy/pool_scheduler.hpp"

namespace poplarroute::node
{

/// Owns pools: runs their schedulers, asks their endpoints for reports, and
/// answers the hosts that want places.
class pool_controller
{
public:
    explicit pool_controller(context& with);

    void start();

    /// Gives or refuses a place; waits for it up to the request's due time.
    awaitable<reserve_reply> reserve(reserve_request request);

    /// Waits for the decode memory of a prefilled request.
    awaitable<reserve_reply> prefilled(prefilled_request request);

    void transferred(const transferred_request& request);
    void end(const end_request& request);
    void renew(const renew_request& request);

    /// Takes a pool over from an owner that stops, with the places it gave.
    void take_over(const renew_request& request);

    /// \return the scheduler of a pool that this host owns; nothing otherwise.
    policy::pool_scheduler* scheduler_of(const core::service_id& service);

    /// Carries a scheduler's actions out.
    void perform(
        const core::service_id& service,
        const std::vector<policy::pool_action>& actions);

    /// Frees what a host's process that is gone had been given.
    void host_gone(const control::membership_update& gone);

    /// Gives every pool to its next owner, at a graceful stop.
    awaitable<void> hand_over_all();

    /// \return the owner of a service's pool in a zone; empty if none.
    core::host_id owner_of(
        const core::zone_id& zone, const core::service_id& service) const;

    /// \return pools and endpoints as operators see them.
    nlohmann::json status() const;

private:
    using waiter = std::shared_ptr<awaited<reserve_reply>>;

    struct pool
    {
        std::unique_ptr<policy::pool_scheduler> scheduler_;
        std::map<core::attempt_id, waiter> waiting_;
        std::map<core::attempt_id, waiter> confirming_;
    };

    awaitable<void> run();
    void take_pools();
    void notice_stall(core::time_point now);
    reserve_reply reply_for(const pool& of, const policy::grant& given) const;
    std::string address_of_endpoint(const core::endpoint_id& name) const;
    std::vector<policy::endpoint_facts> endpoints_of(
        const core::service_id& service) const;
    void set_metrics(const core::service_id& service, const pool& of) const;
    awaitable<void> cancel_orphan(policy::orphan left);
    awaitable<void> hand_over(renew_request places);
    bool was_handed(const core::service_id& service, core::time_point now);

    context& with_;
    endpoint_watch watch_;
    engine_adapter engines_;
    std::map<core::service_id, pool> pools_;
    std::map<core::service_id, core::time_point> handed_to_us_;
    core::time_point last_tick_;
};

/// \return what the configuration says of a service's endpoints in a zone.
std::vector<policy::endpoint_facts> facts_of(
    const control::directory& fleet,
    const core::zone_id& zone,
    const core::service_id& service,
    const std::set<core::endpoint_id>& leaving);

} // namespace poplarroute::node
