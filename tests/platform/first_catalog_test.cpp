// What a host that starts knows before it has heard from a leader: an older
// catalog than before, in which a key may be valid that was withdrawn
// meanwhile, and not how many hosts share the accounts' limits.

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "node/catalog_watcher.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr const char* member_address = "127.0.0.1:19530";
constexpr const char* host_address = "127.0.0.1:19531";

constexpr const char* configuration = R"({"version":1,"routes":[],
  "services":[],
  "tenants":[{"name":"acme","apiKeys":["k"],"ratePerS":1000,"burst":1000}]})";

/// A member that does not lead and answers watches with its catalog.
struct lone_member : listening_process
{
    lone_member(
        drivers::asio::io_context& io, bool current, std::int64_t hosts = 0)
        : listening_process(io, member_address, member_address)
    {
        calls_.add_typed<node::watch_request, node::watch_reply>(
            node::method::catalog_watch,
            node::allowed_callers::host,
            [current, hosts](drivers::peer_identity, node::watch_request)
                -> drivers::asio::awaitable<core::result<node::watch_reply>>
            {
                node::watch_reply out;
                out.revision_ = 5;
                out.version_ = 1;
                out.current_ = current;
                out.hosts_ = hosts;
                out.text_ = core::binary(configuration);
                co_return out;
            });
        port_.start();
    }
};

struct starting_host : process
{
    explicit starting_host(drivers::asio::io_context& io)
        : process(io, host_address, member_address),
          rollouts_(with_),
          watcher_(with_, codec_, rollouts_)
    {
        watcher_.start();
    }

    node::rollout_client rollouts_;
    node::catalog_watcher watcher_;
};

TEST(first_catalog, a_member_that_is_cut_off_is_believed_only_after_a_wait)
{
    drivers::asio::io_context io;
    lone_member member(io, false);
    starting_host host(io);
    io.run_for(std::chrono::milliseconds(2'000));
    EXPECT_EQ(host.catalog().view_, nullptr);
    io.run_for(std::chrono::milliseconds(2'000));
    EXPECT_NE(host.catalog().view_, nullptr);
}

TEST(first_catalog, a_member_whose_catalog_is_current_is_believed_at_once)
{
    drivers::asio::io_context io;
    lone_member member(io, true);
    starting_host host(io);
    io.run_for(std::chrono::milliseconds(500));
    EXPECT_NE(host.catalog().view_, nullptr);
}

/// \return the number of calls of the account that a host admits in a second.
int admit_for_a_second(drivers::asio::io_context& io, starting_host& host)
{
    constexpr int steps = 100;
    constexpr std::chrono::milliseconds step{10};
    policy::account_meter& meter =
        host.board_.section<node::meter_section>().meter_;
    int admitted = 0;
    for (int index = 0; index < steps; ++index)
    {
        io.restart();
        io.run_for(step);
        while (meter.admit("acme", 1, core::steady_now()))
        {
            ++admitted;
        }
    }
    return admitted;
}

// Guards against hosts that start without a leader and each use the whole limit
// of an account.
TEST(first_catalog, a_host_without_a_leader_has_no_share_of_a_limit)
{
    drivers::asio::io_context io;
    lone_member member(io, true);
    starting_host host(io);
    io.run_for(std::chrono::milliseconds(500));
    ASSERT_NE(host.catalog().view_, nullptr);
    EXPECT_EQ(admit_for_a_second(io, host), 0);
}

TEST(first_catalog, a_host_takes_the_number_of_hosts_from_any_member)
{
    constexpr std::int64_t hosts = 10;
    constexpr int rate = 1'000;
    drivers::asio::io_context io;
    lone_member member(io, true, hosts);
    starting_host host(io);
    io.run_for(std::chrono::milliseconds(500));
    const int admitted = admit_for_a_second(io, host);
    EXPECT_GT(admitted, 0);
    EXPECT_LE(admitted, 3 * rate / hosts);
}

} // namespace
} // namespace poplarroute::platform
