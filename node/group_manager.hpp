#pragma once

#include <map>
#include <set>

#include "control/group_changes.hpp"
#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Forms the group that replicates the catalog and manages its membership:
/// hosts without a group join, hosts that lost their disk join as new members,
/// and members that were replaced are removed (control::decide_group_change).
class group_manager
{
public:
    group_manager(context& with, catalog_replica& group);

    /// Registers calls and starts to form or join the group.
    void start();

    /// Notes the time of an election that this member has won.
    void begin_leading();

    /// Makes at most one change to the members; called at the leader.
    awaitable<void> update_members();

    /// Tells all members that this process stops. Takes until they have
    /// replied, and for a limited time at most.
    awaitable<void> announce_leave();

    /// Sets the gauges of the group's members.
    void set_metrics() const;

private:
    awaitable<void> form_group();
    awaitable<bool> bootstrap_from_seeds();
    awaitable<void> ask_to_join();
    awaitable<void> add_member(join_request request);
    awaitable<void> take_leave(leave_request request);
    std::map<core::host_id, control::member_contact> contacts() const;

    context& with_;
    catalog_replica& group_;
    std::set<core::host_id> joining_;
    core::time_point leading_since_;
    bool is_leaving_ = false;
    bool is_updating_ = false;

    /// Members that said that they stop, and when.
    std::map<core::host_id, core::time_point> leaving_;
};

} // namespace poplarroute::node
