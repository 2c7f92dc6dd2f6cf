#include "policy/endpoint_speed.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

/// Records durations of an endpoint that is slow in one of five of them.
/// \param lasting factor of the endpoint's own.
/// \param is_lasting_reported whether the reported pace contains that factor.
endpoint_speed observed(double lasting, bool is_lasting_reported)
{
    endpoint_speed out;
    for (int call = 0; call < 50; ++call)
    {
        const time_point now{1'000 + call * 200};
        const double slow = call % 5 == 0 ? 2.5 : 1;
        const double pace = slow * (is_lasting_reported ? lasting : 1);
        out.record_pace(static_cast<std::int64_t>(pace * 100), now);
        out.record(40 * lasting * slow, now);
    }
    return out;
}

// Guards against counting a lasting difference twice, or not at all: the wire
// does not say whether the pace contains it.
TEST(endpoint_speed, knows_lasting_speed_whether_the_pace_contains_it_or_not)
{
    const time_point end{1'000 + 49 * 200};
    for (const bool is_lasting_reported : {false, true})
    {
        endpoint_speed speed = observed(1.5, is_lasting_reported);
        speed.record_pace(is_lasting_reported ? 150 : 100, end);
        EXPECT_NEAR(speed.expected(40, end).ms_, 60, 3) << is_lasting_reported;
        EXPECT_NEAR(speed.factor(40, end), 1.5, 0.1) << is_lasting_reported;
    }
}

// Guards against an endpoint that is taken for slow long after its last report.
TEST(endpoint_speed, a_reported_pace_is_worth_less_the_older_it_is)
{
    endpoint_speed speed = observed(1, false);
    const time_point now{20'000};
    speed.record_pace(250, now);
    EXPECT_TRUE(speed.is_pace_fresh(now));
    EXPECT_NEAR(speed.pace(now), 2.5, 0.01);
    EXPECT_LT(speed.pace(now + duration{300}), 2.1);
    EXPECT_LT(speed.pace(now + duration{1'001}), 1.5);
    EXPECT_FALSE(speed.is_pace_fresh(now + duration{1'001}));
}

// Guards against decisions that change because equal endpoints are taken for
// different ones by their scatter.
TEST(endpoint_speed, takes_scatter_for_no_difference)
{
    endpoint_speed speed;
    EXPECT_EQ(speed.factor(40, time_point{500}), 1);
    speed.record(58, time_point{1'000});
    EXPECT_EQ(speed.factor(40, time_point{1'000}), 1);
    for (int call = 0; call < 40; ++call)
    {
        speed.record(call % 2 == 0 ? 30 : 50, time_point{1'100 + call});
    }
    EXPECT_EQ(speed.factor(40, time_point{1'200}), 1);
}

// Guards against an endpoint that once was slow and is never tried again.
TEST(endpoint_speed, forgets_with_time)
{
    const endpoint_speed speed = observed(1.7, false);
    EXPECT_GT(speed.factor(40, time_point{12'000}), 1.5);
    EXPECT_NEAR(speed.factor(40, time_point{400'000}), 1, 0.01);
}

} // namespace
} // namespace poplarroute::policy
