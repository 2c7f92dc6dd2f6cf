#pragma once

#include <deque>

#include "node/context.hpp"
#include "node/messages.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Keeps this host's directory up to date, from its own member of the control
/// group and from any host that has a newer version, and confirms versions to
/// the leader.
class directory_controller
{
public:
    /// \param local_replica this host's member of the control group; null on a
    /// host without a disk.
    directory_controller(context& with, replica* local_replica);

    void start();

    /// Pulls the changes that this host lacks from another host.
    void pull_directory(const core::host_id& host);

private:
    awaitable<void> pull(core::host_id host);
    awaitable<void> confirm_loop();
    awaitable<bool> send_confirmation();
    awaitable<core::result<directory_pull_reply>> answer_pull(
        directory_pull_request request);
    void sync_from_replica();
    bool apply_change(const control::directory_change& change);
    void replace_directory(control::directory next);
    void notify_change();
    void withdraw_key(const std::string& key);

    context& with_;
    replica* local_replica_;
    std::deque<control::directory_change> recent_changes_;
    bool pull_in_progress_ = false;
    std::uint64_t confirmed_version_ = 0;
    core::host_id confirmed_to_leader_;
};

} // namespace poplarroute::node
