#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/codec.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

namespace method
{

/// From a host to the leader: asks for hosts that reach a service.
inline constexpr const char* relay_hosts = "relay.hosts";

} // namespace method

/// Asks for hosts that reach a service's endpoints.
struct relay_hosts_request
{
    core::host_id host_; ///< The one that asks.
    core::zone_id zone_;
    core::service_id service_;
};

/// Relay addresses ("ip:port") of such hosts, those to prefer first.
struct relay_hosts_reply
{
    std::vector<std::string> addresses_;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    relay_hosts_request, host_, zone_, service_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(relay_hosts_reply, addresses_)

/// Headers of a request that one host hands to another, and of its response.
/// The receiving host removes them.
namespace relay_header
{

inline constexpr const char* from = "X-Relay-From";
/// Time since the caller's request arrived, ms.
inline constexpr const char* waited = "X-Relay-Waited-Ms";
/// Whether the account has been charged: "1" or "0".
inline constexpr const char* charged = "X-Relay-Charged";
/// Number of times that an endpoint was given the request.
inline constexpr const char* sends = "X-Relay-Sends";
/// How it ended at the other host; see ingress_result::outcome_.
inline constexpr const char* outcome = "X-Relay-Outcome";

/// What the names of all of them begin with.
inline constexpr const char* prefix = "x-relay-";

} // namespace relay_header

/// \return whether a header is one of these.
bool is_relay_header(std::string_view name);

/// Outcome of a request that the other host could not pass on either; it has
/// not run.
inline constexpr const char* relay_declined = "relay_declined";

} // namespace poplarroute::node
