#pragma once

#include <functional>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/wire_codec.hpp"

namespace poplarroute::node
{

/// Polls the platform's list of endpoints and writes it to the blackboard.
class endpoint_list_poller
{
public:
    /// \param should_poll returns whether this process should read the list
    /// now.
    endpoint_list_poller(
        context& with,
        const wire_codec& codec,
        std::function<bool()> should_poll);

    void start();

private:
    awaitable<void> run();
    awaitable<bool> read_list();
    bool differs_from_known(const std::vector<listed_endpoint>& list) const;

    context& with_;
    const wire_codec& codec_;
    std::function<bool()> should_poll_;
    bool reachable_ = true;
    std::size_t unreadable_entries_ = 0; ///< In the list read last.
};

} // namespace poplarroute::node
