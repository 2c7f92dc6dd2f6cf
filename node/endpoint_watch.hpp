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

/// Asks the endpoints of owned pools for reports and cache events, and keeps
/// a connection to each that tells of a restart before any report does.
class endpoint_watch
{
public:
    endpoint_watch(context& with, pool_controller& pools);

    /// Asks a pool's endpoints once, and begins to watch new ones.
    void look_at(
        const core::service_id& service,
        std::span<const policy::endpoint_config> endpoints);

private:
    using name = std::pair<core::service_id, core::endpoint_id>;

    awaitable<void> poll(name of, std::string address);
    awaitable<void> read_events(name of, std::string address);
    awaitable<void> watch(name of, std::string address);

    context& with_;
    pool_controller& pools_;
    engine_adapter engines_;
    std::map<name, std::uint64_t> events_seen_;
    std::set<name> watched_;
};

} // namespace poplarroute::node
