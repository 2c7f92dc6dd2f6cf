#include <gtest/gtest.h>

#include "policy/pool_scheduler.hpp"

namespace poplarroute::policy
{

namespace
{

endpoint_config engine(const std::string& name, work_kind kind)
{
    return {name, "", kind, 8, 4, false};
}

/// A pool of one warm prefill engine and one warm decode engine.
class scheduler_test : public ::testing::Test
{
protected:
    scheduler_test() : scheduler_(reserve_first(), {0})
    {
        set_endpoints(
            {engine("p", work_kind::prefill_only),
             engine("d", work_kind::decode_only)});
        warm_up();
    }

    void set_endpoints(std::vector<endpoint_config> configs)
    {
        scheduler_.set_endpoints(configs, now_);
    }

    void report(const std::string& boot)
    {
        for (const char* name : {"p", "d"})
        {
            scheduler_.report({name, boot, {}, 0}, now_);
        }
    }

    void warm_up()
    {
        for (int round = 0; round < 10; ++round)
        {
            now_ = now_ + core::duration{800};
            report("b1");
            const auto actions = scheduler_.ask(make_request(1), now_);
            ASSERT_EQ(actions.size(), 1U);
            scheduler_.transferred(std::get<grant>(actions[0]).attempt_, now_);
            ending outcome;
            outcome.attempt_ = std::get<grant>(actions[0]).attempt_;
            outcome.completed_ = true;
            scheduler_.end(outcome, now_);
        }
    }

    pool_request make_request(std::int64_t pieces)
    {
        pool_request request;
        request.attempt_ = {"h", 1, ++number_};
        request.account_ = "a";
        request.prompt_tokens_ = 100;
        request.output_tokens_ = 100;
        request.pieces_ = pieces;
        request.arrived_ = now_;
        request.first_token_deadline_ = now_ + core::duration{400};
        return request;
    }

    template <class Action>
    static bool first_is(const std::vector<pool_action>& actions)
    {
        return !actions.empty() &&
               std::holds_alternative<Action>(actions.front());
    }

    core::time_point now_{1'000};
    std::uint64_t number_ = 0;
    pool_scheduler scheduler_;
};

} // namespace

TEST_F(scheduler_test, places_prefill_and_decode_at_different_engines)
{
    const auto actions = scheduler_.ask(make_request(2), now_);
    ASSERT_TRUE(first_is<grant>(actions));
    EXPECT_EQ(std::get<grant>(actions[0]).prefill_, "p");
    EXPECT_EQ(std::get<grant>(actions[0]).decode_, "d");
}

TEST_F(scheduler_test, refuses_at_once_what_would_miss_its_deadline)
{
    ASSERT_TRUE(first_is<grant>(scheduler_.ask(make_request(8), now_)));
    // The memory is in use for seconds, while the deadline is 400 ms away.
    const auto actions = scheduler_.ask(make_request(8), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::target_missed);
    EXPECT_GT(std::get<refusal>(actions[0]).retry_after_.ms_, 0);
}

TEST_F(scheduler_test, a_restarted_engine_runs_one_request_at_first)
{
    report("b2");
    ASSERT_TRUE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
    EXPECT_FALSE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
}

TEST_F(scheduler_test, a_lost_connection_limits_requests_until_the_next_report)
{
    scheduler_.on_connection_lost("d");
    ASSERT_TRUE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
    EXPECT_FALSE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
    report("b1");
    EXPECT_TRUE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
}

TEST_F(scheduler_test, a_leaving_engine_gets_no_requests)
{
    endpoint_config leaving = engine("d", work_kind::decode_only);
    leaving.leaving_ = true;
    set_endpoints({engine("p", work_kind::prefill_only), leaving});
    const auto actions = scheduler_.ask(make_request(1), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::no_endpoint);
}

TEST_F(scheduler_test, requests_do_not_wait_for_a_failed_engine)
{
    ending lost;
    lost.endpoint_lost_ = true;
    lost.lost_endpoint_ = "p";
    scheduler_.end(lost, now_);
    // The decode engine is usable, but no engine can prefill.
    const auto actions = scheduler_.ask(make_request(1), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::none_usable);
}

TEST_F(scheduler_test, a_new_owner_waits_until_the_lease_has_expired)
{
    pool_scheduler fresh(reserve_first(), now_ + core::duration{3'000});
    const std::vector<endpoint_config> configs{
        engine("p", work_kind::prefill_only),
        engine("d", work_kind::decode_only)};
    fresh.set_endpoints(configs, now_);
    const auto actions = fresh.ask(make_request(1), now_);
    ASSERT_TRUE(first_is<refusal>(actions));
    EXPECT_EQ(
        std::get<refusal>(actions[0]).reason_, refusal_reason::taking_over);
}

TEST_F(scheduler_test, unclaimed_memory_is_reported_as_orphan)
{
    const core::attempt_id left{"gone", 7, 1};
    std::vector<pool_action> actions;
    for (int second = 0; second < 8 && actions.empty(); ++second)
    {
        now_ = now_ + core::duration{1'000};
        actions = scheduler_.report({"d", "b1", {{left, 3}}, 1}, now_);
    }
    ASSERT_TRUE(first_is<orphan>(actions));
    EXPECT_EQ(std::get<orphan>(actions[0]).attempt_, left);
}

TEST_F(scheduler_test, a_suspect_does_not_run_beside_others)
{
    ASSERT_TRUE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
    pool_request suspect = make_request(1);
    suspect.alone_ = true;
    suspect.first_token_deadline_ = now_ + core::duration{60'000};
    EXPECT_FALSE(first_is<grant>(scheduler_.ask(suspect, now_)));
}

TEST_F(scheduler_test, an_attempt_without_renewal_expires)
{
    ASSERT_TRUE(first_is<grant>(scheduler_.ask(make_request(1), now_)));
    now_ = now_ + core::duration{9'000};
    const auto actions = scheduler_.tick(now_);
    ASSERT_TRUE(first_is<orphan>(actions));
    EXPECT_EQ(scheduler_.running(), 0U);
}

} // namespace poplarroute::policy
