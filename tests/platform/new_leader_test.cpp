// What a member that has just been elected may grant: it does not know yet how
// many hosts there are, or what they have used.

#include <algorithm>
#include <filesystem>
#include <functional>
#include <optional>

#include <gtest/gtest.h>
#include <unistd.h>

#include "tests/platform/lone_member.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr const char* member_address = "127.0.0.1:19543";
constexpr const char* host_address = "127.0.0.1:19544";
constexpr std::int64_t rate = 100'000;

constexpr const char* configuration = R"({"version":1,"routes":[],
  "services":[],"tenants":[
    {"name":"acme","apiKeys":["k"],"ratePerS":100000,"burst":100000}]})";

class new_leader : public ::testing::Test
{
protected:
    new_leader()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-leader-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder_);
    }

    ~new_leader() override
    {
        std::filesystem::remove_all(folder_);
    }

    /// Runs the processes in short steps until a condition holds.
    static void run_until(
        asio::io_context& io, const std::function<bool()>& condition)
    {
        constexpr int max_steps = 5'000;
        for (int step = 0; step < max_steps && !condition(); ++step)
        {
            io.restart();
            io.run_for(std::chrono::milliseconds(1));
        }
        ASSERT_TRUE(condition());
    }

    template <class Reply, class Request>
    static Reply call(
        asio::io_context& io,
        process& from,
        const char* method,
        const Request& request)
    {
        std::optional<Reply> out;
        drivers::spawn(
            io,
            [](process& from,
               const char* method,
               Request request,
               std::optional<Reply>& out) -> asio::awaitable<void>
            {
                const core::result<Reply> reply = co_await node::ask<Reply>(
                    from.with_.peers_,
                    member_address,
                    method,
                    request,
                    core::duration{1'000});
                out = core::is_ok(reply) ? core::value(reply) : Reply();
            }(from, method, request, out));
        run_until(
            io,
            [&out]()
            {
                return out.has_value();
            });
        return *out;
    }

    static node::watch_reply watch(
        asio::io_context& io, process& from, std::int64_t told_hosts)
    {
        node::watch_request request;
        request.host_ = host_address;
        request.hosts_ = told_hosts;
        return call<node::watch_reply>(
            io, from, node::method::catalog_watch, request);
    }

    std::filesystem::path folder_;
};

// Guards against a request that crashes engines which keep their names: it was
// never refused in a fleet of a few engines.
TEST_F(new_leader, refuses_a_request_that_crashed_one_endpoint_three_times)
{
    constexpr const char* digest = "d";
    asio::io_context io{1};
    lone_member member(io, member_address, member_address, folder_.string());
    process host(io, host_address, member_address);
    run_until(
        io,
        [&member]()
        {
            return member.replica_->leads();
        });
    for (int crash = 0; crash < 3; ++crash)
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
        node::crash_message report;
        report.digest_ = digest;
        report.crash_ = "i-1";
        report.weight_ = static_cast<int>(policy::evidence::just_started);
        report.ran_ms_ = 10;
        call<node::empty_reply>(io, host, node::method::crash_report, report);
    }
    const std::vector<std::string> refused = watch(io, host, 0).crashers_;
    EXPECT_EQ(std::count(refused.begin(), refused.end(), digest), 1);
}

TEST_F(new_leader, does_not_state_a_number_of_hosts_that_it_cannot_know)
{
    asio::io_context io{1};
    lone_member member(io, member_address, member_address, folder_.string());
    process host(io, host_address, member_address);
    run_until(
        io,
        [&member]()
        {
            return member.replica_->leads();
        });
    EXPECT_EQ(watch(io, host, 0).hosts_, 0);
    EXPECT_EQ(watch(io, host, 7).hosts_, 7);
    io.restart();
    io.run_for(std::chrono::milliseconds(4'000));
    EXPECT_EQ(watch(io, host, 7).hosts_, 1);
}

// Guards against a leader that is kept busy by a storm of changes: 294 hosts
// asked anew for each one, 3,500 times per second.
TEST_F(new_leader, tells_changes_in_quick_succession_together)
{
    asio::io_context io{1};
    lone_member member(io, member_address, member_address, folder_.string());
    process host(io, host_address, member_address);
    run_until(
        io,
        [&member]()
        {
            return member.replica_->leads();
        });
    for (int other = 0; other < 300; ++other)
    {
        node::watch_request request;
        request.host_ = "other-" + std::to_string(other);
        call<node::watch_reply>(io, host, node::method::catalog_watch, request);
    }
    member.board_.section<node::settings_section>().settings_.zones_ = {"z"};
    int replies = 0;
    std::uint64_t known = 0;
    const auto follow = [&]() -> asio::awaitable<void>
    {
        for (;;)
        {
            node::watch_request request;
            request.host_ = host_address;
            request.wait_ms_ = 800;
            request.revision_ = known;
            const auto reply = co_await node::ask<node::watch_reply>(
                host.with_.peers_,
                member_address,
                node::method::catalog_watch,
                request,
                core::duration{1'500});
            replies += core::is_ok(reply) ? 1 : 0;
            known = core::is_ok(reply) ? core::value(reply).revision_ : known;
        }
    };
    drivers::spawn(io, follow());
    int changes = 0;
    const auto change = [&]() -> asio::awaitable<void>
    {
        co_await member.controller_->submit_text(configuration);
        for (; changes < 40; ++changes)
        {
            co_await member.controller_->set_zone("z", changes % 2 == 0);
            co_await drivers::sleep_for(core::duration{10});
        }
    };
    drivers::spawn(io, change());
    io.restart();
    io.run_for(std::chrono::milliseconds(1'200));
    EXPECT_GE(member.replica_->state().revision(), 20U);
    // One in 300 ms, and those without news after 800 ms.
    EXPECT_LE(replies, 6);
    EXPECT_GE(replies, 2);
}

// Guards against a new leader that grants an account a burst which it has
// accrued as a follower, where nobody charged it.
TEST_F(new_leader, has_no_tokens_but_those_that_hosts_report)
{
    {
        asio::io_context io{1};
        lone_member member(
            io, member_address, member_address, folder_.string());
        run_until(
            io,
            [&member]()
            {
                return member.replica_->leads();
            });
        bool accepted = false;
        drivers::spawn(
            io,
            [](node::catalog_controller& controller,
               bool& accepted) -> asio::awaitable<void>
            {
                const node::operator_call_result result =
                    co_await controller.submit_text(configuration);
                accepted = result.accepted_;
            }(*member.controller_, accepted));
        run_until(
            io,
            [&accepted]()
            {
                return accepted;
            });
    }
    asio::io_context io{1};
    lone_member member(io, member_address, member_address, folder_.string());
    process host(io, host_address, member_address);
    run_until(
        io,
        [&member]()
        {
            return member.replica_->leads();
        });
    node::settle_request request;
    request.host_ = host_address;
    request.uses_.push_back({"acme", 0, 0});
    const auto reply = call<node::settle_reply>(
        io, host, node::method::meters_settle, request);
    ASSERT_EQ(reply.levels_.size(), 1U);
    EXPECT_LT(reply.levels_[0].level_, rate / 10);
}

} // namespace
} // namespace poplarroute::platform
