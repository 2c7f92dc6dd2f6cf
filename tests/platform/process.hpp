#pragma once

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "platform/platform_codec.hpp"

namespace poplarroute::platform
{

/// What every process has, without its controllers.
struct process
{
    process(
        drivers::asio::io_context& io,
        const std::string& peer_address,
        const std::string& seed)
        : http_(io),
          peers_(io, nullptr),
          with_{io, board_, peers_, http_, metrics_, calls_}
    {
        node::identity_section& identity =
            board_.section<node::identity_section>();
        identity.host_ = peer_address;
        node::fleet_settings& settings =
            board_.section<node::settings_section>().settings_;
        settings.peer_listen_ = peer_address;
        settings.seeds_ = {seed};
        settings.first_start_ = true;
    }

    const node::catalog_section& catalog()
    {
        return board_.section<node::catalog_section>();
    }

    core::blackboard board_;
    drivers::metrics metrics_;
    node::call_dispatcher calls_;
    drivers::http_client http_;
    drivers::peer_client peers_;
    node::context with_;
    platform_codec codec_;
};

/// A process that other processes call on its peer port.
struct listening_process : process
{
    /// \param address of the process as others know it.
    /// \param listen where the peer port listens.
    listening_process(
        drivers::asio::io_context& io,
        const std::string& address,
        const std::string& listen)
        : process(io, address, address),
          port_(
              io,
              listen,
              nullptr,
              [this](
                  drivers::peer_identity from,
                  std::string name,
                  std::string body)
              {
                  return calls_.answer(
                      std::move(from), std::move(name), std::move(body));
              })
    {
    }

    drivers::peer_server port_;
};

} // namespace poplarroute::platform
