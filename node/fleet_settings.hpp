#pragma once

#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

/// Bounds that the deployment sets for the whole fleet.
struct fleet_bounds
{
    core::duration stop_grace_{8'000}; ///< From SIGTERM to SIGKILL.
    double resend_ratio_ = 0.2;        ///< Second sends per request.
    std::int64_t resend_slack_ = 0;    ///< Besides, over all hosts.
    core::duration resend_window_{10'000};
    core::duration order_lease_{
        3'000};                   ///< One orderer excludes others so long.
    double rate_excess_ = 0;      ///< Part by which a rate may be passed.
    std::int64_t rate_slack_ = 0; ///< Tokens besides, in a window.
};

/// What a process of a fleet that the platform places is told at its start.
struct fleet_settings
{
    std::string host_; ///< Its name, for logs.
    core::zone_id zone_;
    std::string client_listen_; ///< "ip:port"; empty at group members.
    std::string ready_listen_;
    std::string control_listen_; ///< Empty at entry hosts.
    std::string peer_listen_;
    std::string metrics_listen_;
    std::string data_folder_;        ///< Empty: none.
    std::vector<std::string> seeds_; ///< Peer addresses of group members.
    bool first_start_ = false; ///< The whole fleet starts with empty disks.
    std::string list_address_; ///< "ip:port" of the platform's endpoint list.
    std::vector<core::zone_id> zones_;
    fleet_bounds bounds_;
};

} // namespace poplarroute::node
