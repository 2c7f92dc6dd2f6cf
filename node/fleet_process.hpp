#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core/result.hpp"
#include "drivers/http_server.hpp"
#include "node/catalog_controller.hpp"
#include "node/fleet_settings.hpp"
#include "node/wire_codec.hpp"

namespace poplarroute::node
{

/// Reads the settings again; returns nothing when they are unreadable.
using settings_loader = std::function<std::optional<fleet_settings>()>;

/// Creates the HTTP handler of operators' calls at a group member.
using operator_handler_factory =
    std::function<drivers::http_handler(catalog_controller&)>;

/// A process of a fleet that the platform deploys: an entry host, or a member
/// of the group that replicates the catalog. It creates and connects all
/// controllers.
class fleet_process
{
public:
    /// \param settings with a client address the process is an entry host, with
    /// a data folder it is a group member.
    fleet_process(
        fleet_settings settings,
        settings_loader load_settings,
        std::unique_ptr<wire_codec> codec,
        operator_handler_factory make_operator_handler);
    ~fleet_process();
    fleet_process(const fleet_process&) = delete;
    fleet_process& operator=(const fleet_process&) = delete;

    /// Opens ports and the data folder.
    /// \return an error when one of them could not be opened.
    core::result<core::done> open();

    /// Serves until a signal has stopped the process gracefully.
    /// \return the process's exit status.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace poplarroute::node
