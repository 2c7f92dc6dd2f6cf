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
    for (int index = 0; index < count; ++index)
    {
        out.push_back({"e" + std::to_string(index), "z", 6, true, 0});
    }
    return out;
}

TEST(plain_balancer, ejects_unreachable_endpoints)
{
    plain_balancer balancer(1);
    balancer.set_endpoints(endpoints(4));
    const time_point now{1'000};
    for (int call = 0; call < 40; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        const bool is_unreachable = *chosen == "e0";
        balancer.end(
            *chosen,
            is_unreachable ? call_outcome::unreachable : call_outcome::answered,
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

TEST(plain_balancer, avoids_unresponsive_endpoints)
{
    plain_balancer balancer(1);
    balancer.set_endpoints(endpoints(3));
    time_point now{1'000};
    std::string unresponsive;
    while (unresponsive != "e1")
    {
        unresponsive = *balancer.begin("z", {}, now);
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

TEST(plain_balancer, ejects_an_endpoint_with_a_higher_error_rate)
{
    plain_balancer balancer(3);
    balancer.set_endpoints(endpoints(4));
    const time_point now{1'000};
    int faulty_calls = 0;
    for (int call = 0; call < 400; ++call)
    {
        const auto chosen = balancer.begin("z", {}, now);
        ASSERT_TRUE(chosen);
        const bool faulty = *chosen == "e2";
        faulty_calls += faulty ? 1 : 0;
        balancer.end(
            *chosen,
            faulty ? call_outcome::errored : call_outcome::answered,
            now,
            now);
    }
    EXPECT_LT(faulty_calls, 40);
}

TEST(plain_balancer, chooses_an_endpoint_even_when_all_are_ejected)
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

TEST(plain_balancer, chooses_no_unusable_endpoint)
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
    plain_balancer, respects_the_start_limit_of_cold_endpoints, (unsigned seed))
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
    for (std::size_t index = 5; index < starts.size(); ++index)
    {
        RC_ASSERT((starts[index] - starts[index - 5]).ms_ >= 1'000);
    }
}

// Load: an outage in which every call needs a retry.
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
    std::int64_t retries = 0;
    for (const auto& [at, is_retry] : events)
    {
        requests += at >= since && !is_retry ? 1 : 0;
        retries += at >= since && is_retry ? 1 : 0;
    }
    RC_ASSERT(
        static_cast<double>(retries) <=
        bound.ratio_ * static_cast<double>(requests) +
            static_cast<double>(bound.slack_));
}

// Guards against restarted hosts that each take the whole slack, since they do
// not know how many hosts share it.
TEST(retry_allowance, has_no_slack_while_the_number_of_hosts_is_unknown)
{
    const time_point now{100'000};
    retry_allowance host;
    host.set_bound({0.2, 50, duration{10'000}}, std::nullopt, 1);
    EXPECT_FALSE(host.take(1, now));
    host.set_bound({0.2, 50, duration{10'000}}, 5, 1);
    EXPECT_TRUE(host.take(10, now));
    EXPECT_FALSE(host.take(1, now));
}

TEST(retry_allowance, accrues_its_slack_after_a_restart)
{
    const time_point begin{100'000};
    retry_allowance host;
    host.set_bound({0.2, 50, duration{10'000}}, 1, 1);
    host.accrue_from(begin);
    EXPECT_FALSE(host.take(1, begin));
    EXPECT_TRUE(host.take(25, begin + duration{5'000}));
    EXPECT_FALSE(host.take(1, begin + duration{5'000}));
    EXPECT_TRUE(host.take(25, begin + duration{10'000}));
}

} // namespace
} // namespace poplarroute::policy
