#include <deque>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/fleet_sections.hpp"
#include "policy/account_meter.hpp"

namespace poplarroute::node
{
namespace
{

using core::duration;
using core::time_point;

/// Bound that the users require for one account: in any window, at most its
/// rate and burst plus a tenth, plus a slack in tokens.
constexpr std::int64_t rate = 53'000;
constexpr std::int64_t burst = 53'000;
constexpr std::int64_t slack = 120'000;
constexpr double excess = 0.1;
constexpr duration window{8'000};
constexpr std::int64_t window_seconds = 8;

std::map<core::account_id, policy::rate_limit> effective_limits()
{
    control::catalog catalog;
    control::catalog_account account;
    account.name_ = "a";
    account.counts_tokens_ = true;
    account.rate_ = rate;
    account.burst_ = burst;
    catalog.accounts_.push_back(account);
    fleet_bounds bounds;
    bounds.rate_excess_ = excess;
    bounds.rate_slack_ = slack;
    return limits_of(catalog, bounds);
}

/// Number of tokens admitted within the window, and its maximum so far.
class window_sum
{
public:
    void add(std::int64_t tokens, time_point now)
    {
        admitted_.emplace_back(now, tokens);
        sum_ += tokens;
        while (now - admitted_.front().first > window)
        {
            sum_ -= admitted_.front().second;
            admitted_.pop_front();
        }
        max_sum_ = std::max(max_sum_, sum_);
    }

    std::int64_t max_sum() const
    {
        return max_sum_;
    }

private:
    std::deque<std::pair<time_point, std::int64_t>> admitted_;
    std::int64_t sum_ = 0;
    std::int64_t max_sum_ = 0;
};

/// \return whether a stream is admitted: by the ledger, or by the host's own
/// meter when no ledger is reachable.
bool admit_stream(
    policy::meter_ledger* ledger,
    policy::account_meter& host,
    std::int64_t price,
    time_point now)
{
    return ledger != nullptr ? ledger->charge("a", price, now)
                             : host.admit("a", price, now);
}

/// Takes one of the callers that return after a refusal, if one is due.
bool take_due(std::multiset<time_point>& returns, time_point now)
{
    if (returns.empty() || *returns.begin() > now)
    {
        return false;
    }
    returns.erase(returns.begin());
    return true;
}

// One account sends streams at eight times its rate through all hosts, which
// settle in turn. The ledger is lost twice, and each time there is none for 0.9
// seconds, as in a change of leader. Guards against two failures seen in
// benchmark runs: for a second each host used the last level as if it were the
// only one; and callers that had been refused returned to all hosts at once
// when the level rose above 0.
/// \return the most tokens that were admitted in any window.
std::int64_t run_with_ledger_loss(unsigned seed, int hosts)
{
    std::mt19937 random(seed);
    constexpr int step_count = 2'000;
    constexpr duration step{10};
    constexpr int settle_steps = 10;
    constexpr int outage_steps = 90;
    const auto limits = effective_limits();
    policy::meter_ledger ledger;
    // A stream has 13,000 tokens on average; one in every third step of 10 ms
    // is eight times the rate.
    const auto steps_between_streams = static_cast<unsigned>(3 * hosts);
    std::vector<policy::account_meter> meters(static_cast<std::size_t>(hosts));
    time_point now{100'000};
    ledger.set_limits(limits, now);
    for (policy::account_meter& host : meters)
    {
        host.set_limits(limits, hosts, now);
    }
    window_sum admitted;
    std::map<int, std::multiset<time_point>> returns;
    const int lost_at = 500 + static_cast<int>(random() % 500);
    for (int step_index = 0; step_index < step_count; ++step_index)
    {
        now = now + step;
        if (step_index == lost_at || step_index == lost_at + 300)
        {
            ledger = policy::meter_ledger();
            ledger.set_limits(limits, now);
        }
        for (int host_index = 0; host_index < hosts; ++host_index)
        {
            policy::account_meter& host =
                meters[static_cast<std::size_t>(host_index)];
            const std::int64_t price =
                6'000 + static_cast<std::int64_t>(random() % 14'000);
            const bool returned = take_due(returns[host_index], now);
            const bool fresh = random() % steps_between_streams == 0;
            const bool outage = (step_index >= lost_at &&
                                 step_index < lost_at + outage_steps) ||
                                (step_index >= lost_at + 300 &&
                                 step_index < lost_at + 300 + outage_steps);
            policy::meter_ledger* reachable_ledger = outage ? nullptr : &ledger;
            if ((fresh || returned) &&
                admit_stream(reachable_ledger, host, price, now))
            {
                admitted.add(price, now);
            }
            else if (fresh)
            {
                returns[host_index].insert(
                    now + host.wait_for("a", price, now));
            }
            if (outage ||
                step_index % settle_steps != host_index % settle_steps)
            {
                continue;
            }
            for (const policy::unsettled_usage& use : host.take_unsettled(now))
            {
                const std::string name = "host-" + std::to_string(host_index);
                host.settled(
                    use.account_,
                    ledger.settle(
                        use.account_, name, use.used_, use.share_, now),
                    now);
            }
        }
    }
    return admitted.max_sum();
}

std::int64_t allowed_tokens()
{
    return static_cast<std::int64_t>(
        static_cast<double>(rate * window_seconds + burst) * (1 + excess) +
        static_cast<double>(slack));
}

RC_GTEST_PROP(
    limits, six_hosts_together_keep_to_the_users_bound, (unsigned seed))
{
    RC_ASSERT(run_with_ledger_loss(seed, 6) <= allowed_tokens());
}

RC_GTEST_PROP(
    limits, ninety_hosts_together_keep_to_the_users_bound, (unsigned seed))
{
    RC_ASSERT(run_with_ledger_loss(seed, 90) <= allowed_tokens());
}

// Ninety hosts whose last settled level is low lose the ledger. Until they
// count as isolated, each admits against that level, which lacks what the
// others have admitted since. With this seed they admitted more than the
// users' bound.
TEST(limits, ninety_hosts_share_a_low_level_while_its_settlement_is_overdue)
{
    EXPECT_LE(run_with_ledger_loss(6'099, 90), allowed_tokens());
}

// Sixty hosts reach no ledger for ten seconds, and each receives streams of
// 14,000 tokens of an account with a rate of 53,000 tokens per second. A
// host's equal share is less than one stream, yet together the hosts must admit
// a fair part of the rate.
TEST(limits, isolated_hosts_of_a_large_fleet_serve_a_fair_part_of_the_rate)
{
    constexpr int hosts = 60;
    constexpr std::int64_t price = 14'000;
    constexpr int seconds = 10;
    const auto limits = effective_limits();
    std::vector<policy::account_meter> meters;
    time_point now{100'000};
    for (std::uint64_t seed = 1; seed <= hosts; ++seed)
    {
        meters.emplace_back(seed);
        meters.back().set_limits(limits, hosts, now);
        meters.back().set_no_ledger(true);
    }
    now = now + duration{1'000};
    std::int64_t admitted = 0;
    for (int step = 0; step < seconds * 10; ++step)
    {
        now = now + duration{100};
        for (policy::account_meter& host : meters)
        {
            admitted += host.admit("a", price, now) ? price : 0;
        }
    }
    EXPECT_GE(admitted, rate * seconds / 4);
    EXPECT_LE(admitted, rate * seconds + burst);
}

// Charging at the ledger never admits more than the account's level.
TEST(limits, the_ledger_admits_the_whole_burst_and_no_more)
{
    const auto limits = effective_limits();
    policy::meter_ledger ledger;
    time_point now{100'000};
    ledger.set_limits(limits, now);
    ledger.settle("a", "host-1", 0, limits.at("a").burst_, now);
    std::int64_t admitted = 0;
    while (ledger.charge("a", 1'000, now))
    {
        admitted += 1'000;
    }
    EXPECT_LE(admitted, limits.at("a").burst_);
    EXPECT_GT(admitted, limits.at("a").burst_ - 1'000);
    ledger.refund("a", 2'000);
    EXPECT_TRUE(ledger.charge("a", 2'000, now));
    EXPECT_GT(ledger.wait_for("a", 1'000, now).ms_, 0);
}

} // namespace
} // namespace poplarroute::node
