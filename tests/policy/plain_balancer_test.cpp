#include "policy/plain_balancer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/retry_allowance.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

std::vector<plain_endpoint> endpoints(int count)
{
    std::vector<plain_endpoint> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int at = 0; at < count; ++at)
    {
        out.push_back({"e" + std::to_string(at), "z", 6, true, 0});
    }
    return out;
}

TEST(plain_balancer, leaves_out_what_cannot_be_reached)
{
    plain_balancer balancer(1);
    balancer.set_endpoints(endpoints(4));
    const time_point now{1'000};
    for (int call = 0; call < 40; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        const bool lost = *chosen == "e0";
        balancer.end(
            *chosen,
            lost ? call_outcome::unreachable : call_outcome::answered,
            now,
            now);
    }
    for (int call = 0; call < 100; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        EXPECT_NE(*chosen, "e0");
        balancer.end(*chosen, call_outcome::answered, now, now);
    }
}

TEST(plain_balancer, leaves_out_an_endpoint_that_fell_silent)
{
    plain_balancer balancer(1);
    balancer.set_endpoints(endpoints(3));
    time_point now{1'000};
    std::string silent;
    while (silent != "e1")
    {
        silent = *balancer.begin("z", {}, now);
    }
    now = now + duration{500};
    for (int call = 0; call < 50; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        EXPECT_NE(*chosen, "e1");
        balancer.end(*chosen, call_outcome::answered, now, now);
    }
}

TEST(plain_balancer, leaves_out_one_that_errs_more_than_the_others)
{
    plain_balancer balancer(3);
    balancer.set_endpoints(endpoints(4));
    const time_point now{1'000};
    int grey_calls = 0;
    for (int call = 0; call < 400; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        const bool grey = *chosen == "e2";
        grey_calls += grey ? 1 : 0;
        balancer.end(
            *chosen,
            grey ? call_outcome::errored : call_outcome::answered,
            now,
            now);
    }
    EXPECT_LT(grey_calls, 40);
}

TEST(plain_balancer, is_never_emptied_by_false_alarms)
{
    plain_balancer balancer(1);
    balancer.set_endpoints(endpoints(4));
    const time_point now{1'000};
    for (int call = 0; call < 100; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        balancer.end(*chosen, call_outcome::unreachable, now, now);
    }
}

TEST(plain_balancer, uses_nothing_that_leaves)
{
    plain_balancer balancer(1);
    auto all = endpoints(2);
    all[0].usable_ = false;
    balancer.set_endpoints(all);
    for (int call = 0; call < 20; ++call)
    {
        EXPECT_EQ(balancer.begin("z", {}, time_point{1'000}), "e1");
    }
    EXPECT_FALSE(balancer.begin("z", {"e1"}, time_point{1'000}));
}

RC_GTEST_PROP(
    plain_balancer, keeps_to_what_cold_endpoints_bear, (unsigned seed))
{
    plain_balancer balancer(seed);
    auto all = endpoints(1);
    all[0].starts_per_second_ = 5;
    balancer.set_endpoints(all);
    std::mt19937 random(seed);
    time_point now{1'000};
    std::vector<time_point> starts;
    for (int call = 0; call < 200; ++call)
    {
        now = now + duration{static_cast<std::int64_t>(random() % 100)};
        if (balancer.begin("z", {}, now))
        {
            balancer.end("e0", call_outcome::answered, now, now);
            starts.push_back(now);
        }
    }
    for (std::size_t at = 5; at < starts.size(); ++at)
    {
        RC_ASSERT((starts[at] - starts[at - 5]).ms_ >= 1'000);
    }
}

// Load: every call of an outage asks to be sent again.
RC_GTEST_PROP(
    retry_allowance, keeps_all_hosts_within_the_bound, (unsigned seed))
{
    std::mt19937 random(seed);
    constexpr int hosts = 6;
    std::vector<retry_allowance> all(hosts);
    const retry_bound bound{0.2, 52, duration{10'000}};
    for (retry_allowance& host : all)
    {
        host.set_bound(bound, hosts, 0.6);
    }
    time_point now{100'000};
    std::vector<std::pair<time_point, bool>> events;
    for (int step = 0; step < 3'000; ++step)
    {
        now = now + duration{static_cast<std::int64_t>(random() % 20)};
        retry_allowance& host = all[random() % hosts];
        host.request(now);
        events.emplace_back(now, false);
        if (host.take(1, now))
        {
            events.emplace_back(now, true);
        }
    }
    const time_point since = now - bound.window_;
    std::int64_t requests = 0;
    std::int64_t sends = 0;
    for (const auto& [at, again] : events)
    {
        requests += at >= since && !again ? 1 : 0;
        sends += at >= since && again ? 1 : 0;
    }
    RC_ASSERT(
        static_cast<double>(sends) <=
        bound.ratio_ * static_cast<double>(requests) +
            static_cast<double>(bound.slack_));
}

} // namespace
} // namespace poplarroute::policy
