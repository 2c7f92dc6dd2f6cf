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
TEST(call_retry_state, says_not_run_only_when_certain_though_the_time_is_over)
{
    call_retry_state state({false, 1});
    state.note(send_result::may_have_run);
    EXPECT_FALSE(state.may_retry(duration{0}));
    EXPECT_EQ(state.ending(duration{0}), call_failure::timed_out);
    EXPECT_EQ(state.ending(duration{300}), call_failure::lost);
}

TEST(call_retry_state, goes_on_after_a_rejection)
{
    call_retry_state state({false, 1});
    state.note(send_result::not_run);
    EXPECT_TRUE(state.may_retry(duration{300}));
    EXPECT_TRUE(state.needs_retry_allowance());
    EXPECT_EQ(state.ending(duration{300}), call_failure::not_run);
}

TEST(call_retry_state, costs_no_allowance_while_nothing_arrived)
{
    call_retry_state state({false, 1});
    state.note(send_result::nothing_sent);
    EXPECT_TRUE(state.may_retry(duration{300}));
    EXPECT_FALSE(state.needs_retry_allowance());
}

TEST(call_retry_state, keeps_time_for_another_endpoint)
{
    const call_retry_state idempotent({true, 2});
    EXPECT_EQ(idempotent.patience(duration{600}).ms_, 300);
    const call_retry_state once({false, 2});
    EXPECT_EQ(once.patience(duration{600}).ms_, 600);
}

RC_GTEST_PROP(
    call_retry_state,
    never_runs_twice_what_may_run_once,
    (std::vector<int> picks))
{
    call_retry_state state({false, 3});
    int possible_runs = 0;
    for (const int pick : picks)
    {
        if (!state.may_retry(duration{1'000}))
        {
            break;
        }
        const auto verdict =
            static_cast<send_result>(1 + static_cast<unsigned>(pick) % 3);
        possible_runs += verdict == send_result::may_have_run ? 1 : 0;
        state.note(verdict);
        RC_ASSERT(
            (state.ending(duration{1'000}) == call_failure::not_run) ==
            (possible_runs == 0));
    }
    RC_ASSERT(possible_runs <= 1);
}

RC_GTEST_PROP(
    call_retry_state,
    runs_an_idempotent_call_at_no_more_endpoints_than_allowed,
    (std::vector<int> picks))
{
    const int most = 2;
    call_retry_state state({true, most});
    int possible_runs = 0;
    for (const int pick : picks)
    {
        if (!state.may_retry(duration{1'000}))
        {
            break;
        }
        const auto verdict =
            static_cast<send_result>(1 + static_cast<unsigned>(pick) % 3);
        possible_runs += verdict == send_result::may_have_run ? 1 : 0;
        state.note(verdict);
    }
    RC_ASSERT(possible_runs <= most);
}

} // namespace
} // namespace poplarroute::policy
