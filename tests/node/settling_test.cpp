// What hosts send to the ledger of accounts' usage, and what they admit with
// it: settlements come when they are due, and a host that has not used an
// account lately asks for its level before it admits a request.

#include <deque>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/account_meter.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr duration check_interval{100};

/// Hosts and the ledger that they settle with, without a network.
class fleet
{
public:
    fleet(int hosts, const std::map<core::account_id, rate_limit>& limits)
        : meters_(static_cast<std::size_t>(hosts))
    {
        std::uint64_t seed = 0;
        ledger_.set_limits(limits, now_);
        for (account_meter& meter : meters_)
        {
            meter = account_meter(++seed);
            meter.set_limits(limits, hosts, now_);
        }
    }

    /// Lets one interval pass, in which each host settles what is due.
    void pass_interval()
    {
        now_ = now_ + check_interval;
        for (std::size_t host = 0; host < meters_.size(); ++host)
        {
            settle(host, meters_[host].take_due(now_));
        }
    }

    bool admit(
        std::size_t host, const core::account_id& account, std::int64_t price)
    {
        account_meter& meter = meters_[host];
        if (meter.needs_level(account, now_))
        {
            settle(host, meter.take(account, now_));
        }
        return meter.admit(account, price, now_);
    }

    void pass_time(duration time)
    {
        now_ = now_ + time;
    }

    void settle_due(std::size_t host)
    {
        settle(host, meters_[host].take_due(now_));
    }

    time_point now_{100'000};
    std::vector<account_meter> meters_;
    std::int64_t messages_ = 0;
    std::int64_t settled_accounts_ = 0;

private:
    void settle(std::size_t host, const std::vector<unsettled_usage>& uses)
    {
        messages_ += uses.empty() ? 0 : 1;
        settled_accounts_ += static_cast<std::int64_t>(uses.size());
        for (const unsettled_usage& use : uses)
        {
            const std::string name = "host-" + std::to_string(host);
            meters_[host].settled(
                use.account_,
                ledger_.settle(use.account_, name, use.used_, use.share_, now_),
                now_);
        }
    }

    meter_ledger ledger_;
};

std::map<core::account_id, rate_limit> make_limits(int accounts)
{
    std::map<core::account_id, rate_limit> out;
    for (int index = 0; index < accounts; ++index)
    {
        out["a-" + std::to_string(index)] = {1'000, 1'000};
    }
    return out;
}

// Guards against a leader that is kept busy by hosts which settle accounts that
// nobody uses: 300 hosts sent 3,000 messages per second.
TEST(settling, accounts_without_use_cost_no_messages)
{
    constexpr int hosts = 300;
    fleet all(hosts, make_limits(16));
    for (int interval = 0; interval < 20; ++interval)
    {
        all.pass_interval();
    }
    EXPECT_EQ(all.messages_, hosts);
    all.messages_ = 0;
    for (int interval = 0; interval < 100; ++interval)
    {
        all.pass_interval();
    }
    EXPECT_EQ(all.messages_, 0);
}

// Ten hosts use one account of sixteen a little, the others none.
TEST(settling, a_little_use_costs_few_messages)
{
    constexpr int hosts = 300;
    constexpr std::size_t users = 10;
    constexpr int seconds = 10;
    fleet all(hosts, make_limits(16));
    all.pass_interval();
    all.messages_ = 0;
    all.settled_accounts_ = 0;
    for (int interval = 0; interval < seconds * 10; ++interval)
    {
        for (std::size_t host = 0; host < users && interval % 10 == 0; ++host)
        {
            EXPECT_TRUE(all.admit(host, "a-3", 1));
        }
        all.pass_interval();
    }
    EXPECT_LE(all.messages_, std::int64_t{6} * seconds * users);
    EXPECT_EQ(all.messages_, all.settled_accounts_);
}

// Guards against refusals of the first requests of an account that a host has
// not used for a while.
TEST(settling, the_whole_burst_is_there_after_a_time_without_use)
{
    constexpr int hosts = 300;
    fleet all(hosts, make_limits(2));
    for (int interval = 0; interval < 300; ++interval)
    {
        all.pass_interval();
    }
    int admitted = 0;
    for (std::size_t host = 0; host < 100; ++host)
    {
        admitted += all.admit(host, "a-1", 10) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 100);
    all.pass_interval();
    EXPECT_FALSE(all.admit(101, "a-1", 500));
}

// A host that has not used an account lately and loses the leader does not know
// whether others have used the whole level. Guards against a share of it that
// it takes all the same.
TEST(settling, an_unused_account_has_no_share_when_the_leader_is_lost)
{
    fleet all(4, make_limits(1));
    for (int interval = 0; interval < 200; ++interval)
    {
        all.pass_interval();
    }
    account_meter& host = all.meters_[0];
    EXPECT_FALSE(host.admit("a-0", 10, all.now_));
    all.pass_time(duration{1'000});
    EXPECT_FALSE(host.admit("a-0", 130, all.now_));
    EXPECT_TRUE(host.admit("a-0", 100, all.now_));
}

/// The users' bound on one account: in any window of eight seconds its rate and
/// burst plus a tenth, plus a slack.
constexpr std::int64_t rate = 53'000;
constexpr std::int64_t slack = 120'000;
constexpr std::int64_t window_ms = 8'000;
constexpr std::int64_t allowed = (rate * 8 + rate) * 11 / 10 + slack;

// One account sends requests at eight times its rate through all hosts, after
// a time without any. Guards against a fleet that admits more than the bound
// since hosts settle less often.
void run_overload(unsigned seed, int hosts)
{
    std::mt19937 random(seed);
    constexpr duration step{10};
    constexpr int steps = 2'000;
    // As node/fleet_sections raises the limits by a part of what is allowed.
    const rate_limit limit{rate * 104 / 100, rate * 104 / 100 + slack * 4 / 10};
    fleet all(hosts, {{"a", limit}});
    for (int interval = 0; interval < 50; ++interval)
    {
        all.pass_interval();
    }
    std::deque<std::pair<time_point, std::int64_t>> admitted;
    std::int64_t sum = 0;
    std::int64_t total = 0;
    for (int index = 0; index < steps; ++index)
    {
        all.pass_time(step);
        for (int call = 0; call < 1 + index % 2; ++call)
        {
            const std::size_t host = random() % all.meters_.size();
            const std::int64_t price =
                1'000 + static_cast<std::int64_t>(random() % 4'000);
            if (all.admit(host, "a", price))
            {
                admitted.emplace_back(all.now_, price);
                sum += price;
                total += price;
            }
        }
        while (!admitted.empty() &&
               (all.now_ - admitted.front().first).ms_ > window_ms)
        {
            sum -= admitted.front().second;
            admitted.pop_front();
        }
        RC_ASSERT(sum <= allowed);
        for (std::size_t host = index % 10; host < all.meters_.size();
             host += 10)
        {
            all.settle_due(host);
        }
    }
    RC_ASSERT(total >= rate * 20 * 9 / 10);
}

RC_GTEST_PROP(settling, six_hosts_keep_to_the_users_bound, (unsigned seed))
{
    run_overload(seed, 6);
}

RC_GTEST_PROP(settling, ninety_hosts_keep_to_the_users_bound, (unsigned seed))
{
    run_overload(seed, 90);
}

} // namespace
} // namespace poplarroute::policy
