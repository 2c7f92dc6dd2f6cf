#include "policy/call_retry_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;

// Guards against answering "not run" for a call that timed out at its endpoint
// and may have run: this was recorded only while time was left.
TEST(
    call_retry_state, reports_not_run_only_when_certain_even_after_the_deadline)
{
    call_retry_state state({false, 1});
    state.note(send_result::may_have_run);
    EXPECT_FALSE(state.may_retry(duration{0}));
    EXPECT_EQ(state.ending(duration{0}), call_failure::timed_out);
    EXPECT_EQ(state.ending(duration{300}), call_failure::lost);
}

TEST(call_retry_state, retries_after_a_rejection)
{
    call_retry_state state({false, 1});
    state.note(send_result::not_run);
    EXPECT_TRUE(state.may_retry(duration{300}));
    EXPECT_TRUE(state.needs_retry_allowance());
    EXPECT_EQ(state.ending(duration{300}), call_failure::not_run);
}

TEST(call_retry_state, needs_no_allowance_while_nothing_was_sent)
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
    never_runs_a_non_idempotent_call_twice,
    (std::vector<int> choices))
{
    call_retry_state state({false, 3});
    int possible_runs = 0;
    for (const int choice : choices)
    {
        if (!state.may_retry(duration{1'000}))
        {
            break;
        }
        const auto result =
            static_cast<send_result>(1 + static_cast<unsigned>(choice) % 3);
        possible_runs += result == send_result::may_have_run ? 1 : 0;
        state.note(result);
        RC_ASSERT(
            (state.ending(duration{1'000}) == call_failure::not_run) ==
            (possible_runs == 0));
    }
    RC_ASSERT(possible_runs <= 1);
}

RC_GTEST_PROP(
    call_retry_state,
    runs_an_idempotent_call_at_no_more_endpoints_than_allowed,
    (std::vector<int> choices))
{
    const int max_endpoints = 2;
    call_retry_state state({true, max_endpoints});
    int possible_runs = 0;
    for (const int choice : choices)
    {
        if (!state.may_retry(duration{1'000}))
        {
            break;
        }
        const auto result =
            static_cast<send_result>(1 + static_cast<unsigned>(choice) % 3);
        possible_runs += result == send_result::may_have_run ? 1 : 0;
        state.note(result);
    }
    RC_ASSERT(possible_runs <= max_endpoints);
}

} // namespace
} // namespace poplarroute::policy
