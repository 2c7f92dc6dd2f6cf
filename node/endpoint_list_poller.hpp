#pragma once

#include <functional>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/wire_codec.hpp"

namespace poplarroute::node
{

/// Reads the platform's list of endpoints into the blackboard.
class list_reader
{
public:
    /// \param due whether this process should read the list now.
    list_reader(
        context& with, const wire_dialect& dialect, std::function<bool()> due);

    void start();

private:
    awaitable<void> run();
    awaitable<bool> read_all();
    bool differs(const std::vector<listed_endpoint>& list) const;

    context& with_;
    const wire_dialect& dialect_;
    std::function<bool()> due_;
    bool reachable_ = true;
};

} // namespace poplarroute::node
