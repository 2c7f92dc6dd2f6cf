#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "control/catalog.hpp"
#include "control/rollouts.hpp"
#include "core/clock.hpp"
#include "node/fleet_settings.hpp"
#include "node/wire_codec.hpp"
#include "policy/endpoint_limits.hpp"
#include "policy/endpoint_notices.hpp"
#include "policy/plain_balancer.hpp"
#include "policy/retry_allowance.hpp"
#include "policy/stream_scheduler.hpp"
#include "policy/token_bucket.hpp"
#include "policy/trial_endpoints.hpp"

namespace poplarroute::node
{

/// Settings of this process. Written when the settings are read.
struct settings_section
{
    fleet_settings settings_;
    std::string epoch_; ///< Random id of this run of the process.
};

/// The catalog in force at this process. Written by catalog_watcher at an entry
/// host and by catalog_controller at a group member.
struct catalog_section
{
    std::shared_ptr<const control::catalog_view> view_; ///< Null: none yet.
    std::uint64_t revision_ = 0;
    std::set<core::zone_id> zones_out_;
    std::vector<std::function<void()>> on_change_;
};

/// A listed endpoint. Until cold_until_ it takes a limited number of calls per
/// second.
struct known_endpoint
{
    listed_endpoint listed_;
    core::time_point cold_until_;
};

/// Age up to which hosts use the leader's endpoint list; then they read it
/// themselves.
inline constexpr core::duration max_list_age{2'500};

/// The platform's endpoint list. Written by endpoint_list_poller or
/// catalog_watcher.
struct endpoint_section
{
    std::map<core::endpoint_id, known_endpoint> endpoints_;
    std::string epoch_; ///< Epoch of the process that read it.
    std::uint64_t revision_ = 0;
    core::time_point read_at_; ///< 0: not read yet.
    std::vector<std::function<void()>> on_change_;

    /// What endpoints said of themselves. Written by endpoint_client, and by
    /// catalog_controller for what hosts report.
    policy::endpoint_notices notices_;

    /// The limits that endpoints named, and what this host may send to them.
    /// Written by limit_client, and by limit_controller and catalog_watcher for
    /// what others know.
    policy::endpoint_allowance limits_;
};

/// What an entry host knows of the group. Written by catalog_watcher.
struct group_section
{
    core::host_id leader_; ///< Peer address; empty: none is known.
    std::vector<core::host_id> members_;
    /// Number of live entry hosts; nothing before a member has told it. A host
    /// that does not know it must not use a share of what all hosts may do.
    std::optional<std::int64_t> hosts_;
    std::vector<std::function<void()>> on_hosts_change_;
    core::time_point leader_contact_at_; ///< Time of the leader's last reply.
    /// Digests of requests and keys of prompt parts that are refused.
    std::set<std::string> crashers_;
    /// Whether hosts report answered requests, since the leader suspects some,
    /// or parts of their prompts.
    bool suspects_parts_ = false;
    /// Digests of the requests whose answers the leader wants reported;
    /// nothing: of all.
    std::optional<std::set<std::string>> suspect_digests_;
};

/// \return whether requests may be sent to an endpoint: neither it nor its zone
/// is being taken out of service.
bool is_usable(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const listed_endpoint& item,
    core::time_point now);

/// \return the engines of each engine service, for the policies.
/// \param hosts number of hosts that share the capacity of a cold engine;
/// nothing when unknown.
/// \param now decides which engines are still cold.
std::map<core::service_id, std::vector<policy::engine_info>> engines_of(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    std::optional<std::int64_t> hosts,
    core::time_point now);

/// \return the endpoints of a plain service, for the policies.
/// \param hosts number of hosts that share the capacity of a cold endpoint;
/// nothing when unknown.
std::vector<policy::plain_endpoint> plain_endpoints_of(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const core::service_id& service,
    std::optional<std::int64_t> hosts,
    core::time_point now);

/// \return the endpoints of a roll-out's target that get the trial's requests
/// now.
/// \param share of the service's requests that the trial may take.
/// \param prefills whether to choose among prefill engines, else among all
/// others.
policy::trial_endpoints trial_endpoints_of(
    const control::rollout& item,
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    double share,
    bool prefills);

/// \return the accounts' limits, raised by the excess that the fleet allows.
std::map<core::account_id, policy::rate_limit> limits_of(
    const control::catalog& catalog, const fleet_bounds& bounds);

/// \return the bound on retries, for the policies.
policy::retry_bound retry_bound_of(const fleet_bounds& bounds);

/// \return an endpoint's entry as the notices of endpoints compare it.
policy::listed_state to_listed_state(const listed_endpoint& item);

/// Compares a list, as its source states it, with what endpoints have said.
void update_notices(
    endpoint_section& section,
    std::span<const listed_endpoint> list,
    core::time_point now);

/// Compares the list in force with what endpoints have said, after a change of
/// some of its entries.
void compare_notices(endpoint_section& section, core::time_point now);

/// Marks an endpoint as leaving that a host reports as such, until the list
/// shows it again as another or a restarted one.
/// \return whether it was not marked before.
bool mark_leaving(
    endpoint_section& section,
    const core::endpoint_id& name,
    core::time_point now);

/// Drops the limits of endpoints that are not listed any more.
void forget_unlisted_limits(endpoint_section& section);

/// \return when the first of a service's endpoints that turned this host away,
/// or whose limit leaves no room now, takes calls again; nothing if one takes
/// calls now, or none ever will.
std::optional<core::duration> time_until_return(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const core::service_id& service,
    core::time_point now);

/// Replaces the endpoint list.
/// \param read_at time at which it was read, on this host's clock.
void replace_endpoints(
    endpoint_section& section,
    std::span<const listed_endpoint> list,
    core::time_point read_at);

} // namespace poplarroute::node
