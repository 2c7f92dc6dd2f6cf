#include "node/endpoint_list_poller.hpp"

#include <algorithm>
#include <utility>

#include "core/digest.hpp"
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

/// Hosts that read the list themselves use this part of the calls together.
constexpr std::int64_t shared_calls_divisor = 2;
constexpr core::duration max_shared_interval{10'000};
constexpr std::int64_t ms_per_second = 1'000;

/// Longest random wait before the first read: hosts lose a leader at once.
constexpr core::duration max_start_spread{300};

/// Shortest time between two reads.
constexpr core::duration min_pause{100};
constexpr core::duration page_timeout{900};
constexpr std::size_t max_pages = 400;

/// Largest number of endpoints that one line of the log names.
constexpr std::size_t max_logged_endpoints = 16;

/// A list with more endpoints than this is refused.
constexpr std::size_t max_endpoints = 50'000;
constexpr int status_ok = 200;

} // namespace

endpoint_list_poller::endpoint_list_poller(
    context& with,
    const wire_codec& codec,
    std::function<bool()> should_poll,
    bool shares_calls)
    : with_(with),
      codec_(codec),
      should_poll_(std::move(should_poll)),
      shares_calls_(shares_calls),
      random_(
          static_cast<std::uint32_t>(core::stable_hash(with.identity().host_)))
{
}

void endpoint_list_poller::start()
{
    drivers::spawn_loop(
        with_.io_,
        "endpoint_list_poller",
        [this]()
        {
            return run();
        });
}

/// \return the time between two reads. Hosts that read the list themselves
/// together make no more than a part of the calls that the list serves: a new
/// leader has to read it beside them.
core::duration endpoint_list_poller::interval() const
{
    const std::int64_t hosts =
        with_.board_.section<group_section>().hosts_.value_or(1);
    const std::int64_t rate = with_.board_.section<settings_section>()
                                  .settings_.list_calls_per_second_;
    if (!shares_calls_ || rate <= 0)
    {
        return poll_interval;
    }
    const auto pages =
        std::max<std::int64_t>(static_cast<std::int64_t>(pages_.size()), 1);
    return std::clamp(
        core::duration{
            hosts * pages * ms_per_second * shared_calls_divisor / rate},
        poll_interval,
        max_shared_interval);
}

awaitable<void> endpoint_list_poller::run()
{
    for (;;)
    {
        if (!should_poll_())
        {
            was_polling_ = false;
            co_await drivers::sleep_for(idle_interval);
            continue;
        }
        const bool begins_with_others = shares_calls_ && !was_polling_;
        was_polling_ = true;
        if (begins_with_others)
        {
            const core::duration spread =
                std::min(interval(), max_start_spread);
            co_await drivers::sleep_for(
                {std::uniform_int_distribution<std::int64_t>(0, spread.ms_)(
                    random_)});
        }
        const core::time_point started_at = core::steady_now();
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
        // The time that a read takes is not added to the interval.
        const core::duration retry =
            shares_calls_ ? interval() : retry_interval;
        const core::time_point due = started_at + (read ? interval() : retry);
        co_await drivers::sleep_for(
            std::max(due - core::steady_now(), min_pause));
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

/// \return names of endpoints that were not leaving in the list before, for the
/// log.
std::string endpoint_list_poller::newly_leaving(
    const std::vector<listed_endpoint>& list) const
{
    const auto& known = with_.board_.section<endpoint_section>().endpoints_;
    std::string out;
    std::size_t named = 0;
    for (const listed_endpoint& item : list)
    {
        const auto found = known.find(item.name_);
        const bool was_leaving =
            found != known.end() && found->second.listed_.leaving_;
        if (item.leaving_ && !was_leaving && named < max_logged_endpoints)
        {
            out += (named == 0 ? "" : ",") + item.name_;
            ++named;
        }
    }
    return out;
}

/// \return the content of a page; nullptr if it cannot be read.
/// \param index position of the page in the list.
const endpoint_page* endpoint_list_poller::decode(
    std::size_t index, std::string_view text)
{
    const std::uint64_t digest = core::stable_hash(text);
    const bool is_known = index < pages_.size() &&
                          pages_[index].digest_ == digest &&
                          pages_[index].bytes_ == text.size();
    if (is_known)
    {
        return &pages_[index].content_;
    }
    auto content = codec_.decode_endpoint_page(text);
    if (!content)
    {
        log_event(
            log_level::warning,
            "list_unreadable",
            {{"page", index}, {"bytes", text.size()}});
        return nullptr;
    }
    pages_.resize(std::max(pages_.size(), index + 1));
    pages_[index] = {digest, text.size(), std::move(*content)};
    with_.metrics_.count("poplarroute_list_pages_decoded_total");
    return &pages_[index].content_;
}

/// Records the entries of the list that could not be read.
void endpoint_list_poller::record_unreadable()
{
    std::size_t unreadable = 0;
    std::string first_unreadable;
    for (std::size_t index = 0; index < pages_.size(); ++index)
    {
        const std::vector<std::size_t>& found =
            pages_[index].content_.unreadable_;
        if (unreadable == 0 && !found.empty())
        {
            first_unreadable =
                std::to_string(index) + ":" + std::to_string(found.front());
        }
        unreadable += found.size();
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
}

awaitable<bool> endpoint_list_poller::read_pages()
{
    const std::string address =
        with_.board_.section<settings_section>().settings_.list_address_;
    std::string next;
    std::size_t endpoints = 0;
    for (std::size_t index = 0; index < max_pages; ++index)
    {
        drivers::http_call call = codec_.endpoint_list_call(address, next);
        call.timeout_ = page_timeout;
        const auto reply = co_await with_.http_.request(std::move(call));
        with_.metrics_.count("poplarroute_list_calls_total");
        if (!core::is_ok(reply) || core::value(reply).status_ != status_ok)
        {
            co_return false;
        }
        const endpoint_page* page = decode(index, core::value(reply).body_);
        if (page == nullptr)
        {
            co_return false;
        }
        endpoints += page->endpoints_.size();
        if (endpoints > max_endpoints)
        {
            log_event(
                log_level::error,
                "list_too_long",
                {{"page", index}, {"endpoints", endpoints}});
            co_return false;
        }
        next = page->next_;
        if (next.empty())
        {
            pages_.resize(index + 1);
            break;
        }
    }
    co_return true;
}

awaitable<bool> endpoint_list_poller::read_list()
{
    const core::time_point started_at = core::steady_now();
    const bool complete = co_await read_pages();
    if (!complete)
    {
        co_return false;
    }
    record_unreadable();
    endpoint_section& section = with_.board_.section<endpoint_section>();
    std::vector<listed_endpoint> list;
    for (const known_page& page : pages_)
    {
        list.insert(
            list.end(),
            page.content_.endpoints_.begin(),
            page.content_.endpoints_.end());
    }
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
    const std::string leaving = newly_leaving(list);
    replace_endpoints(section, list, started_at);
    log_event(
        log_level::info,
        "list_changed",
        {{"endpoints", list.size()},
         {"leaving", leaving},
         {"unreadable", unreadable_entries_},
         {"read_ms", (now - started_at).ms_},
         {"revision", section.revision_}});
    co_return true;
}

} // namespace poplarroute::node
