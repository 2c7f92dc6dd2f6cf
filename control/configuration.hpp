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

/// What kind of back ends a service has.
enum class service_kind
{
    model, ///< Engines that prefill and decode.
    plain, ///< Endpoints that answer a call whole.
};

/// What an engine does now.
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

struct account_settings
{
    core::account_id name_;
    std::int64_t rate_ = 0;  ///< Tokens a second across the fleet.
    std::int64_t burst_ = 0; ///< Tokens at once across the fleet.
    std::int64_t weight_ = 1;
    core::duration cut_off_limit_; ///< How long a cut-off zone serves it.
};

/// Latency targets of a service's callers.
struct latency_target
{
    core::duration first_token_;
    core::duration between_tokens_;
};

struct service_settings
{
    core::service_id name_;
    service_kind kind_ = service_kind::model;
    std::string model_;
    std::int64_t tokens_per_piece_ = 0;
    latency_target interactive_;
    latency_target batch_;
    std::int64_t call_cost_ = 0; ///< Tokens charged for a call to a plain one.
};

struct endpoint_settings
{
    core::endpoint_id name_;
    core::service_id service_;
    core::zone_id zone_;
    std::string address_;
    engine_role role_ = engine_role::both;
    std::int64_t capacity_ = 0; ///< Pieces of an engine, else calls at once.
    std::int64_t requests_ = 0; ///< Requests an engine takes at once.
    bool checks_fence_ = true;  ///< Whether it refuses an old fencing number.
};

struct route_settings
{
    std::string name_;
    std::string method_;
    std::string path_;
    core::service_id service_;
    bool idempotent_ = true;
    bool open_ = false;
    bool interactive_ = true;
    std::vector<core::account_id> accounts_; ///< Empty: all accounts.
};

/// A whole configuration of the fleet, checked.
struct configuration
{
    std::string organisation_;
    std::map<core::zone_id, zone_settings> zones_;
    std::map<core::host_id, host_settings> hosts_;
    std::map<core::account_id, account_settings> accounts_;
    std::map<core::service_id, service_settings> services_;
    std::map<core::endpoint_id, endpoint_settings> endpoints_;
    std::vector<route_settings> routes_;
    core::duration claim_retention_;
    core::duration quarantine_;
};

/// Parses and checks a configuration.
/// \param file the name to give in findings.
/// \param text INI.
/// \param findings receives everything that is wrong.
/// \return what could be read; fit for use only without findings.
configuration parse_configuration(
    std::string_view file, std::string_view text, core::finding_list& findings);

/// \return the name used in settings: prefill, decode or both.
std::string_view name_of(engine_role role);

} // namespace poplarroute::control
