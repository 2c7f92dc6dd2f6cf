#include "policy/account_meter.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

const std::map<core::account_id, rate_limit> limits{{"a", {1'000, 1'000}}};

void settle(
    account_meter& host,
    meter_ledger& ledger,
    time_point now,
    const std::string& name = "host-1")
{
    for (const unsettled_usage& use : host.take_unsettled(now))
    {
        host.settled(
            use.account_,
            ledger.settle(use.account_, name, use.used_, use.share_, now),
            now);
    }
}

TEST(account_meter, refuses_beyond_the_burst)
{
    account_meter host;
    const time_point now{10'000};
    host.set_limits(limits, 1, now);
    EXPECT_TRUE(host.admit("a", 1'000, now));
    EXPECT_FALSE(host.admit("a", 1, now));
    EXPECT_GE(host.wait_for("a", 500, now).ms_, 500);
    EXPECT_LE(host.wait_for("a", 500, now).ms_, 750);
}

TEST(account_meter, learns_what_other_hosts_have_used)
{
    meter_ledger ledger;
    account_meter one;
    account_meter other;
    time_point now{10'000};
    ledger.set_limits(limits, now);
    one.set_limits(limits, 2, now);
    other.set_limits(limits, 2, now);
    settle(one, ledger, now, "host-1");
    settle(other, ledger, now, "host-2");
    settle(one, ledger, now, "host-1");
    EXPECT_TRUE(one.admit("a", 900, now));
    settle(one, ledger, now, "host-1");
    settle(other, ledger, now, "host-2");
    EXPECT_FALSE(other.admit("a", 900, now));
    EXPECT_TRUE(other.admit("a", 100, now));
}

TEST(account_meter, uses_its_share_when_there_is_no_ledger)
{
    account_meter host;
    time_point now{10'000};
    host.set_limits(limits, 4, now);
    host.set_no_ledger(true);
    now = now + duration{2'000};
    EXPECT_FALSE(host.admit("a", 300, now));
    EXPECT_TRUE(host.admit("a", 250, now));
}

TEST(account_meter, uses_half_its_share_when_it_may_be_partitioned)
{
    account_meter host;
    time_point now{10'000};
    host.set_limits(limits, 4, now);
    now = now + duration{2'000};
    EXPECT_FALSE(host.admit("a", 130, now));
    EXPECT_TRUE(host.admit("a", 125, now));
}

// Guards against refusals within the limit after a time without a leader: a new
// ledger started with the lowest of the reported levels, each of which is only
// one host's share, and debited the hosts' usage within their shares once more.
TEST(account_meter, a_new_ledger_adds_up_the_shares_of_isolated_hosts)
{
    meter_ledger ledger;
    std::vector<account_meter> hosts(4);
    time_point now{10'000};
    for (account_meter& host : hosts)
    {
        host.set_limits(limits, 4, now);
        host.set_no_ledger(true);
    }
    for (int second = 0; second < 8; ++second)
    {
        now = now + duration{1'000};
        EXPECT_TRUE(hosts[0].admit("a", 200, now));
    }
    ledger.set_limits(limits, now);
    for (std::size_t index = 0; index < hosts.size(); ++index)
    {
        settle(hosts[index], ledger, now, "host-" + std::to_string(index));
    }
    settle(hosts[0], ledger, now, "host-0");
    EXPECT_EQ(hosts[0].level("a", now), 800);
}

} // namespace
} // namespace poplarroute::policy
