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

/// What may be done again with a call.
enum class call_kind
{
    idempotent, ///< It may run any number of times.
    once,       ///< An attempt of a caller runs at most once.
    stream,     ///< As once, unless the route is resumable.
};

/// A service that a route leads to, and its part of the calls.
struct route_target
{
    core::service_id service_;
    std::int64_t weight_ = 1;
};

/// Calls to one virtual host below one path prefix.
struct catalog_route
{
    std::string name_;
    std::string virtual_host_;
    std::string prefix_; ///< Begins and ends with a slash.
    call_kind kind_ = call_kind::once;
    core::duration time_limit_;
    core::duration latency_objective_;
    core::duration longest_pause_; ///< Between events; 0 when not stated.
    int priority_ = 0;             ///< 0 is first.
    std::vector<route_target> targets_;
    std::int64_t most_endpoints_ = 1; ///< That one attempt may be sent to.
    bool open_ = false;               ///< Callers need no key.
    bool resumable_ = false;
};

/// What the engines of a service can do.
struct engine_shape
{
    std::int64_t slots_ = 1;
    std::int64_t memory_tokens_ = 0;
    std::int64_t tokens_per_event_ = 1;
    core::duration stage_change_time_; ///< Between reading and decoding.
};

struct catalog_service
{
    core::service_id name_;
    std::int64_t cold_calls_per_second_ = 0; ///< 0: not bounded.
    std::optional<engine_shape> engine_;     ///< Nothing for plain services.
};

/// What callers may send.
struct caller_limits
{
    std::int64_t header_bytes_ = 16'384;
    std::int64_t body_bytes_ = 4'194'304;
    core::duration header_time_{3'000};
    core::duration idle_time_{15'000};
};

/// A client account, its keys and its limit across all hosts.
struct catalog_account
{
    core::account_id name_;
    std::vector<std::string> keys_;
    std::optional<int> priority_;   ///< Goes before the route's.
    bool counts_tokens_ = false;    ///< The limit is in tokens, not requests.
    std::int64_t plain_tokens_ = 0; ///< Price of a call without token counts.
    std::int64_t rate_ = 0;         ///< A second; 0: no limit.
    std::int64_t burst_ = 0;
};

/// One version of the whole configuration: routes, services, limits, accounts.
struct catalog
{
    std::uint64_t version_ = 0;
    std::vector<catalog_route> routes_;
    std::map<core::service_id, catalog_service> services_;
    caller_limits limits_;
    std::vector<catalog_account> accounts_;
};

/// Checks what the fields of a catalog must have in common.
/// \param findings receives each contradiction, with its route or account.
void check(const catalog& whole, core::finding_list& findings);

/// A catalog in force, with indexes for the path of a request.
class catalog_view
{
public:
    explicit catalog_view(catalog whole);

    const catalog& whole() const
    {
        return whole_;
    }

    /// \return the route of the virtual host with the longest prefix that
    /// begins the path, or nothing.
    const catalog_route* find_route(
        std::string_view virtual_host, std::string_view path) const;

    /// \return the account that holds a key, or nothing.
    const catalog_account* account_of(const std::string& key) const;

    const catalog_account* find_account(const core::account_id& name) const;

    const catalog_service* find_service(const core::service_id& name) const;

private:
    catalog whole_;
    std::unordered_map<std::string, std::size_t> routes_; ///< By host, prefix.
    std::unordered_map<std::string, std::size_t> keys_;
    std::unordered_map<std::string, std::size_t> accounts_;
};

} // namespace poplarroute::control
