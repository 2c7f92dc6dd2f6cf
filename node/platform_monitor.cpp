#include "node/platform_monitor.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration poll_interval{1'000};
constexpr core::duration read_timeout{900};
constexpr core::duration command_timeout{3'000};
constexpr int status_ok = 200;

/// An entry of the platform's list.
struct platform_entry
{
    std::string name_;
    std::string state_;
};

/// \return nothing when the entry cannot be read; the others hold.
std::optional<platform_entry> parse_entry(std::string_view text)
{
    const std::optional<nlohmann::json> document = core::parse_json(text);
    if (!document || !document->is_object())
    {
        return std::nullopt;
    }
    try
    {
        return platform_entry{
            document->at("name").get<std::string>(),
            document->value("state", "live")};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

using platform_entries = std::vector<std::optional<platform_entry>>;

/// Entries of the platform's list; those that cannot be read are empty.
struct platform_list
{
    platform_entries endpoints_;
    platform_entries hosts_;
};

platform_entries parse_entries(const core::json_array& array)
{
    platform_entries out;
    for (const std::string_view text : array.elements_)
    {
        out.push_back(parse_entry(text));
    }
    return out;
}

/// \return nothing when the list does not end, or entries of both kinds are
/// cut off.
std::optional<platform_list> parse_list(std::string_view text)
{
    const auto is_entry = [](std::string_view entry)
    {
        return parse_entry(entry).has_value();
    };
    // An entry that is cut off hides the members behind its array, so the other
    // array is looked up in what is left without it.
    constexpr const char* endpoints = "endpoints";
    constexpr const char* hosts = "hosts";
    for (const bool hosts_first : {false, true})
    {
        const char* first_name = hosts_first ? hosts : endpoints;
        const char* second_name = hosts_first ? endpoints : hosts;
        const auto first =
            core::split_json_array(text, first_name, second_name, is_entry);
        const auto second = core::split_json_array(
            first ? std::string_view(first->others_) : std::string_view(),
            second_name,
            first_name,
            is_entry);
        if (first && second)
        {
            return platform_list{
                parse_entries(hosts_first ? *second : *first),
                parse_entries(hosts_first ? *first : *second)};
        }
    }
    return std::nullopt;
}

} // namespace

platform_monitor::platform_monitor(
    context& with, replica* local_replica, control_client& client)
    : with_(with), local_replica_(local_replica), control_client_(client)
{
}

void platform_monitor::start()
{
    if (!with_.identity().settings_.platform_list_address_.empty())
    {
        drivers::spawn_loop(
            with_.io_,
            "platform_monitor",
            [this]()
            {
                return run();
            });
    }
}

awaitable<void> platform_monitor::run()
{
    for (;;)
    {
        co_await read_list();
        co_await drivers::sleep_for(poll_interval);
    }
}

awaitable<void> platform_monitor::read_list()
{
    drivers::http_call call;
    call.address_ = with_.identity().settings_.platform_list_address_;
    call.target_ = "/list";
    call.timeout_ = read_timeout;
    const auto reply = co_await with_.http_.request(std::move(call));
    if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
    {
        co_return;
    }
    const std::string& body = core::value(reply).body_;
    const std::optional<platform_list> list = parse_list(body);
    if (!list)
    {
        // Hosts must not be retired because the list of them cannot be read.
        drivers::log_event(
            drivers::log_level::warning,
            "list_unreadable",
            {{"bytes", body.size()}});
        co_return;
    }
    std::set<core::endpoint_id> leaving;
    std::set<core::host_id> hosts;
    std::size_t unreadable = 0;
    for (const std::optional<platform_entry>& entry : list->endpoints_)
    {
        unreadable += entry ? 0 : 1;
        if (entry && entry->state_ == "leaving")
        {
            leaving.insert(entry->name_);
        }
    }
    bool all_hosts_readable = true;
    for (const std::optional<platform_entry>& entry : list->hosts_)
    {
        unreadable += entry ? 0 : 1;
        all_hosts_readable = all_hosts_readable && entry;
        if (entry)
        {
            hosts.insert(entry->name_);
        }
    }
    if (unreadable != unreadable_entries_)
    {
        unreadable_entries_ = unreadable;
        drivers::log_event(
            drivers::log_level::warning,
            "list_entries_unreadable",
            {{"entries", unreadable}});
    }
    with_.board_.section<platform_section>().leaving_ = std::move(leaving);
    // An entry that cannot be read may be that of a host that seems missing.
    if (all_hosts_readable && local_replica_ != nullptr &&
        local_replica_->leads())
    {
        co_await retire_missing(std::move(hosts));
    }
}

awaitable<void> platform_monitor::retire_missing(std::set<core::host_id> listed)
{
    const core::time_point now = core::steady_now();
    const std::uint64_t base = local_replica_->state().fleet().version();
    const core::duration lag =
        with_.identity().settings_.platform_retire_delay_;
    const control::directory& fleet = local_replica_->state().fleet();
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
        // While the last command was submitted, the list may have changed, or
        // this process was paused.
        const bool is_outdated = core::steady_now() - now > poll_interval ||
                                 !local_replica_->leads();
        if (is_outdated)
        {
            co_return;
        }
        const control::retire_host command{
            make_command_origin("control"),
            host,
            "not in the platform's list",
            base};
        co_await control_client_.submit(command, command_timeout);
        drivers::log_event(
            drivers::log_level::warning, "host_retired", {{"peer", host}});
    }
}

} // namespace poplarroute::node
