#include "policy/call_retry_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;

// Found on the bench: a booking that timed out at its endpoint was answered
// "not run", since the doubt was noted only while time was left.
TEST(call_course, says_not_run_only_when_certain_though_the_time_is_over)
{
    call_course course({false, 1});
    course.note(send_verdict::may_have_run);
    EXPECT_FALSE(course.may_send_again(duration{0}));
    EXPECT_EQ(course.ending(duration{0}), call_ending::timed_out);
    EXPECT_EQ(course.ending(duration{300}), call_ending::lost);
}

TEST(call_course, goes_on_after_a_rejection)
{
    call_course course({false, 1});
    course.note(send_verdict::not_run);
    EXPECT_TRUE(course.may_send_again(duration{300}));
    EXPECT_TRUE(course.needs_allowance());
    EXPECT_EQ(course.ending(duration{300}), call_ending::not_run);
}

TEST(call_course, costs_no_allowance_while_nothing_arrived)
{
    call_course course({false, 1});
    course.note(send_verdict::nothing_sent);
    EXPECT_TRUE(course.may_send_again(duration{300}));
    EXPECT_FALSE(course.needs_allowance());
}

TEST(call_course, keeps_time_for_another_endpoint)
{
    const call_course idempotent({true, 2});
    EXPECT_EQ(idempotent.patience(duration{600}).ms_, 300);
    const call_course once({false, 2});
    EXPECT_EQ(once.patience(duration{600}).ms_, 600);
}

RC_GTEST_PROP(
    call_course, never_runs_twice_what_may_run_once, (std::vector<int> picks))
{
    call_course course({false, 3});
    int maybe_runs = 0;
    for (const int pick : picks)
    {
        if (!course.may_send_again(duration{1'000}))
        {
            break;
        }
        const auto verdict =
            static_cast<send_verdict>(1 + static_cast<unsigned>(pick) % 3);
        maybe_runs += verdict == send_verdict::may_have_run ? 1 : 0;
        course.note(verdict);
        RC_ASSERT(
            (course.ending(duration{1'000}) == call_ending::not_run) ==
            (maybe_runs == 0));
    }
    RC_ASSERT(maybe_runs <= 1);
}

RC_GTEST_PROP(
    call_course,
    runs_an_idempotent_call_at_no_more_endpoints_than_allowed,
    (std::vector<int> picks))
{
    const int most = 2;
    call_course course({true, most});
    int maybe_runs = 0;
    for (const int pick : picks)
    {
        if (!course.may_send_again(duration{1'000}))
        {
            break;
        }
        const auto verdict =
            static_cast<send_verdict>(1 + static_cast<unsigned>(pick) % 3);
        maybe_runs += verdict == send_verdict::may_have_run ? 1 : 0;
        course.note(verdict);
    }
    RC_ASSERT(maybe_runs <= most);
}

} // namespace
} // namespace poplarroute::policy
