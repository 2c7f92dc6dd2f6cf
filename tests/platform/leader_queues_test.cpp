// Bounds on the calls of hosts that a group member answers or holds.

#include "node/leader_queues.hpp"

#include <gtest/gtest.h>

#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

struct held_watch
{
    bool has_ended_ = false;
    bool is_newest_ = false;
};

asio::awaitable<void> hold(
    node::leader_queues& queues, core::host_id host, held_watch& out)
{
    const core::time_point until = core::steady_now() + core::duration{5'000};
    out.is_newest_ = co_await queues.hold_watch(std::move(host), until);
    out.has_ended_ = true;
}

// Guards against watches that pile up at a member when a host loses its
// connection again and again and asks anew.
TEST(leader_queues, a_newer_watch_of_a_host_ends_the_older_one)
{
    asio::io_context io{1};
    process member(io, "127.0.0.1:19624", "127.0.0.1:19624");
    node::leader_queues queues(member.with_);
    held_watch first;
    held_watch second;
    drivers::spawn(io, hold(queues, "h-1", first));
    io.run_for(std::chrono::milliseconds(10));
    drivers::spawn(io, hold(queues, "h-1", second));
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
    EXPECT_TRUE(first.has_ended_);
    EXPECT_FALSE(first.is_newest_);
    EXPECT_FALSE(second.has_ended_);
    queues.wake_watches();
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
    EXPECT_TRUE(second.has_ended_);
    EXPECT_TRUE(second.is_newest_);
}

TEST(leader_queues, watches_beyond_the_bound_are_refused_and_counted)
{
    asio::io_context io{1};
    process member(io, "127.0.0.1:19624", "127.0.0.1:19624");
    member.board_.section<node::settings_section>()
        .settings_.bounds_.max_watches_ = 2;
    node::leader_queues queues(member.with_);
    held_watch first;
    held_watch second;
    drivers::spawn(io, hold(queues, "h-1", first));
    drivers::spawn(io, hold(queues, "h-2", second));
    io.run_for(std::chrono::milliseconds(10));
    EXPECT_FALSE(queues.check_watch("h-2"));
    const auto dropped = queues.check_watch("h-3");
    ASSERT_TRUE(dropped);
    EXPECT_EQ(dropped->code_, core::errc::overloaded);
    EXPECT_NE(
        member.metrics_.text().find(
            "poplarroute_leader_calls_dropped_total{kind=\"watch\","
            "reason=\"held\"} 1"),
        std::string::npos);
    queues.wake_watches();
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
}

} // namespace
} // namespace poplarroute::platform
