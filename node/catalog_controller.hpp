#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/document_publisher.hpp"
#include "node/document_relay.hpp"
#include "node/fleet_sections.hpp"
#include "node/group_manager.hpp"
#include "node/leader_queues.hpp"
#include "node/limit_controller.hpp"
#include "node/origin_registry.hpp"
#include "node/placement_controller.hpp"
#include "node/relay_messages.hpp"
#include "node/replica.hpp"
#include "node/rollout_controller.hpp"
#include "node/rollout_orders.hpp"
#include "node/stage_controller.hpp"
#include "policy/account_meter.hpp"
#include "policy/crash_counter.hpp"
#include "policy/prompt_part_quarantine.hpp"
#include "policy/quarantine.hpp"

namespace poplarroute::node
{

/// Version and text of the newest catalog, read at the leader.
struct catalog_contents
{
    std::uint64_t version_ = 0;
    std::string text_;
};

/// Runs at a member of the group that replicates the catalog: executes
/// operators' calls and sends entry hosts the catalog in force. The leader also
/// places streams and keeps the ledger of accounts' usage.
class catalog_controller
{
public:
    catalog_controller(
        context& with, catalog_replica& group, const wire_codec& codec);

    void start();

    /// Submits a catalog, forwarding it to the leader if necessary.
    awaitable<operator_call_result> submit_text(std::string text);

    /// Takes an availability zone out of service or puts it back, unless the
    /// zone changes between this call and the decision of the group.
    /// \param out whether the zone is out of service.
    awaitable<operator_call_result> set_zone(core::zone_id zone, bool out);

    /// Reads the newest catalog (linearizable read).
    awaitable<core::result<catalog_contents>> read();

    /// \return what starts, withdraws and shows roll-outs for operators.
    rollout_orders& rollout_calls()
    {
        return rollout_orders_;
    }

    bool leads()
    {
        track_leadership();
        return group_.leads();
    }

    /// \return the number of watching entry hosts whose catalog is older than
    /// this member's.
    std::int64_t hosts_behind() const;

    /// Tells the group that this process stops.
    awaitable<void> announce_leave()
    {
        return group_manager_.announce_leave();
    }

    /// Sets the gauges of what the leader places streams by, and of the streams
    /// whose origin this member knows.
    void set_metrics() const
    {
        placements_.set_metrics();
        origins_.set_metrics();
        group_manager_.set_metrics();
    }

private:
    /// An entry host, as its last watch request describes it.
    struct watching_host
    {
        core::time_point seen_at_;
        std::uint64_t revision_ = 0;
        std::int64_t told_hosts_ = 0; ///< Number of hosts that it was told.
        std::string relay_; ///< Where it takes requests of other hosts.
        core::zone_id zone_;
        std::set<core::service_id> lost_services_;
        core::time_point replied_at_; ///< To its last watch.
    };

    void register_calls();
    void register_stream_calls();
    awaitable<void> maintenance_loop();
    awaitable<core::result<submit_reply>> submit(std::string command);
    awaitable<core::result<submit_reply>> submit_locally(std::string command);
    void note_watching_host(const watch_request& request);
    relay_hosts_reply name_relay_hosts(const relay_hosts_request& request);
    awaitable<watch_reply> answer_watch(watch_request request);
    bool has_updates(const watch_request& request);
    watch_reply make_watch_reply(const watch_request& request);
    bool is_current() const;
    awaitable<void> wait_for_catalog(document_id wanted);
    awaitable<core::result<document_part_reply>> answer_part(
        document_part_request request);
    void apply_limits();
    awaitable<placement_reply> charge_and_place(placement_request request);
    awaitable<placement_reply> place_in_role(placement_request request);
    core::duration news_interval() const;
    std::optional<core::error> find_ledger_objection();
    settle_reply settle(const settle_request& request);
    void apply_catalog();

    /// Starts anew what a leader decides with, when this member has become one.
    /// It comes before each decision: what a follower kept counts nothing.
    void track_leadership();

    void lift_expired_quarantines(core::time_point now);
    void record_crash(const crash_message& report);
    void record_answer(
        const core::service_id& service,
        std::span<const std::string> parts,
        const std::string& digest);
    void record_leaving(
        const core::endpoint_id& name, const core::host_id& told_by);
    void adopt_quarantines(const watch_request& request);
    void publish_quarantines(bool requests_changed);
    std::int64_t live_hosts() const;
    std::vector<core::host_id> watching_host_names() const;

    context& with_;
    catalog_replica& group_;
    const wire_codec& codec_;
    placement_controller placements_;
    stage_controller stages_;
    group_manager group_manager_;
    rollout_orders rollout_orders_;
    rollout_controller rollouts_;
    policy::meter_ledger ledger_;
    std::map<core::service_id, policy::retry_allowance> retry_allowances_;
    policy::crash_counter crashes_;
    policy::quarantine crashers_;
    std::uint64_t crash_revision_ = 0;
    std::set<std::string> refused_digests_;
    policy::prompt_part_quarantine prompt_parts_;
    std::vector<std::string> quarantined_parts_; ///< As last published.
    bool has_suspects_ = false;                  ///< As last published.
    core::time_point leading_since_;
    std::map<core::host_id, watching_host> watching_hosts_;
    std::minstd_rand random_;
    document_publisher documents_;
    std::size_t catalog_waits_ = 0; ///< Hosts that wait_for_catalog() holds.
    document_relay relay_;
    leader_queues queues_;
    limit_controller limits_;
    origin_registry origins_;
    bool was_leading_ = false;
    control::term_number led_term_ = 0; ///< Last term in which this member led.
    core::host_id last_leader_;
};

} // namespace poplarroute::node
