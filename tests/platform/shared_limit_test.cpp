// The limit of an endpoint, shared by several hosts and their leader.

#include <filesystem>
#include <set>

#include <gtest/gtest.h>
#include <unistd.h>

#include "node/limit_client.hpp"
#include "tests/platform/lone_member.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr const char* member_address = "127.0.0.1:19587";
constexpr const char* endpoint = "i-1";
constexpr double rate = 12;
constexpr int host_count = 4;

/// An entry host that knows the leader and wants to send all the time.
struct asking_host : process
{
    asking_host(asio::io_context& io, int number)
        : process(
              io,
              "127.0.0.1:" + std::to_string(19'700 + number),
              member_address),
          limits_(with_)
    {
        node::endpoint_section& list = board_.section<node::endpoint_section>();
        list.limits_ =
            policy::endpoint_allowance(static_cast<std::uint64_t>(number + 1));
        node::listed_endpoint entry;
        entry.name_ = endpoint;
        list.endpoints_[endpoint] = {entry, {}};
        node::group_section& group = board_.section<node::group_section>();
        group.leader_ = member_address;
        group.hosts_ = host_count;
        drivers::spawn(io, ask_all_the_time());
    }

    policy::endpoint_allowance& known()
    {
        return board_.section<node::endpoint_section>().limits_;
    }

    node::limit_client limits_;
    bool is_asking_ = false;
    int granted_ = 0;

private:
    asio::awaitable<void> ask_all_the_time()
    {
        for (;;)
        {
            co_await drivers::sleep_for(core::duration{5});
            if (!is_asking_)
            {
                continue;
            }
            const node::send_permit permit = co_await limits_.take(endpoint);
            granted_ += permit.granted_ ? 1 : 0;
        }
    }
};

class shared_limit : public ::testing::Test
{
protected:
    shared_limit()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-limit-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder_);
        member_ = std::make_unique<lone_member>(
            io_, member_address, member_address, folder_.string());
        node::listed_endpoint entry;
        entry.name_ = endpoint;
        member_->board_.section<node::endpoint_section>()
            .endpoints_[endpoint] = {entry, {}};
        for (int number = 0; number < host_count; ++number)
        {
            hosts_.push_back(std::make_unique<asking_host>(io_, number));
        }
        for (int step = 0; step < 3'000 && !member_->replica_->leads(); ++step)
        {
            run_for(core::duration{1});
        }
        EXPECT_TRUE(member_->replica_->leads());
    }

    ~shared_limit() override
    {
        std::filesystem::remove_all(folder_);
    }

    void run_for(core::duration time)
    {
        io_.restart();
        io_.run_for(time.chrono());
    }

    void tell_limit(asking_host& host)
    {
        host.limits_.record(endpoint, {rate, core::steady_now()});
    }

    /// Lets the first hosts ask for a time.
    /// \return the requests that they may send.
    int grants_of(int hosts, core::duration time)
    {
        int before = 0;
        for (int number = 0; number < hosts; ++number)
        {
            hosts_[static_cast<std::size_t>(number)]->is_asking_ = true;
        }
        for (const auto& host : hosts_)
        {
            before += host->granted_;
        }
        run_for(time);
        int after = 0;
        for (const auto& host : hosts_)
        {
            after += host->granted_;
        }
        return after - before;
    }

    /// \return what a host that has heard nothing is told.
    std::optional<node::watch_reply> watch(asking_host& host)
    {
        std::optional<node::watch_reply> out;
        drivers::spawn(
            io_,
            [](asking_host& host,
               std::optional<node::watch_reply>& out) -> asio::awaitable<void>
            {
                node::watch_request request;
                request.host_ = "h";
                request.wait_ms_ = 200;
                const auto reply = co_await node::ask<node::watch_reply>(
                    host.with_.peers_,
                    member_address,
                    node::method::catalog_watch,
                    request,
                    core::duration{1'000});
                if (core::is_ok(reply))
                {
                    out = core::value(reply);
                }
            }(host, out));
        run_for(core::duration{500});
        return out;
    }

    asio::io_context io_{1};
    std::filesystem::path folder_;
    std::unique_ptr<lone_member> member_;
    std::vector<std::unique_ptr<asking_host>> hosts_;
};

// Guards against hosts that each keep the limit and together exceed it, and
// against a share that hosts without requests leave unused.
TEST_F(shared_limit, is_kept_by_all_hosts_together_and_used)
{
    for (const auto& host : hosts_)
    {
        tell_limit(*host);
    }
    const int by_all = grants_of(host_count, core::duration{3'000});
    EXPECT_LE(by_all, 1.5 * rate * 3 + 5);
    EXPECT_GE(by_all, 0.8 * rate * 3);
    for (const auto& host : hosts_)
    {
        host->is_asking_ = false;
    }
    const int by_one = grants_of(1, core::duration{3'000});
    EXPECT_LE(by_one, 1.5 * rate * 3 + 5);
    EXPECT_GE(by_one, 0.8 * rate * 3);
}

// Guards against hosts that go on as before until an endpoint tells each.
TEST_F(shared_limit, is_told_to_hosts_that_have_not_heard)
{
    tell_limit(*hosts_[0]);
    run_for(core::duration{50});
    const std::optional<node::watch_reply> heard = watch(*hosts_[1]);
    ASSERT_TRUE(heard.has_value());
    ASSERT_EQ(heard->limits_.size(), 1U);
    EXPECT_EQ(heard->limits_[0].endpoint_, endpoint);
    EXPECT_TRUE(heard->limits_[0].limited_);
    EXPECT_EQ(heard->limits_[0].milli_per_second_, 12'000);
}

// Guards against hosts that wake each other without end by the limit of an
// endpoint that has left the list.
TEST_F(shared_limit, of_an_endpoint_that_has_left_is_no_news)
{
    hosts_[0]->limits_.record("i-gone", {rate, core::steady_now()});
    run_for(core::duration{100});
    const std::optional<node::watch_reply> heard = watch(*hosts_[1]);
    ASSERT_TRUE(heard.has_value());
    EXPECT_TRUE(heard->limits_.empty());
    EXPECT_EQ(heard->limit_revision_, 0U);
    EXPECT_EQ(hosts_[0]->known().statements().limit_of("i-gone"), rate);
    node::forget_unlisted_limits(
        hosts_[0]->board_.section<node::endpoint_section>());
    EXPECT_EQ(hosts_[0]->known().statements().limit_of("i-gone"), std::nullopt);
}

// Guards against hosts that stop or send without bound once the leader is gone.
TEST_F(shared_limit, hosts_without_a_leader_keep_to_their_shares)
{
    for (const auto& host : hosts_)
    {
        tell_limit(*host);
    }
    run_for(core::duration{50});
    for (const auto& host : hosts_)
    {
        host->board_.section<node::group_section>().leader_ = "127.0.0.1:19588";
    }
    const int granted = grants_of(host_count, core::duration{4'000});
    EXPECT_LE(granted, 1.5 * rate * 4 + 5);
    EXPECT_GE(granted, 4);
}

} // namespace
} // namespace poplarroute::platform
