#include "node/leader_queues.hpp"

#include <boost/asio/redirect_error.hpp>

#include "drivers/log.hpp"
#include "node/fleet_sections.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Shortest time between two log lines about dropped calls.
constexpr core::duration log_interval{1'000};

} // namespace

leader_queues::leader_queues(context& with) : with_(with) {}

core::error leader_queues::drop(policy::call_kind kind, const char* reason)
{
    with_.metrics_.count(
        "poplarroute_leader_calls_dropped_total",
        {{"kind", policy::name_of(kind)}, {"reason", reason}});
    std::int64_t& dropped = dropped_[static_cast<std::size_t>(kind)];
    ++dropped;
    const core::time_point now = core::steady_now();
    if (now - logged_at_ >= log_interval)
    {
        logged_at_ = now;
        log_event(
            log_level::warning,
            "leader_calls_dropped",
            {{"kind", policy::name_of(kind)},
             {"reason", reason},
             {"parts",
              dropped_[static_cast<std::size_t>(policy::call_kind::part)]},
             {"settlements",
              dropped_[static_cast<std::size_t>(
                  policy::call_kind::settlement)]},
             {"watches",
              dropped_[static_cast<std::size_t>(policy::call_kind::watch)]},
             {"held", held_.size()}});
        dropped_.fill(0);
    }
    return {
        core::errc::overloaded,
        std::string("the member drops calls: ") + reason};
}

std::optional<core::error> leader_queues::check(policy::call_kind kind)
{
    const fleet_bounds& limits =
        with_.board_.section<settings_section>().settings_.bounds_;
    bounds_.set_rate(limits.leader_calls_per_second_);
    if (bounds_.admit(kind, core::steady_now()))
    {
        return std::nullopt;
    }
    return drop(kind, "rate");
}

std::optional<core::error> leader_queues::check_watch(const core::host_id& host)
{
    const auto most =
        static_cast<std::size_t>(with_.board_.section<settings_section>()
                                     .settings_.bounds_.max_watches_);
    if (held_.size() >= most && held_.count(host) == 0)
    {
        return drop(policy::call_kind::watch, "held");
    }
    return check(policy::call_kind::watch);
}

awaitable<bool> leader_queues::hold_watch(
    core::host_id host, core::time_point until)
{
    auto held = std::make_shared<held_watch>(with_.io_);
    const auto [slot, is_first] = held_.try_emplace(host, held);
    if (!is_first)
    {
        slot->second->is_superseded_ = true;
        slot->second->timer_.cancel();
        slot->second = held;
    }
    held->timer_.expires_after((until - core::steady_now()).chrono());
    drivers::error_code woken;
    co_await held->timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
    if (!held->is_superseded_)
    {
        held_.erase(host);
    }
    co_return !held->is_superseded_;
}

void leader_queues::wake_watches()
{
    for (const auto& [host, held] : held_)
    {
        held->timer_.cancel();
    }
}

} // namespace poplarroute::node
