#pragma once

#include <memory>
#include <string>

#include "core/result.hpp"
#include "drivers/host_settings.hpp"

namespace poplarroute::node
{

/// Process of one host: creates all controllers and connects them.
class host_process
{
public:
    explicit host_process(drivers::host_settings_file settings);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    /// Opens ports and the data folder.
    /// \return an error that says what could not be opened.
    core::result<core::done> open();

    /// Serves until SIGTERM or SIGINT, then stops gracefully.
    /// \return the process's exit status.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace poplarroute::node
