#pragma once

#include <deque>

#include "node/context.hpp"
#include "node/messages.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Keeps this host's directory up to date: from its own member of the control
/// group and from any host that has a newer version; and confirms versions.
class directory_controller
{
public:
    directory_controller(context& with, replica* own);

    void start();

    /// Pulls what a host has and this one lacks.
    void pull_from(const core::host_id& host);

private:
    awaitable<void> pull(core::host_id host);
    awaitable<void> confirm_loop();
    awaitable<bool> confirm_once();
    awaitable<core::result<directory_pull_reply>> answer_pull(
        directory_pull_request request);
    void follow_replica();
    bool take_change(const control::directory_change& change);
    void take_whole(control::directory next);
    void changed();
    void withdraw_now(const std::string& key);

    context& with_;
    replica* own_;
    std::deque<control::directory_change> recent_;
    bool pulling_ = false;
    std::uint64_t confirmed_version_ = 0;
    core::host_id confirmed_to_;
};

} // namespace poplarroute::node
