#include "node/endpoint_list_poller.hpp"

#include <utility>

#include "drivers/log.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// Between two readings. The list itself lags by about as much.
constexpr core::duration read_every{700};

/// Before a reading that failed is tried again.
constexpr core::duration retry_every{400};
constexpr core::duration check_every{100};
constexpr core::duration page_deadline{900};
constexpr int most_pages = 400;
constexpr int status_ok = 200;

} // namespace

list_reader::list_reader(
    context& with, const wire_dialect& dialect, std::function<bool()> due)
    : with_(with), dialect_(dialect), due_(std::move(due))
{
}

void list_reader::start()
{
    drivers::spawn(with_.io_, run());
}

awaitable<void> list_reader::run()
{
    for (;;)
    {
        if (!due_())
        {
            co_await drivers::sleep_for(check_every);
            continue;
        }
        const bool read = co_await read_all();
        if (read != reachable_)
        {
            log_event(
                read ? log_level::info : log_level::warning,
                read ? "list_regained" : "list_lost",
                {{"endpoints",
                  with_.board_.section<endpoint_section>().endpoints_.size()}});
            reachable_ = read;
        }
        co_await drivers::sleep_for(read ? read_every : retry_every);
    }
}

bool list_reader::differs(const std::vector<listed_endpoint>& list) const
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
            (held.cold_for_.ms_ > 0) == (item.cold_for_.ms_ > 0);
        if (!same)
        {
            return true;
        }
    }
    return false;
}

awaitable<bool> list_reader::read_all()
{
    const std::string address =
        with_.board_.section<settings_section>().settings_.list_address_;
    const core::time_point began = core::steady_now();
    std::vector<listed_endpoint> list;
    std::string page;
    std::size_t unreadable = 0;
    for (int pages = 0; pages < most_pages; ++pages)
    {
        drivers::http_call call = dialect_.list_call(address, page);
        call.timeout_ = page_deadline;
        const auto reply = co_await with_.http_.request(std::move(call));
        with_.metrics_.count("poplarroute_list_calls_total");
        if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
        {
            co_return false;
        }
        auto read = dialect_.decode_list(core::value(reply).body_);
        if (!read)
        {
            co_return false;
        }
        unreadable += read->unreadable_;
        for (listed_endpoint& item : read->endpoints_)
        {
            list.push_back(std::move(item));
        }
        page = std::move(read->next_);
        if (page.empty())
        {
            break;
        }
    }
    endpoint_section& section = with_.board_.section<endpoint_section>();
    if (!differs(list))
    {
        section.read_at_ = began;
        co_return true;
    }
    section.epoch_ = with_.board_.section<settings_section>().epoch_;
    take_list(section, list, began);
    log_event(
        log_level::info,
        "list_changed",
        {{"endpoints", list.size()},
         {"unreadable", unreadable},
         {"revision", section.revision_}});
    co_return true;
}

} // namespace poplarroute::node
