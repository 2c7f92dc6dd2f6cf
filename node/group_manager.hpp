#pragma once

#include <map>
#include <set>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// Forms the group that replicates the catalog and manages its membership:
/// hosts without a group join, hosts that lost their disk join as new members,
/// and members that were replaced are removed.
class group_manager
{
public:
    group_manager(context& with, catalog_replica& group);

    /// Registers calls and starts to form or join the group.
    void start();

    /// Resets the times since members were last reached, after an election.
    void begin_leading();

    /// Makes at most one change to the members; called at the leader.
    awaitable<void> update_members();

private:
    awaitable<void> form_group();
    awaitable<bool> bootstrap_from_seeds();
    awaitable<void> ask_to_join();
    awaitable<void> add_member(join_request request);
    bool was_replaced(
        const core::host_id& lost, core::time_point lost_since) const;

    context& with_;
    catalog_replica& group_;
    std::set<core::host_id> joining_;
    std::map<core::host_id, core::time_point> joined_at_;
    std::map<core::host_id, core::time_point> unreachable_since_;
};

} // namespace poplarroute::node
