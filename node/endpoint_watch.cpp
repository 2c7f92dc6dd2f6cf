#include "node/endpoint_watch.hpp"

#include "node/pool_controller.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration connect_again_after{200};

} // namespace

endpoint_watch::endpoint_watch(context& with, pool_controller& pools)
    : with_(with), pools_(pools), engines_(with.http_)
{
}

void endpoint_watch::look_at(
    const core::service_id& service,
    std::span<const policy::endpoint_facts> endpoints)
{
    for (const policy::endpoint_facts& facts : endpoints)
    {
        const name of{service, facts.name_};
        drivers::spawn(with_.io_, poll(of, facts.address_));
        if (watched_.insert(of).second)
        {
            drivers::spawn(with_.io_, watch(of, facts.address_));
        }
    }
}

awaitable<void> endpoint_watch::poll(name of, std::string address)
{
    const auto report = co_await engines_.report(address, of.second);
    policy::pool_scheduler* owner = pools_.scheduler_of(of.first);
    if (owner == nullptr)
    {
        co_return;
    }
    if (!core::is_ok(report))
    {
        owner->no_report(of.second, core::steady_now());
        co_return;
    }
    pools_.perform(
        of.first, owner->report(core::value(report), core::steady_now()));
    co_await read_events(std::move(of), std::move(address));
}

awaitable<void> endpoint_watch::read_events(name of, std::string address)
{
    const std::uint64_t after = events_seen_[of];
    const auto events = co_await engines_.events(address, after);
    policy::pool_scheduler* owner = pools_.scheduler_of(of.first);
    if (!core::is_ok(events) || owner == nullptr)
    {
        co_return;
    }
    const engine_adapter::cache_events& news = core::value(events);
    policy::prefix_index& prefixes = owner->prefixes();
    if (news.gap_ || news.next_ < after)
    {
        prefixes.forget(of.second);
    }
    for (const engine_adapter::cache_event& event : news.events_)
    {
        if (event.added_)
        {
            prefixes.added(of.second, event.prefix_);
        }
        else
        {
            prefixes.evicted(of.second, event.prefix_);
        }
    }
    events_seen_[of] = news.next_;
}

awaitable<void> endpoint_watch::watch(name of, std::string address)
{
    while (pools_.scheduler_of(of.first) != nullptr)
    {
        const bool was_open = co_await with_.http_.wait_until_closed(address);
        policy::pool_scheduler* owner = pools_.scheduler_of(of.first);
        if (was_open && owner != nullptr)
        {
            owner->doubt(of.second);
        }
        if (!was_open)
        {
            co_await drivers::sleep_for(connect_again_after);
        }
    }
    watched_.erase(of);
}

} // namespace poplarroute::node
