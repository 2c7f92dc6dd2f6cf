#include <gtest/gtest.h>

#include "policy/pool_scheduler.hpp"

namespace poplarroute::policy
{

namespace
{

endpoint_facts engine(const std::string& name, work_kind kind)
{
    return {name, "", kind, 8, 4, false};
}

/// A pool of one prefill and one decode engine that are warm.
class scheduler_test : public ::testing::Test
{
protected:
    scheduler_test() : owner_(reserve_first(), {0})
    {
        set(
            {engine("p", work_kind::prefill_only),
             engine("d", work_kind::decode_only)});
        warm_up();
    }

    void set(std::vector<endpoint_facts> facts)
    {
        owner_.set_endpoints(facts, now_);
    }

    void report(const std::string& boot)
    {
        for (const char* name : {"p", "d"})
        {
            owner_.report({name, boot, {}, 0}, now_);
        }
    }

    void warm_up()
    {
        for (int round = 0; round < 10; ++round)
        {
            now_ = now_ + core::duration{800};
            report("b1");
            const auto given = owner_.ask(make(1), now_);
            ASSERT_EQ(given.size(), 1U);
            owner_.transferred(std::get<grant>(given[0]).attempt_, now_);
            ending how;
            how.attempt_ = std::get<grant>(given[0]).attempt_;
            how.completed_ = true;
            owner_.end(how, now_);
        }
    }

    want make(std::int64_t pieces)
    {
        want item;
        item.attempt_ = {"h", 1, ++number_};
        item.account_ = "a";
        item.prompt_tokens_ = 100;
        item.output_tokens_ = 100;
        item.pieces_ = pieces;
        item.arrived_ = now_;
        item.first_token_due_ = now_ + core::duration{400};
        return item;
    }

    template <class Action>
    static bool first_is(const std::vector<pool_action>& actions)
    {
        return !actions.empty() &&
               std::holds_alternative<Action>(actions.front());
    }

    core::time_point now_{1'000};
    std::uint64_t number_ = 0;
    pool_scheduler owner_;
};

} // namespace

TEST_F(scheduler_test, gives_prefill_and_decode_to_different_engines)
{
    const auto actions = owner_.ask(make(2), now_);
    ASSERT_TRUE(first_is<grant>(actions));
    EXPECT_EQ(std::get<grant>(actions[0]).prefill_, "p");
    EXPECT_EQ(std::get<grant>(actions[0]).decode_, "d");
}

TEST_F(scheduler_test, refuses_early_what_would_miss_its_target)
{
    ASSERT_TRUE(first_is<grant>(owner_.ask(make(8), now_)));
    // The memory is taken for seconds: no use in waiting for 400 ms.
    const auto actions = owner_.ask(make(8), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::target_missed);
    EXPECT_GT(std::get<refusal>(actions[0]).retry_after_.ms_, 0);
}

TEST_F(scheduler_test, a_restarted_engine_gets_little)
{
    report("b2");
    ASSERT_TRUE(first_is<grant>(owner_.ask(make(1), now_)));
    EXPECT_FALSE(first_is<grant>(owner_.ask(make(1), now_)));
}

TEST_F(scheduler_test, a_lost_connection_closes_the_window_until_the_report)
{
    owner_.doubt("d");
    ASSERT_TRUE(first_is<grant>(owner_.ask(make(1), now_)));
    EXPECT_FALSE(first_is<grant>(owner_.ask(make(1), now_)));
    report("b1");
    EXPECT_TRUE(first_is<grant>(owner_.ask(make(1), now_)));
}

TEST_F(scheduler_test, a_leaving_engine_gets_nothing)
{
    endpoint_facts leaving = engine("d", work_kind::decode_only);
    leaving.leaving_ = true;
    set({engine("p", work_kind::prefill_only), leaving});
    const auto actions = owner_.ask(make(1), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::no_endpoint);
}

TEST_F(scheduler_test, nobody_waits_for_an_engine_that_is_down)
{
    ending lost;
    lost.endpoint_lost_ = true;
    lost.lost_endpoint_ = "p";
    owner_.end(lost, now_);
    // The decode side is well, but nothing can prefill.
    const auto actions = owner_.ask(make(1), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::none_usable);
}

TEST_F(scheduler_test, a_new_owner_waits_out_the_lease)
{
    pool_scheduler fresh(reserve_first(), now_ + core::duration{3'000});
    const std::vector<endpoint_facts> facts{
        engine("p", work_kind::prefill_only),
        engine("d", work_kind::decode_only)};
    fresh.set_endpoints(facts, now_);
    const auto actions = fresh.ask(make(1), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::taking_over);
}

TEST_F(scheduler_test, memory_that_nobody_claims_is_freed)
{
    const core::attempt_id left{"gone", 7, 1};
    std::vector<pool_action> actions;
    for (int second = 0; second < 8 && actions.empty(); ++second)
    {
        now_ = now_ + core::duration{1'000};
        actions = owner_.report({"d", "b1", {{left, 3}}, 1}, now_);
    }
    ASSERT_TRUE(first_is<orphan>(actions));
    EXPECT_EQ(std::get<orphan>(actions[0]).attempt_, left);
}

TEST_F(scheduler_test, a_suspect_runs_alone)
{
    ASSERT_TRUE(first_is<grant>(owner_.ask(make(1), now_)));
    want suspect = make(1);
    suspect.alone_ = true;
    suspect.first_token_due_ = now_ + core::duration{60'000};
    EXPECT_FALSE(first_is<grant>(owner_.ask(suspect, now_)));
}

TEST_F(scheduler_test, an_attempt_that_nobody_renews_expires)
{
    ASSERT_TRUE(first_is<grant>(owner_.ask(make(1), now_)));
    now_ = now_ + core::duration{9'000};
    const auto actions = owner_.tick(now_);
    ASSERT_TRUE(first_is<orphan>(actions));
    EXPECT_EQ(owner_.running(), 0U);
}

} // namespace poplarroute::policy
