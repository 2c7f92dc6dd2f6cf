#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/group_manager.hpp"
#include "node/replica.hpp"
#include "node/stage_controller.hpp"
#include "node/placement_controller.hpp"
#include "policy/account_meter.hpp"
#include "policy/quarantine.hpp"

namespace poplarroute::node
{

/// What an operator's call came to.
struct order_outcome
{
    bool accepted_ = false;
    bool invalid_ = false; ///< It can never be accepted.
    std::string problem_;  ///< Why not, for the operator.
};

/// The newest catalog, read at the leader.
struct catalog_reading
{
    std::uint64_t version_ = 0;
    std::string text_;
};

/// A member of the group that keeps the catalog: it takes operators' orders
/// and tells entry hosts what is in force. The leader also
/// places streams and adds up what accounts use.
class catalog_keeper
{
public:
    catalog_keeper(
        context& with, catalog_replica& group, const wire_dialect& dialect);

    void start();

    /// Puts a catalog in force, wherever the leader is.
    awaitable<order_outcome> submit_text(std::string text);

    /// Takes a zone out or back in.
    awaitable<order_outcome> set_zone(core::zone_id zone, bool out);

    /// Reads the newest catalog with proof that none is newer.
    awaitable<core::result<catalog_reading>> read();

    bool leads() const
    {
        return group_.leads();
    }

private:
    void register_calls();
    void register_stream_calls();
    awaitable<void> tend();
    awaitable<core::result<submit_reply>> submit(std::string command);
    awaitable<core::result<submit_reply>> submit_here(std::string command);
    awaitable<watch_reply> answer_watch(watch_request request);
    bool has_news(const watch_request& request) const;
    watch_reply describe(const watch_request& request);
    void set_bounds();
    awaitable<place_reply> charge_and_place(want_message want);
    settle_reply settle(const settle_request& request);
    void take_catalog();
    void wake_watchers();
    void note_leadership();
    void forget_crashers(core::time_point now);
    std::int64_t live_hosts() const;

    context& with_;
    catalog_replica& group_;
    const wire_dialect& dialect_;
    stream_desk desk_;
    stage_controller stages_;
    group_tender tender_;
    policy::meter_ledger ledger_;
    std::map<core::service_id, policy::resend_allowance> resends_;
    policy::quarantine crashers_;
    std::uint64_t crash_revision_ = 0;
    std::set<std::string> refused_digests_;
    std::map<core::host_id, core::time_point> hosts_; ///< Last watch.
    std::vector<std::shared_ptr<drivers::asio::steady_timer>> watchers_;
    bool led_ = false;
    core::host_id last_leader_;
};

} // namespace poplarroute::node
