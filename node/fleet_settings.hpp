#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "drivers/connection_budget.hpp"

namespace poplarroute::node
{

/// Bounds that the deployment sets for the whole fleet.
struct fleet_bounds
{
    core::duration stop_grace_{8'000}; ///< From SIGTERM to SIGKILL.
    double retry_ratio_ = 0.2;         ///< Retries per request.
    std::int64_t retry_slack_ = 0;     ///< Additional retries, over all hosts.
    core::duration retry_window_{10'000};
    /// Time for which the process that orders stage changes excludes others.
    core::duration order_lease_{3'000};
    double rate_excess_ = 0;      ///< Fraction by which a rate may be exceeded.
    std::int64_t rate_slack_ = 0; ///< Additional tokens in a window.
    /// Calls of hosts that a leader answers; a part of a document counts as
    /// ten.
    std::int64_t leader_calls_per_second_ = 6'000;
    std::int64_t max_watches_ = 2'048; ///< Held at a group member.

    /// Share of a service's requests that a bad target of a roll-out may get.
    /// Absent: no roll-outs are served.
    std::optional<double> rollout_share_;
    std::int64_t rollout_slack_ = 50; ///< Requests besides that share.
    /// Time after its fiftieth bad answer in which a bad target is withdrawn.
    core::duration rollback_time_{5'000};
    /// Time for which an operator sends an order again that was not answered.
    core::duration operator_ack_time_{5'000};
};

/// Settings of a process of a fleet that the platform deploys.
struct fleet_settings
{
    std::string host_; ///< Name of the host, for logs.
    core::zone_id zone_;
    std::string client_listen_; ///< "ip:port"; empty at group members.
    std::string ready_listen_;
    std::string control_listen_; ///< Empty at entry hosts.
    std::string peer_listen_;
    std::string relay_listen_; ///< For requests of other hosts; empty: none.
    std::string metrics_listen_;
    std::string data_folder_;        ///< Empty: not a group member.
    std::vector<std::string> seeds_; ///< Peer addresses of group members.
    bool first_start_ =
        false; ///< The fleet starts for the first time, with empty disks.
    std::string list_address_; ///< "ip:port" of the platform's endpoint list.
    /// Calls to the list that the whole fleet may make; 0: not stated.
    std::int64_t list_calls_per_second_ = 0;
    std::vector<core::zone_id> zones_;
    std::int64_t memory_mb_ = 0; ///< Memory of this process; 0: not stated.
    bool allow_fault_injection_ = false; ///< For tests of the fleet only.
    fleet_bounds bounds_;
    drivers::client_settings clients_; ///< Its memory is memory_mb_.
};

} // namespace poplarroute::node
