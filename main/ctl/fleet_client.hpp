#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/commands.hpp"
#include "core/result.hpp"
#include "drivers/asio.hpp"
#include "drivers/peer_channel.hpp"

namespace poplarroute::main::ctl
{

/// Blocking client for calls from poplarctl to the hosts of a fleet.
class fleet_client
{
public:
    /// \param hosts peer addresses of hosts, in the order in which they are
    /// tried.
    /// \param tls an empty context for plain text on loopback.
    fleet_client(std::vector<std::string> hosts, drivers::tls_context tls);

    const std::vector<std::string>& hosts() const
    {
        return hosts_;
    }

    /// Calls one host.
    core::result<std::string> call(
        const std::string& address,
        const std::string& method,
        const std::string& body);

    /// Calls the hosts one after the other until one succeeds.
    /// \return the first successful answer, or else the error that says most.
    core::result<std::string> call_any(
        const std::string& method, const std::string& body);

    /// Calls all hosts concurrently.
    /// \return an answer or an error for each host, in the order of hosts().
    std::vector<core::result<std::string>> call_all(
        const std::string& method, const std::string& body);

    /// Submits a command to the control group. After an error, sends it again
    /// with the same command id, a limited number of times.
    /// \return the reply, or the error of the last attempt.
    core::result<control::command_reply> submit(
        const control::command& command);

private:
    std::vector<std::string> hosts_;
    drivers::asio::io_context io_{1};
    drivers::peer_client peers_;
};

} // namespace poplarroute::main::ctl
