#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "control/directory.hpp"
#include "control/membership.hpp"
#include "core/blackboard.hpp"
#include "core/clock.hpp"
#include "drivers/host_settings.hpp"
#include "policy/escrow.hpp"
#include "policy/quarantine.hpp"

namespace poplarroute::node
{

/// Who this process is. Written once, at its start.
struct identity_section
{
    core::host_id host_;
    core::zone_id zone_;
    std::uint64_t incarnation_ = 0;
    drivers::host_settings_file settings_;
    std::uint64_t next_attempt_ = 1;
};

/// Who else is there. Written by the membership controller.
struct membership_section
{
    std::shared_ptr<control::membership> members_;
    core::host_id leader_; ///< Of the control group, as far as known.
};

/// The fleet as this host knows it. Written by the directory controller.
struct directory_section
{
    control::directory fleet_;

    /// A member of the control group that reached a majority has said, since
    /// this process started, that the version held was current.
    bool confirmed_ = false;

    /// When that was last said.
    core::time_point current_at_;

    /// Keys whose withdrawal came ahead of its version.
    std::set<std::string> withdrawn_early_;

    /// Called after each change.
    std::vector<std::function<void()>> on_change_;
};

/// Whether this process takes work. Written by the lifecycle controller.
struct lifecycle_section
{
    bool leaving_ = false;  ///< The balancer is told; requests are served.
    bool draining_ = false; ///< New requests are refused.
    core::time_point started_at_;
};

/// Shares of the accounts' limits. Written by the escrow controller.
struct escrow_section
{
    std::shared_ptr<policy::escrow> shares_;
};

/// Requests that crash endpoints. Written by the entry controller.
struct quarantine_section
{
    policy::quarantine records_;
};

/// One attempt that this host's callers wait for.
struct running_attempt
{
    core::service_id service_;
    core::zone_id zone_; ///< Of the pool that gave the place.
    core::endpoint_id decode_;
    std::int64_t pieces_ = 0;
    std::string key_;            ///< Id of the caller's key; empty if open.
    std::function<void()> stop_; ///< Ends the caller's request.
};

/// What runs for this host's callers. Written by the entry controller.
struct running_section
{
    std::map<core::attempt_id, running_attempt> attempts_;
    std::map<std::uint64_t, std::pair<std::string, std::function<void()>>>
        callers_; ///< Key id and stop of each caller being answered.
    std::uint64_t next_caller_ = 1;
};

/// Endpoints that the platform's list shows as leaving.
struct platform_section
{
    std::set<core::endpoint_id> leaving_;
};

} // namespace poplarroute::node
