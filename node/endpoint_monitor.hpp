#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "node/context.hpp"
#include "node/engine.hpp"
#include "policy/pool_types.hpp"

namespace poplarroute::node
{

class pool_controller;

/// Polls the endpoints of owned pools for reports and cache events, and keeps a
/// connection to each, whose end shows a restart before any report does.
class endpoint_monitor
{
public:
    endpoint_monitor(context& with, pool_controller& pools);

    /// Polls each endpoint of a pool once, and starts to watch the connections
    /// to new ones.
    void look_at(
        const core::service_id& service,
        std::span<const policy::endpoint_config> endpoints);

private:
    using endpoint_key = std::pair<core::service_id, core::endpoint_id>;

    awaitable<void> poll(endpoint_key key, std::string address);
    awaitable<void> read_events(endpoint_key key, std::string address);
    awaitable<void> watch_connection(endpoint_key key, std::string address);

    context& with_;
    pool_controller& pools_;
    engine_client engines_;
    std::map<endpoint_key, std::uint64_t> last_events_;
    std::set<endpoint_key> watched_;
};

} // namespace poplarroute::node
