#include "node/reach_monitor.hpp"

#include <utility>

#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration probe_interval{300};
constexpr core::duration probe_timeout{200};

} // namespace

std::set<core::endpoint_id> usable_endpoints(
    core::blackboard& board,
    const core::service_id& service,
    core::time_point now)
{
    const endpoint_section& list = board.section<endpoint_section>();
    std::set<core::endpoint_id> out;
    for (const auto& [name, item] : list.endpoints_)
    {
        if (item.listed_.service_ == service &&
            is_usable(
                board.section<catalog_section>(), list, item.listed_, now))
        {
            out.insert(name);
        }
    }
    return out;
}

void reach_monitor::start()
{
    drivers::spawn_loop(
        with_.io_,
        "reach_monitor",
        [this]()
        {
            return run();
        });
}

awaitable<void> reach_monitor::probe(
    core::service_id service, core::endpoint_id name)
{
    const auto& list = with_.board_.section<endpoint_section>().endpoints_;
    const auto found = list.find(name);
    if (found == list.end())
    {
        co_return;
    }
    const std::string address = found->second.listed_.address_;
    const bool accepts =
        co_await with_.http_.accepts_connections(address, probe_timeout);
    policy::endpoint_reach& reach =
        with_.board_.section<reach_section>().services_[service];
    const core::time_point now = core::steady_now();
    with_.metrics_.count(
        "poplarroute_reach_probes_total",
        {{"result", accepts ? "reached" : "unreached"}});
    if (accepts)
    {
        reach.record_reached(name, now);
    }
    else
    {
        reach.record_unreached(name, now);
    }
    update(service, now);
}

/// Notes whether a service is lost.
void reach_monitor::update(
    const core::service_id& service, core::time_point now)
{
    reach_section& section = with_.board_.section<reach_section>();
    policy::endpoint_reach& reach = section.services_[service];
    const std::set<core::endpoint_id> listed =
        usable_endpoints(with_.board_, service, now);
    reach.keep_only(listed);
    const bool is_lost = reach.is_lost(listed, now);
    if (is_lost == (section.lost_.count(service) != 0))
    {
        return;
    }
    if (is_lost)
    {
        section.lost_.insert(service);
    }
    else
    {
        section.lost_.erase(service);
    }
    with_.metrics_.set(
        "poplarroute_service_lost", {{"service", service}}, is_lost ? 1 : 0);
    drivers::log_event(
        drivers::log_level::warning,
        is_lost ? "service_lost" : "service_regained",
        {{"service", service},
         {"listed", listed.size()},
         {"unreached", reach.unreached(now).size()}});
}

awaitable<void> reach_monitor::run()
{
    for (;;)
    {
        co_await drivers::sleep_for(probe_interval);
        const core::time_point now = core::steady_now();
        for (auto& [service, reach] :
             with_.board_.section<reach_section>().services_)
        {
            update(service, now);
            if (!reach.needs_probes(now))
            {
                continue;
            }
            for (core::endpoint_id& name : reach.choose_probes(
                     usable_endpoints(with_.board_, service, now), now))
            {
                drivers::spawn_task(
                    with_.io_, "probe", probe(service, std::move(name)));
            }
        }
    }
}

} // namespace poplarroute::node
