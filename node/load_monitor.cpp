#include "node/load_monitor.hpp"

#include <algorithm>
#include <vector>

#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration check_interval{100};

/// Lateness that is logged. Leaders are lost after a few hundred milliseconds.
constexpr core::duration logged_lateness{150};
constexpr core::duration min_log_interval{1'000};

/// Number of calls that a line names, those made most often first.
constexpr std::size_t named_calls = 4;

} // namespace

load_monitor::load_monitor(context& with) : with_(with) {}

void load_monitor::start()
{
    drivers::spawn_loop(
        with_.io_,
        "load_monitor",
        [this]()
        {
            return run();
        });
}

awaitable<void> load_monitor::run()
{
    for (;;)
    {
        const core::time_point due = core::steady_now() + check_interval;
        co_await drivers::sleep_for(check_interval);
        const core::time_point now = core::steady_now();
        const core::duration late = now - due;
        largest_lateness_ = std::max(largest_lateness_, late);
        if (late >= logged_lateness && now - reported_at_ >= min_log_interval)
        {
            report_late(late, now);
        }
    }
}

void load_monitor::report_late(core::duration late, core::time_point now)
{
    std::vector<std::pair<std::uint64_t, std::string>> made;
    for (const auto& [name, count] : with_.calls_.counts())
    {
        made.emplace_back(count - reported_calls_[name], name);
    }
    std::sort(made.rbegin(), made.rend());
    std::string most;
    for (std::size_t index = 0; index < std::min(named_calls, made.size());
         ++index)
    {
        most += (most.empty() ? "" : ",") + made[index].second + ":" +
                std::to_string(made[index].first);
    }
    drivers::log_event(
        drivers::log_level::warning,
        "loop_late",
        {{"late_ms", late.ms_},
         {"since_ms", (now - reported_at_).ms_},
         {"calls", most}});
    reported_calls_ = with_.calls_.counts();
    reported_at_ = now;
}

void load_monitor::set_metrics()
{
    with_.metrics_.set(
        "poplarroute_loop_late_ms",
        {},
        static_cast<double>(largest_lateness_.ms_));
    largest_lateness_ = {};
    for (const auto& [name, count] : with_.calls_.counts())
    {
        with_.metrics_.set(
            "poplarroute_peer_calls",
            {{"call", name}},
            static_cast<double>(count));
    }
}

} // namespace poplarroute::node
