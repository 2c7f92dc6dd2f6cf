#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/finding.hpp"
#include "core/ids.hpp"

namespace poplarroute::control
{

/// Kind of endpoints that a service has.
enum class service_kind
{
    model, ///< Engines that prefill and decode.
    plain, ///< Endpoints that answer a call with one complete response.
};

/// Work that an engine does.
enum class engine_role
{
    prefill,
    decode,
    both,
};

struct zone_settings
{
    core::zone_id name_;
    std::string region_;
};

struct host_settings
{
    core::host_id name_;
    core::zone_id zone_;
    std::string peer_; ///< "ip:port" for peers and operators.
};

/// Limits of a client account.
struct account_settings
{
    core::account_id name_;
    std::int64_t rate_ = 0;        ///< Tokens per second across all hosts.
    std::int64_t burst_ = 0;       ///< Most tokens at once across all hosts.
    std::int64_t weight_ = 1;      ///< Weight in the fair queue.
    core::duration cut_off_limit_; ///< How long an isolated host serves it.
};

/// Latency targets for the answers of a service.
struct latency_target
{
    core::duration first_token_;
    core::duration between_tokens_;
};

/// Service, and the latency and costs of its calls.
struct service_settings
{
    core::service_id name_;
    service_kind kind_ = service_kind::model;
    std::string model_;
    std::int64_t tokens_per_piece_ = 0; ///< Size of a KV cache block (piece).
    latency_target interactive_;
    latency_target batch_;

    /// Tokens charged for a call to a plain service.
    std::int64_t call_cost_ = 0;
};

/// Endpoint of a service.
struct endpoint_settings
{
    core::endpoint_id name_;
    core::service_id service_;
    core::zone_id zone_;
    std::string address_;
    engine_role role_ = engine_role::both;
    std::int64_t capacity_ = 0; ///< KV cache blocks of an engine, or concurrent
                                ///< calls of a plain endpoint.
    std::int64_t requests_ = 0; ///< Concurrent requests of an engine.
    bool checks_fence_ = true;  ///< Whether it refuses old fencing numbers.
};

/// Route from an HTTP method and path to a service.
struct route_settings
{
    std::string name_;
    std::string method_;
    std::string path_;
    core::service_id service_;
    bool idempotent_ = true;
    bool open_ = false;                      ///< Whether callers need no key.
    bool interactive_ = true;                ///< Interactive calls, or batch.
    std::vector<core::account_id> accounts_; ///< That may call; empty: all.
};

/// Configuration of the whole fleet of hosts.
struct configuration
{
    std::string organisation_;
    std::map<core::zone_id, zone_settings> zones_;
    std::map<core::host_id, host_settings> hosts_;
    std::map<core::account_id, account_settings> accounts_;
    std::map<core::service_id, service_settings> services_;
    std::map<core::endpoint_id, endpoint_settings> endpoints_;
    std::vector<route_settings> routes_;
    core::duration claim_retention_; ///< How long claims are kept.
    core::duration quarantine_; ///< How long a request that crashed endpoints
                                ///< is refused.
};

/// Parses and checks a configuration.
/// \param file the file name to show in findings.
/// \param text the configuration in INI format.
/// \param findings receives every error.
/// \return the valid parts; not usable if there are findings.
configuration parse_configuration(
    std::string_view file, std::string_view text, core::finding_list& findings);

/// \return the role's name in settings: prefill, decode or both.
std::string_view name_of(engine_role role);

} // namespace poplarroute::control
