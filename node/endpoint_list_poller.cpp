#include "node/endpoint_list_poller.hpp"

#include <utility>

#include "drivers/log.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// Polling interval; the platform's list itself lags by about as much.
constexpr core::duration poll_interval{700};

/// Time until a failed read is retried.
constexpr core::duration retry_interval{400};
constexpr core::duration idle_interval{100};
constexpr core::duration page_timeout{900};
constexpr int max_pages = 400;

/// A list with more endpoints than this is refused.
constexpr std::size_t max_endpoints = 50'000;
constexpr int status_ok = 200;

} // namespace

endpoint_list_poller::endpoint_list_poller(
    context& with, const wire_codec& codec, std::function<bool()> should_poll)
    : with_(with), codec_(codec), should_poll_(std::move(should_poll))
{
}

void endpoint_list_poller::start()
{
    drivers::spawn(with_.io_, run());
}

awaitable<void> endpoint_list_poller::run()
{
    for (;;)
    {
        if (!should_poll_())
        {
            co_await drivers::sleep_for(idle_interval);
            continue;
        }
        const bool read = co_await read_list();
        if (read != reachable_)
        {
            log_event(
                read ? log_level::info : log_level::warning,
                read ? "list_regained" : "list_lost",
                {{"endpoints",
                  with_.board_.section<endpoint_section>().endpoints_.size()}});
            reachable_ = read;
        }
        co_await drivers::sleep_for(read ? poll_interval : retry_interval);
    }
}

bool endpoint_list_poller::differs_from_known(
    const std::vector<listed_endpoint>& list) const
{
    const auto& known = with_.board_.section<endpoint_section>().endpoints_;
    if (known.size() != list.size())
    {
        return true;
    }
    for (const listed_endpoint& item : list)
    {
        const auto found = known.find(item.name_);
        if (found == known.end())
        {
            return true;
        }
        const listed_endpoint& held = found->second.listed_;
        const bool same =
            held.service_ == item.service_ && held.address_ == item.address_ &&
            held.zone_ == item.zone_ && held.leaving_ == item.leaving_ &&
            held.reads_prompts_ == item.reads_prompts_ &&
            held.started_at_ms_ == item.started_at_ms_ &&
            held.version_ == item.version_ &&
            (held.cold_time_left_.ms_ > 0) == (item.cold_time_left_.ms_ > 0);
        if (!same)
        {
            return true;
        }
    }
    return false;
}

awaitable<bool> endpoint_list_poller::read_list()
{
    const std::string address =
        with_.board_.section<settings_section>().settings_.list_address_;
    const core::time_point started_at = core::steady_now();
    std::vector<listed_endpoint> list;
    std::string page;
    std::size_t unreadable = 0;
    std::string first_unreadable;
    for (int pages = 0; pages < max_pages; ++pages)
    {
        drivers::http_call call = codec_.endpoint_list_call(address, page);
        call.timeout_ = page_timeout;
        const auto reply = co_await with_.http_.request(std::move(call));
        with_.metrics_.count("poplarroute_list_calls_total");
        if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
        {
            co_return false;
        }
        auto read = codec_.decode_endpoint_page(core::value(reply).body_);
        if (!read)
        {
            log_event(
                log_level::warning,
                "list_unreadable",
                {{"page", pages}, {"bytes", core::value(reply).body_.size()}});
            co_return false;
        }
        if (unreadable == 0 && !read->unreadable_.empty())
        {
            first_unreadable = std::to_string(pages) + ":" +
                               std::to_string(read->unreadable_.front());
        }
        unreadable += read->unreadable_.size();
        for (listed_endpoint& item : read->endpoints_)
        {
            list.push_back(std::move(item));
        }
        if (list.size() > max_endpoints)
        {
            log_event(
                log_level::error,
                "list_too_long",
                {{"page", pages}, {"endpoints", list.size()}});
            co_return false;
        }
        page = std::move(read->next_);
        if (page.empty())
        {
            break;
        }
    }
    if (unreadable != unreadable_entries_)
    {
        unreadable_entries_ = unreadable;
        log_event(
            log_level::warning,
            "list_entries_unreadable",
            {{"entries", unreadable},
             {"first_page_and_byte", first_unreadable}});
    }
    with_.metrics_.set(
        "poplarroute_list_entries_unreadable",
        {},
        static_cast<double>(unreadable));
    endpoint_section& section = with_.board_.section<endpoint_section>();
    const core::time_point now = core::steady_now();
    update_notices(section, list, now);
    for (listed_endpoint& item : list)
    {
        item.leaving_ =
            item.leaving_ || section.notices_.is_leaving(item.name_, now);
    }
    if (!differs_from_known(list))
    {
        section.read_at_ = started_at;
        co_return true;
    }
    section.epoch_ = with_.board_.section<settings_section>().epoch_;
    replace_endpoints(section, list, started_at);
    log_event(
        log_level::info,
        "list_changed",
        {{"endpoints", list.size()},
         {"unreadable", unreadable},
         {"revision", section.revision_}});
    co_return true;
}

} // namespace poplarroute::node
