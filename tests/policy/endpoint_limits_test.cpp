#include "policy/endpoint_limits.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::policy
{
namespace
{

constexpr const char* name = "i-1";

core::time_point at(std::int64_t ms)
{
    return core::time_point{1'000'000 + ms};
}

/// \return the largest number of times within one window of 4 s.
std::size_t most_in_window(const std::vector<core::time_point>& times)
{
    constexpr core::duration window{4'000};
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] > window)
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// \return the requests that the users' rule allows in 4 s.
double allowed_by_rule(double per_second)
{
    return 1.5 * 4 * per_second + 5;
}

TEST(limit_statements, the_newest_statement_counts)
{
    limit_statements statements;
    EXPECT_FALSE(statements.record(name, {std::nullopt, at(0)}));
    EXPECT_TRUE(statements.record(name, {5.0, at(10)}));
    EXPECT_FALSE(statements.record(name, {7.0, at(5)}));
    EXPECT_EQ(statements.limit_of(name), 5.0);
    EXPECT_FALSE(statements.record(name, {6.0, at(20)}));
    EXPECT_EQ(statements.limit_of(name), 6.0);
}

// Guards against an answer from before the limit that ends it.
TEST(limit_statements, only_a_request_sent_since_ends_a_limit)
{
    limit_statements statements;
    statements.record(name, {5.0, at(10)});
    EXPECT_FALSE(statements.record(name, {std::nullopt, at(9)}));
    EXPECT_EQ(statements.limit_of(name), 5.0);
    EXPECT_TRUE(statements.record(name, {std::nullopt, at(11)}));
    EXPECT_EQ(statements.limit_of(name), std::nullopt);
    EXPECT_FALSE(statements.record(name, {5.0, at(10)}));
    EXPECT_EQ(statements.limit_of(name), std::nullopt);
}

RC_GTEST_PROP(limit_ledger, grants_no_more_than_the_limit_and_all_of_it, ())
{
    const double rate = *rc::gen::inRange(2, 400) / 10.0;
    const auto step_ms = *rc::gen::inRange<std::int64_t>(1, 15);
    limit_ledger ledger;
    std::vector<core::time_point> granted;
    constexpr std::int64_t duration_ms = 20'000;
    for (std::int64_t ms = 0; ms < duration_ms; ms += step_ms)
    {
        if (ledger.take(name, rate, at(ms)).granted_)
        {
            granted.push_back(at(ms));
        }
    }
    RC_ASSERT(
        static_cast<double>(most_in_window(granted)) <= allowed_by_rule(rate));
    RC_ASSERT(
        static_cast<double>(granted.size()) >=
        0.9 * rate * duration_ms / 1'000 - 2);
}

TEST(limit_ledger, begins_empty_and_says_when_to_ask_again)
{
    limit_ledger ledger;
    const limit_grant first = ledger.take(name, 4, at(0));
    EXPECT_FALSE(first.granted_);
    EXPECT_EQ(first.wait_.ms_, 250);
    EXPECT_TRUE(ledger.take(name, 4, at(250)).granted_);
    ledger.clear();
    EXPECT_FALSE(ledger.take(name, 4, at(5'000)).granted_);
}

// Guards against an endpoint that named a limit of 0 and is never asked again.
TEST(limit_ledger, a_limit_of_0_still_gets_a_request_now_and_then)
{
    limit_ledger ledger;
    ledger.take(name, 0, at(0));
    EXPECT_TRUE(ledger.take(name, 0, at(4'000)).granted_);
    EXPECT_FALSE(ledger.take(name, 0, at(5'000)).granted_);
}

// Guards against hosts that are cut off and together send a multiple.
TEST(endpoint_allowance, own_shares_add_up_to_no_more_than_the_limit)
{
    constexpr double rate = 6.8;
    for (const std::int64_t hosts : {1, 8, 300})
    {
        std::vector<endpoint_allowance> all;
        for (std::int64_t host = 0; host < hosts; ++host)
        {
            all.emplace_back(static_cast<std::uint64_t>(host + 1));
            all.back().record(name, {rate, at(0)});
        }
        std::vector<core::time_point> sent;
        constexpr std::int64_t duration_ms = 40'000;
        for (std::int64_t ms = 0; ms < duration_ms; ms += 10)
        {
            for (endpoint_allowance& host : all)
            {
                if (host.may_have_room(name, at(ms)) &&
                    host.take_own_share(name, hosts, at(ms)))
                {
                    sent.push_back(at(ms));
                }
            }
        }
        EXPECT_LE(
            static_cast<double>(most_in_window(sent)), allowed_by_rule(rate))
            << hosts;
        EXPECT_GT(
            static_cast<double>(sent.size()), 0.25 * rate * duration_ms / 1'000)
            << hosts;
    }
}

// Guards against a host that continues after a pause and sends at once what it
// could have sent meanwhile.
TEST(endpoint_allowance, saves_nothing_of_its_share_for_later)
{
    endpoint_allowance host(1);
    host.record(name, {10.0, at(0)});
    host.take_own_share(name, 1, at(0));
    int sent = 0;
    for (std::int64_t ms = 60'000; ms < 60'300; ++ms)
    {
        sent += host.take_own_share(name, 1, at(ms)) ? 1 : 0;
    }
    EXPECT_LE(sent, 6);
}

TEST(endpoint_allowance, without_a_number_of_hosts_there_is_no_share)
{
    endpoint_allowance host(1);
    host.record(name, {1'000.0, at(0)});
    for (std::int64_t ms = 0; ms < 2'000; ms += 10)
    {
        EXPECT_FALSE(host.take_own_share(name, std::nullopt, at(ms)));
    }
}

TEST(endpoint_allowance, leaves_an_endpoint_alone_until_the_leader_may_grant)
{
    endpoint_allowance host(1);
    host.record(name, {5.0, at(0)});
    host.record_refusal(name, core::duration{100}, at(0));
    EXPECT_FALSE(host.may_have_room(name, at(99)));
    EXPECT_TRUE(host.may_have_room(name, at(151)));
    host.record_refusal(name, core::duration{100}, at(200));
    EXPECT_TRUE(host.record(name, {std::nullopt, at(210)}));
    EXPECT_TRUE(host.may_have_room(name, at(211)));
}

} // namespace
} // namespace poplarroute::policy
