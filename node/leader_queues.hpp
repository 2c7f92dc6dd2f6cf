#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "core/result.hpp"
#include "node/context.hpp"
#include "policy/call_bounds.hpp"

namespace poplarroute::node
{

/// Holds hosts' watches at a group member until there is something to tell, and
/// drops calls of hosts beyond the bounds that the settings state.
class leader_queues
{
public:
    explicit leader_queues(context& with);

    /// \return an error of kind overloaded if a call is to be dropped.
    std::optional<core::error> check(policy::call_kind kind);

    /// \return an error of kind overloaded if a host's watch is to be dropped.
    std::optional<core::error> check_watch(const core::host_id& host);

    /// Holds a host's watch until wake_watches() or a point in time.
    /// \return false when a newer watch of the same host ends this one.
    awaitable<bool> hold_watch(core::host_id host, core::time_point until);

    void wake_watches();

private:
    struct held_watch
    {
        explicit held_watch(drivers::asio::io_context& io) : timer_(io) {}

        drivers::asio::steady_timer timer_;
        bool is_superseded_ = false;
    };

    core::error drop(policy::call_kind kind, const char* reason);

    context& with_;
    policy::call_bounds bounds_;
    std::map<core::host_id, std::shared_ptr<held_watch>> held_;
    std::array<std::int64_t, 3> dropped_{}; ///< By kind, since the last line.
    core::time_point logged_at_;
};

} // namespace poplarroute::node
