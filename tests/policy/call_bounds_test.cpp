#include "policy/call_bounds.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

constexpr std::int64_t rate = 1'000;

// All hosts fetch documents at once while they settle and watch. Guards against
// withdrawals that wait behind bulk transfers.
TEST(call_bounds, parts_are_dropped_first_and_watches_last)
{
    call_bounds bounds;
    bounds.set_rate(rate);
    core::time_point now{100'000};
    int parts = 0;
    while (bounds.admit(call_kind::part, now))
    {
        ++parts;
    }
    EXPECT_EQ(parts, 100);
    int settlements = 0;
    while (bounds.admit(call_kind::settlement, now))
    {
        ++settlements;
    }
    EXPECT_EQ(settlements, 600);
    EXPECT_FALSE(bounds.admit(call_kind::part, now));
    int watches = 0;
    while (bounds.admit(call_kind::watch, now))
    {
        ++watches;
    }
    EXPECT_EQ(watches, 400);
    now = now + core::duration{1};
    EXPECT_FALSE(bounds.admit(call_kind::settlement, now));
    EXPECT_TRUE(bounds.admit(call_kind::watch, now));
    now = now + core::duration{2'000};
    EXPECT_TRUE(bounds.admit(call_kind::part, now));
}

TEST(call_bounds, a_steady_load_below_the_rate_is_never_dropped)
{
    call_bounds bounds;
    bounds.set_rate(rate);
    core::time_point now{100'000};
    for (int step = 0; step < 10'000; ++step)
    {
        now = now + core::duration{10};
        for (int call = 0; call < 3; ++call)
        {
            EXPECT_TRUE(bounds.admit(call_kind::settlement, now));
            EXPECT_TRUE(bounds.admit(call_kind::watch, now));
        }
    }
}

} // namespace
} // namespace poplarroute::policy
