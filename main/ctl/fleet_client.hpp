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

/// Calls from the operator's command line to the fleet's hosts.
class link
{
public:
    /// \param hosts addresses of hosts, tried in turn.
    /// \param tls nothing for plain text on loopback.
    link(std::vector<std::string> hosts, drivers::tls_context tls);

    const std::vector<std::string>& hosts() const
    {
        return hosts_;
    }

    /// Makes a call to one host.
    core::result<std::string> call(
        const std::string& address,
        const std::string& method,
        const std::string& body);

    /// Makes a call to the first host that answers it.
    core::result<std::string> call_any(
        const std::string& method, const std::string& body);

    /// Makes a call to all hosts at once.
    /// \return an answer or an error for each, in the hosts' order.
    std::vector<core::result<std::string>> call_all(
        const std::string& method, const std::string& body);

    /// Has a command committed. Sent again with the same command id until a
    /// host has the answer.
    core::result<control::command_reply> submit(const control::command& order);

private:
    std::vector<std::string> hosts_;
    drivers::asio::io_context io_{1};
    drivers::peer_client peers_;
};

} // namespace poplarroute::main::ctl
