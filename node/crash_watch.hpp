#pragma once

#include <string>

#include "node/context.hpp"
#include "node/engine.hpp"
#include "node/messages.hpp"
#include "policy/quarantine.hpp"

namespace poplarroute::node
{

/// Finds out whether an endpoint was lost under a request, and tells all
/// hosts.
class crash_watch
{
public:
    explicit crash_watch(context& with);

    /// Registers the call by which other hosts tell.
    void start();

    /// Looks after an endpoint whose connection broke.
    /// \param address of the endpoint.
    /// \param boot it had when the place was given.
    /// \return whether its process is gone or is another one now.
    awaitable<bool> was_lost(std::string address, std::string boot);

    /// Notes that an endpoint was lost while it ran a request, here and on
    /// every host that can be reached soon.
    /// \param digest of the request.
    /// \param crash names the endpoint and its boot.
    awaitable<void> note(
        std::string digest, std::string crash, policy::evidence weight);

    policy::suspicion look_up(const std::string& digest) const;

private:
    awaitable<void> tell(
        core::host_id host, std::string address, crash_report news);

    context& with_;
    engine_client engines_;
};

} // namespace poplarroute::node
