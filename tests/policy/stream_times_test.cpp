#include "policy/stream_times.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

TEST(stream_times, knows_nothing_from_a_few_streams)
{
    stream_times times;
    for (int index = 0; index < 5; ++index)
    {
        times.record(duration{100}, duration{400}, 100, time_point{1'000});
    }
    EXPECT_FALSE(times.longest(100, time_point{1'000}).has_value());
}

TEST(stream_times, scales_the_slowest_recent_stream_by_its_tokens)
{
    stream_times times;
    for (int index = 0; index < 50; ++index)
    {
        times.record(duration{100}, duration{400}, 100, time_point{1'000});
    }
    times.record(duration{200}, duration{1'000}, 100, time_point{1'000});
    const auto longest = times.longest(200, time_point{2'000});
    ASSERT_TRUE(longest.has_value());
    EXPECT_GE(longest->ms_, 2'200);
    EXPECT_FALSE(times.longest(200, time_point{100'000}).has_value());
}

} // namespace
} // namespace poplarroute::policy
