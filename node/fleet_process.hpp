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

/// Reads the settings again after a change; nothing when they are unreadable.
using settings_source = std::function<std::optional<fleet_settings>()>;

/// Makes the handler of operators' calls for a group member.
using operator_api = std::function<drivers::http_handler(catalog_keeper&)>;

/// A process of a fleet that the platform places: an entry host, or a member
/// of the group that keeps the catalog. Every controller is wired here.
class fleet_process
{
public:
    /// \param settings a client address makes it an entry host, a data folder
    /// a group member.
    fleet_process(
        fleet_settings settings,
        settings_source reload,
        std::unique_ptr<wire_dialect> dialect,
        operator_api operators);
    ~fleet_process();
    fleet_process(const fleet_process&) = delete;
    fleet_process& operator=(const fleet_process&) = delete;

    /// Opens ports and the data folder.
    /// \return what could not be opened.
    core::result<core::done> open();

    /// Serves until a signal has ended it gracefully.
    /// \return the process's exit status.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace poplarroute::node
