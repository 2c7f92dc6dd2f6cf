#pragma once

#include <string>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/running_streams.hpp"
#include "policy/account_meter.hpp"

namespace poplarroute::node
{

/// Accounts' levels as this host holds them.
struct meter_section
{
    policy::account_meter meter_;
};

/// An entry host's link to the group: it follows the catalog and the list at
/// the leader, and settles what accounts use.
class catalog_feed
{
public:
    catalog_feed(context& with, const wire_dialect& dialect);

    void start();

    /// \return whether this host should read the platform's list itself,
    /// since no leader has told of it lately.
    bool list_is_old() const;

private:
    awaitable<void> follow();
    awaitable<void> settle_loop();
    awaitable<void> settle_once(core::host_id leader);
    core::host_id next_member();
    void take(const watch_reply& reply, const core::host_id& from);
    void take_catalog(const watch_reply& reply);
    void take_endpoints(const watch_reply& reply);
    void refresh_limits();
    watch_request next_request(bool wait) const;
    void note_answer(const core::host_id& member, bool leader_known);
    void lose_leader(const core::host_id& asked, const core::error& why);

    context& with_;
    const wire_dialect& dialect_;
    std::size_t next_seed_ = 0;
    std::uint64_t crash_revision_ = 0;

    /// Members that lately said that they know no leader.
    std::map<core::host_id, core::time_point> leaderless_;
};

} // namespace poplarroute::node
