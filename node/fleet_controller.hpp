#pragma once

#include <map>

#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/messages.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Duties of the control group's leader: records which hosts have confirmed a
/// version, settles shares once all have, restores the shares of retired hosts
/// that have returned, and answers operators' reads.
class fleet_controller
{
public:
    fleet_controller(
        context& with, replica& local_replica, control_client& client);

    void start();

private:
    struct confirmation
    {
        std::uint64_t incarnation_ = 0;
        std::uint64_t version_ = 0;
    };

    awaitable<void> run();
    awaitable<void> settle_shares_if_confirmed();
    awaitable<void> readmit(core::host_id host);
    awaitable<core::result<confirm_version_reply>> record_confirmation(
        confirm_version_request request);
    awaitable<core::result<std::string>> read(std::string what);
    std::vector<core::host_id> unconfirmed_hosts(std::uint64_t version) const;
    nlohmann::json status() const;
    nlohmann::json keys() const;
    nlohmann::json history() const;

    context& with_;
    replica& local_replica_;
    control_client& control_client_;
    std::map<core::host_id, confirmation> confirmations_;
};

} // namespace poplarroute::node
