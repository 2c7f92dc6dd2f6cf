#include "node/endpoint_monitor.hpp"

#include "node/pool_controller.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration reconnect_delay{200};

} // namespace

endpoint_monitor::endpoint_monitor(context& with, pool_controller& pools)
    : with_(with), pools_(pools), engines_(with.http_)
{
}

void endpoint_monitor::look_at(
    const core::service_id& service,
    std::span<const policy::endpoint_config> endpoints)
{
    for (const policy::endpoint_config& config : endpoints)
    {
        const endpoint_key key{service, config.name_};
        drivers::spawn_task(with_.io_, "poll", poll(key, config.address_));
        if (watched_.insert(key).second)
        {
            drivers::spawn_task(
                with_.io_,
                "watch_connection",
                watch_connection(key, config.address_));
        }
    }
}

awaitable<void> endpoint_monitor::poll(endpoint_key key, std::string address)
{
    const auto report = co_await engines_.report(address, key.second);
    policy::pool_scheduler* owner = pools_.scheduler_of(key.first);
    if (owner == nullptr)
    {
        co_return;
    }
    if (!core::is_ok(report))
    {
        owner->on_report_failed(key.second, core::steady_now());
        co_return;
    }
    pools_.perform(
        key.first, owner->report(core::value(report), core::steady_now()));
    co_await read_events(std::move(key), std::move(address));
}

awaitable<void> endpoint_monitor::read_events(
    endpoint_key key, std::string address)
{
    const std::uint64_t after = last_events_[key];
    const auto events = co_await engines_.events(address, after);
    policy::pool_scheduler* owner = pools_.scheduler_of(key.first);
    if (!core::is_ok(events) || owner == nullptr)
    {
        co_return;
    }
    const engine_client::cache_events& received = core::value(events);
    policy::prefix_index& prefixes = owner->prefixes();
    if (received.gap_ || received.next_ < after)
    {
        prefixes.forget(key.second);
    }
    for (const engine_client::cache_event& event : received.events_)
    {
        if (event.added_)
        {
            prefixes.added(key.second, event.prefix_);
        }
        else
        {
            prefixes.evicted(key.second, event.prefix_);
        }
    }
    last_events_[key] = received.next_;
}

awaitable<void> endpoint_monitor::watch_connection(
    endpoint_key key, std::string address)
{
    while (pools_.scheduler_of(key.first) != nullptr)
    {
        const bool was_open = co_await with_.http_.wait_until_closed(address);
        policy::pool_scheduler* owner = pools_.scheduler_of(key.first);
        if (was_open && owner != nullptr)
        {
            owner->on_connection_lost(key.second);
        }
        if (!was_open)
        {
            co_await drivers::sleep_for(reconnect_delay);
        }
    }
    watched_.erase(key);
}

} // namespace poplarroute::node
