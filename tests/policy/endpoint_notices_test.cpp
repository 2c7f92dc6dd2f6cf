#include "policy/endpoint_notices.hpp"

#include <array>

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

constexpr core::time_point start{10'000};
constexpr core::duration second{1'000};

core::time_point at(std::int64_t ms)
{
    return start + core::duration{ms};
}

bool takes_requests(const endpoint_notices& notices, core::time_point now)
{
    return notices.may_send("e", call_purpose::request, now);
}

TEST(endpoint_notices, leaving_holds_until_lists_show_a_restart)
{
    endpoint_notices notices;
    EXPECT_TRUE(notices.record({"e"}, {true, std::nullopt}, start));
    EXPECT_FALSE(notices.record({"e"}, {true, std::nullopt}, start));
    const std::array ready{listed_state{"e", false, 0}};
    const std::array leaving{listed_state{"e", true, 0}};
    // A list that still shows it as ready is only older.
    notices.update(ready, at(500));
    EXPECT_FALSE(takes_requests(notices, at(60'000)));
    EXPECT_EQ(notices.unlisted_leaving(at(500)).size(), 1U);
    EXPECT_TRUE(notices.may_send("e", call_purpose::housekeeping, at(500)));
    notices.update(leaving, at(1'000));
    EXPECT_TRUE(notices.unlisted_leaving(at(1'000)).empty());
    notices.update(ready, at(9'000));
    EXPECT_FALSE(takes_requests(notices, at(9'500)));
    EXPECT_TRUE(takes_requests(notices, at(13'000)));
}

TEST(endpoint_notices, an_older_list_in_between_does_not_end_a_departure)
{
    endpoint_notices notices;
    notices.record({"e"}, {true, std::nullopt}, start);
    const std::array ready{listed_state{"e", false, 0}};
    const std::array leaving{listed_state{"e", true, 0}};
    notices.update(leaving, at(500));
    notices.update(ready, at(900));
    notices.update(leaving, at(1'600));
    EXPECT_FALSE(takes_requests(notices, at(20'000)));
}

TEST(endpoint_notices, a_later_start_ends_a_departure_at_once)
{
    endpoint_notices notices;
    notices.record({"e", false, 100}, {true, std::nullopt}, start);
    const std::array restarted{listed_state{"e", false, 200}};
    notices.update(restarted, at(10));
    EXPECT_TRUE(takes_requests(notices, at(10)));
}

TEST(endpoint_notices, nothing_is_sent_while_an_endpoint_wants_nothing)
{
    endpoint_notices notices;
    notices.record({"e"}, {false, second}, start);
    EXPECT_FALSE(takes_requests(notices, at(999)));
    EXPECT_FALSE(notices.may_send("e", call_purpose::housekeeping, at(999)));
    EXPECT_TRUE(notices.may_send("other", call_purpose::request, at(999)));
    EXPECT_TRUE(notices.turned_away_until("e", at(999)));
    // An answer to a call that was under way must not shorten the time.
    notices.record({"e"}, {false, core::duration{100}}, at(100));
    EXPECT_FALSE(takes_requests(notices, at(999)));
    EXPECT_TRUE(takes_requests(notices, at(1'300)));
}

TEST(endpoint_notices, calls_return_gradually)
{
    endpoint_notices notices;
    notices.record({"e"}, {false, second}, start);
    const core::time_point until = *notices.turned_away_until("e", start);
    int sent = 0;
    for (int ms = 0; ms < 500; ++ms)
    {
        const core::time_point now = until + core::duration{ms};
        while (takes_requests(notices, now))
        {
            notices.record_send("e", now);
            ++sent;
            ASSERT_LE(sent, 1 + ms / 50);
        }
    }
    EXPECT_EQ(sent, 10);
    const core::time_point later = until + core::duration{1'100};
    for (int count = 0; count < 100; ++count)
    {
        EXPECT_TRUE(takes_requests(notices, later));
        notices.record_send("e", later);
    }
}

TEST(endpoint_notices, hosts_do_not_return_at_the_same_time)
{
    endpoint_notices first(1);
    endpoint_notices second_host(2'000'003);
    first.record({"e"}, {false, second}, start);
    second_host.record({"e"}, {false, second}, start);
    EXPECT_NE(
        *first.turned_away_until("e", start),
        *second_host.turned_away_until("e", start));
}

TEST(endpoint_notices, an_absurd_time_is_capped)
{
    endpoint_notices notices;
    notices.record({"e"}, {false, core::duration{1'000'000'000'000}}, start);
    EXPECT_TRUE(takes_requests(notices, at(3'600'000)));
}

} // namespace
} // namespace poplarroute::policy
