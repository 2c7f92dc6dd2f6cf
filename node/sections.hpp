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

/// Identity and settings of this process. Written once, at its start.
struct identity_section
{
    core::host_id host_;
    core::zone_id zone_;
    std::uint64_t incarnation_ = 0;
    drivers::host_settings_file settings_;
    std::uint64_t next_attempt_ = 1;
};

/// The other hosts and their state. Written by the membership controller.
struct membership_section
{
    std::shared_ptr<control::membership> members_;
    core::host_id leader_; ///< Last known leader of the control group.
};

/// The fleet as this host knows it. Written by the directory controller.
struct directory_section
{
    control::directory fleet_;

    /// Whether a member of the control group that reached a majority has
    /// confirmed, since this process started, that the local version was
    /// current.
    bool confirmed_ = false;

    /// Latest time at which the local version is known to have been current.
    core::time_point current_as_of_;

    /// Ids of keys whose withdrawal arrived before the directory version that
    /// contains it.
    std::set<std::string> early_withdrawn_keys_;

    /// Callbacks that run after each change.
    std::vector<std::function<void()>> on_change_;
};

/// Whether this process accepts requests. Written by the host process.
struct lifecycle_section
{
    bool leaving_ = false;  ///< Reports not ready; still serves requests.
    bool draining_ = false; ///< New requests are refused.
    core::time_point started_at_;
};

/// This host's shares of the accounts' limits. Written by the escrow
/// controller.
struct escrow_section
{
    std::shared_ptr<policy::escrow> shares_;
};

/// Requests that crash endpoints. Written by the crash detector and the entry
/// controller.
struct quarantine_section
{
    policy::quarantine records_;
};

/// Attempt that runs for one of this host's callers.
struct running_attempt
{
    core::service_id service_;
    core::zone_id zone_; ///< Of the pool that granted the placement.
    core::endpoint_id decode_;
    std::int64_t pieces_ = 0;
    std::string key_;            ///< Id of the caller's key; empty if none.
    std::function<void()> stop_; ///< Ends the caller's request.
};

/// Attempts and requests in progress for this host's callers. Written by the
/// entry controller and the guards of the attempts' placements.
struct running_section
{
    std::map<core::attempt_id, running_attempt> attempts_;
    std::map<std::uint64_t, std::pair<std::string, std::function<void()>>>
        callers_; ///< Key id and stop function of each request in progress.
    std::uint64_t next_caller_id_ = 1;
};

/// Endpoints that the platform's list shows as leaving. Written by the
/// platform monitor.
struct platform_section
{
    std::set<core::endpoint_id> leaving_;
};

} // namespace poplarroute::node
