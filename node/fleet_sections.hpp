#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "control/catalog.hpp"
#include "core/clock.hpp"
#include "node/fleet_settings.hpp"
#include "node/wire_codec.hpp"
#include "policy/plain_balancer.hpp"
#include "policy/resend_allowance.hpp"
#include "policy/stream_broker.hpp"
#include "policy/token_bucket.hpp"

namespace poplarroute::node
{

/// What this process was told. Written by whoever reads the settings.
struct settings_section
{
    fleet_settings settings_;
    std::string epoch_; ///< Differs at each start of the process.
};

/// The catalog in force here. Written by the feed, or by a group member.
struct catalog_section
{
    std::shared_ptr<const control::catalog_view> view_; ///< Null: none yet.
    std::uint64_t revision_ = 0;
    std::set<core::zone_id> zones_out_;
    std::vector<std::function<void()>> on_change_;
};

/// An endpoint on the list, with the time until which it is cold.
struct known_endpoint
{
    listed_endpoint listed_;
    core::time_point cold_until_;
};

/// The platform's list. Written by the list reader or the feed.
struct endpoint_section
{
    std::map<core::endpoint_id, known_endpoint> endpoints_;
    std::string epoch_; ///< Of the process that read it.
    std::uint64_t revision_ = 0;
    core::time_point read_at_; ///< 0: never.
    std::vector<std::function<void()>> on_change_;
};

/// Who leads and how many share. Written by the feed.
struct group_section
{
    core::host_id leader_; ///< A peer address; empty: none is known.
    std::vector<core::host_id> members_;
    std::int64_t hosts_ = 1; ///< Entry hosts that are alive.
    core::time_point heard_at_;
    std::set<std::string> crashers_; ///< Digests of requests to refuse.
};

/// \return the engines of each engine service, as policies know them.
/// \param hosts that share what a cold engine bears.
/// \param now for what is cold.
std::map<core::service_id, std::vector<policy::engine_facts>> engines_of(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    std::int64_t hosts,
    core::time_point now);

/// \return the endpoints of a plain service, as policies know them.
/// \param hosts that share what a cold endpoint bears.
std::vector<policy::plain_endpoint> plain_endpoints_of(
    const catalog_section& catalog,
    const endpoint_section& endpoints,
    const core::service_id& service,
    std::int64_t hosts,
    core::time_point now);

/// \return the accounts' limits with the excess that the fleet allows.
std::map<core::account_id, policy::rate_limit> limits_of(
    const control::catalog& catalog, const fleet_bounds& bounds);

/// \return the bound on second sends, as policies know it.
policy::resend_bound resend_bound_of(const fleet_bounds& bounds);

/// Replaces the list.
/// \param read_at when it was read, on this host's clock.
void take_list(
    endpoint_section& section,
    std::span<const listed_endpoint> list,
    core::time_point read_at);

} // namespace poplarroute::node
