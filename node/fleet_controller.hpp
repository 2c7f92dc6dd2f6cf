#pragma once

#include <map>

#include "node/context.hpp"
#include "node/control_link.hpp"
#include "node/messages.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// The leader's own duties: it hears which hosts have confirmed a version,
/// settles shares once all have, gives hosts that are back their share again,
/// and answers what operators read.
class fleet_controller
{
public:
    fleet_controller(context& with, replica& own, control_link& link);

    void start();

private:
    struct confirmation
    {
        std::uint64_t incarnation_ = 0;
        std::uint64_t version_ = 0;
    };

    awaitable<void> run();
    awaitable<void> settle();
    awaitable<void> readmit(core::host_id host);
    awaitable<core::result<confirm_version_reply>> confirmed(
        confirm_version_request request);
    awaitable<core::result<std::string>> read(std::string what);
    std::vector<core::host_id> unconfirmed(std::uint64_t version) const;
    nlohmann::json status() const;
    nlohmann::json keys() const;
    nlohmann::json history() const;

    context& with_;
    replica& own_;
    control_link& link_;
    std::map<core::host_id, confirmation> confirmed_;
};

} // namespace poplarroute::node
