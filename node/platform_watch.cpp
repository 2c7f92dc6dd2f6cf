#include "node/platform_watch.hpp"

#include <nlohmann/json.hpp>

#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration read_every{1'000};
constexpr core::duration read_deadline{900};
constexpr core::duration command_patience{3'000};
constexpr int status_ok = 200;

} // namespace

platform_watch::platform_watch(context& with, replica* own, control_link& link)
    : with_(with), own_(own), link_(link)
{
}

void platform_watch::start()
{
    if (!with_.identity().settings_.platform_list_.empty())
    {
        drivers::spawn(with_.io_, run());
    }
}

awaitable<void> platform_watch::run()
{
    for (;;)
    {
        co_await read_list();
        co_await drivers::sleep_for(read_every);
    }
}

awaitable<void> platform_watch::read_list()
{
    drivers::http_call call;
    call.address_ = with_.identity().settings_.platform_list_;
    call.target_ = "/list";
    call.timeout_ = read_deadline;
    const auto reply = co_await with_.http_.request(std::move(call));
    if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
    {
        co_return;
    }
    const auto document =
        nlohmann::json::parse(core::value(reply).body_, nullptr, false);
    if (!document.is_object())
    {
        co_return;
    }
    std::set<core::endpoint_id> leaving;
    std::set<core::host_id> hosts;
    try
    {
        for (const auto& item :
             document.value("endpoints", nlohmann::json::array()))
        {
            if (item.value("state", "live") == "leaving")
            {
                leaving.insert(item.at("name").get<std::string>());
            }
        }
        for (const auto& item :
             document.value("hosts", nlohmann::json::array()))
        {
            hosts.insert(item.at("name").get<std::string>());
        }
    }
    catch (const nlohmann::json::exception&)
    {
        co_return;
    }
    with_.board_.section<platform_section>().leaving_ = std::move(leaving);
    if (own_ != nullptr && own_->leads())
    {
        co_await retire_missing(std::move(hosts));
    }
}

awaitable<void> platform_watch::retire_missing(std::set<core::host_id> listed)
{
    const core::time_point now = core::steady_now();
    const core::duration lag = with_.identity().settings_.platform_lag_;
    const control::directory& fleet = own_->state().fleet();
    std::vector<core::host_id> gone;
    for (const auto& [name, host] : fleet.settings().hosts_)
    {
        if (listed.count(name) != 0 || fleet.retired_hosts().count(name) != 0)
        {
            missing_since_.erase(name);
            continue;
        }
        const auto since = missing_since_.emplace(name, now).first->second;
        if (now - since > lag)
        {
            gone.push_back(name);
        }
    }
    for (const core::host_id& host : gone)
    {
        const control::retire_host order{
            new_origin("control"), host, "not in the platform's list"};
        co_await link_.submit(order, command_patience);
        drivers::log_event(
            drivers::log_level::warning, "host_retired", {{"peer", host}});
    }
}

} // namespace poplarroute::node
