#pragma once

#include <map>
#include <memory>
#include <string>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/running_streams.hpp"
#include "policy/stage_planner.hpp"
#include "policy/stream_broker.hpp"

namespace poplarroute::node
{

/// Lets streams wait for the decisions of a broker, one broker a service.
///
/// The group's leader has one for the fleet; an entry host has one of its own
/// for when it reaches no leader.
class stream_desk
{
public:
    /// Whose streams a desk places.
    enum class reach
    {
        fleet,    ///< Of all hosts: it sees all streams.
        own_host, ///< Of this host alone, while others place theirs.
    };

    stream_desk(context& with, reach reach);

    void start();

    /// Takes over engines from the catalog and the list.
    void refresh();

    /// Names the engines of a service that are changing their stage.
    void set_changing(
        const core::service_id& service, std::set<core::endpoint_id> engines);

    /// \return what engines of a service carry; nothing until that is known.
    std::optional<policy::stage_rates> rates(
        const core::service_id& service, core::time_point now);

    /// Waits for a place.
    awaitable<place_reply> place(want_message want);

    void end(const end_message& ending);
    void note(const note_message& what);
    void reconcile(
        const core::host_id& host, const std::vector<place_message>& places);

    /// Forgets all places: another desk has decided meanwhile.
    void reset();

private:
    using answer = std::shared_ptr<awaited<place_reply>>;

    awaitable<void> run();
    void decide_all();
    std::int64_t sharers() const;
    void see_own_places();
    policy::stream_broker* find(const core::service_id& service);

    context& with_;
    const reach reach_;
    std::map<core::service_id, policy::stream_broker> brokers_;
    std::map<core::service_id, std::set<core::endpoint_id>> changing_;
    std::map<std::string, answer> waiting_;
};

} // namespace poplarroute::node
