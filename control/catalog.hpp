#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/finding.hpp"
#include "core/ids.hpp"

namespace poplarroute::control
{

/// Whether a call may be sent again after a failure.
enum class call_kind
{
    idempotent, ///< The call may run any number of times.
    once,       ///< Each attempt of a caller runs at most once.
    stream,     ///< Like once, unless the route is resumable.
};

/// Service that a route sends calls to, and its share of them.
struct route_target
{
    core::service_id service_;
    std::int64_t weight_ = 1; ///< Relative to the route's other targets.
};

/// Route for the calls to one virtual host below one path prefix.
struct catalog_route
{
    std::string name_;
    std::string virtual_host_;
    std::string prefix_; ///< Begins and ends with a slash.
    call_kind kind_ = call_kind::once;
    core::duration time_limit_;
    core::duration target_latency_;
    core::duration max_event_gap_; ///< Between two events; 0 when not stated.
    int priority_ = 0;             ///< 0 is the highest priority.
    std::vector<route_target> targets_;
    std::int64_t most_endpoints_ = 1; ///< That one attempt may be sent to.
    bool open_ = false;               ///< Whether callers need no key.
    bool resumable_ = false;          ///< Whether streams may be resumed.
};

/// Properties that all engines of a service share.
struct engine_properties
{
    std::int64_t slots_ = 1;         ///< Concurrent requests.
    std::int64_t memory_tokens_ = 0; ///< Tokens that fit into the KV cache.
    std::int64_t tokens_per_event_ = 1;
    core::duration stage_change_time_; ///< Between prefill and decode.
};

/// Service that calls are routed to.
struct catalog_service
{
    core::service_id name_;

    /// Calls that all hosts together may send to a cold endpoint; 0: unlimited.
    std::int64_t max_cold_calls_per_second_ = 0;

    std::optional<engine_properties> engine_; ///< Empty for plain services.
};

/// Limits on the requests and connections of callers, in bytes and time.
struct caller_limits
{
    std::int64_t header_bytes_ = 16'384;
    std::int64_t body_bytes_ = 4'194'304;
    core::duration request_header_timeout_{3'000};
    core::duration connection_idle_timeout_{15'000};
};

/// Client account with its keys and its rate limit across all hosts.
struct catalog_account
{
    core::account_id name_;
    std::vector<std::string> keys_;
    std::optional<int> priority_; ///< Overrides the route's priority.
    bool counts_tokens_ = false;  ///< Limits tokens instead of requests.

    /// Tokens charged for a call that states no token counts.
    std::int64_t default_call_tokens_ = 0;

    std::int64_t rate_ = 0; ///< Per second; 0: no limit.
    std::int64_t burst_ = 0;
};

/// One version of the platform's configuration: routes, services, limits and
/// accounts.
struct catalog
{
    std::uint64_t version_ = 0;
    std::vector<catalog_route> routes_;
    std::map<core::service_id, catalog_service> services_;
    caller_limits limits_;
    std::vector<catalog_account> accounts_;
};

/// Checks that the parts of a catalog are consistent with each other.
/// \param findings receives each inconsistency, with its route or account.
void check(const catalog& candidate, core::finding_list& findings);

/// Catalog with indexes for the lookups that each request needs.
class catalog_view
{
public:
    explicit catalog_view(catalog source);

    /// \return the whole catalog.
    const catalog& whole() const
    {
        return whole_;
    }

    /// \return the virtual host's route with the longest prefix that matches
    /// the path, or nullptr.
    const catalog_route* find_route(
        std::string_view virtual_host, std::string_view path) const;

    /// \return the account that a key belongs to, or nullptr.
    const catalog_account* account_of(const std::string& key) const;

    const catalog_account* find_account(const core::account_id& name) const;

    const catalog_service* find_service(const core::service_id& name) const;

private:
    catalog whole_;

    /// Positions in the catalog by virtual host and prefix, key, and name.
    std::unordered_map<std::string, std::size_t> routes_;
    std::unordered_map<std::string, std::size_t> keys_;
    std::unordered_map<std::string, std::size_t> accounts_;
};

} // namespace poplarroute::control
