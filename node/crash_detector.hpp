#pragma once

#include <string>

#include "node/context.hpp"
#include "node/engine.hpp"
#include "node/messages.hpp"
#include "policy/quarantine.hpp"

namespace poplarroute::node
{

/// Finds out whether an endpoint crashed while it ran a request, and reports
/// the crash to all hosts.
class crash_detector
{
public:
    explicit crash_detector(context& with);

    /// Registers the call by which other hosts report crashes.
    void start();

    /// Checks an endpoint whose connection broke.
    /// \param address the endpoint's address.
    /// \param boot boot id of its process when the placement was granted.
    /// \return whether that process is gone or was replaced by another.
    awaitable<bool> is_process_lost(std::string address, std::string boot);

    /// Records that an endpoint was lost while it ran a request, here and on
    /// every host that can be reached in time.
    /// \param digest the request's digest.
    /// \param crash the crash's id, made of the endpoint and its boot id.
    /// \param weight how strongly the crash implicates the request.
    awaitable<void> note(
        std::string digest, std::string crash, policy::evidence weight);

    policy::suspicion look_up(const std::string& digest) const;

private:
    awaitable<void> send_report(
        core::host_id host, std::string address, crash_report report);

    context& with_;
    engine_client engines_;
};

} // namespace poplarroute::node
