#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/fair_queue.hpp"
#include "policy/ownership.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slow_start.hpp"

namespace poplarroute::policy
{

namespace
{

pool_request make_request(
    std::uint64_t number, const std::string& account, bool interactive)
{
    pool_request request;
    request.attempt_ = {"h", 1, number};
    request.account_ = account;
    request.interactive_ = interactive;
    request.output_tokens_ = 100;
    request.first_token_deadline_ = {10'000};
    return request;
}

bool always(const pool_request&)
{
    return true;
}

} // namespace

TEST(fair_queue, many_requests_of_one_account_do_not_delay_another)
{
    fair_queue queue;
    for (std::uint64_t number = 0; number < 100; ++number)
    {
        queue.push(make_request(number, "greedy", true));
    }
    queue.push(make_request(1'000, "modest", true));
    std::size_t position = 0;
    while (queue.take(always, {0})->account_ != "modest")
    {
        ++position;
    }
    EXPECT_LE(position, 1U);
}

TEST(fair_queue, an_idle_account_starts_at_the_minimum_served)
{
    fair_queue queue;
    for (std::uint64_t number = 0; number < 50; ++number)
    {
        queue.push(make_request(number, "held_up", true));
        queue.push(make_request(100 + number, "served", true));
    }
    // One account's requests do not fit for a while, and the other is served.
    const auto fits = [](const pool_request& request)
    {
        return request.account_ != "held_up";
    };
    for (int turn = 0; turn < 20; ++turn)
    {
        ASSERT_TRUE(queue.take(fits, {0}).has_value());
    }
    queue.push(make_request(900, "newcomer", true));
    // Now all requests fit. The new account starts with the served amount of
    // the account that was held up, not of the one that was served meanwhile.
    const auto first = queue.take(always, {0});
    const auto second = queue.take(always, {0});
    EXPECT_EQ(first->account_, "held_up");
    EXPECT_EQ(second->account_, "newcomer");
}

TEST(fair_queue, serves_in_proportion_to_weight)
{
    fair_queue queue;
    for (std::uint64_t number = 0; number < 200; ++number)
    {
        pool_request heavy = make_request(number, "heavy", true);
        heavy.weight_ = 3;
        queue.push(heavy);
        queue.push(make_request(1'000 + number, "light", true));
    }
    int heavy = 0;
    for (int taken = 0; taken < 100; ++taken)
    {
        heavy += queue.take(always, {0})->account_ == "heavy" ? 1 : 0;
    }
    EXPECT_NEAR(heavy, 75, 3);
}

TEST(fair_queue, batch_requests_wait_until_they_have_aged)
{
    fair_queue queue;
    queue.push(make_request(1, "a", false));
    queue.push(make_request(2, "b", true));
    EXPECT_EQ(queue.take(always, {0})->attempt_.number_, 2U);
    queue.push(make_request(3, "b", true));
    // After half its time the batch request counts as interactive, and its
    // account has been served less.
    EXPECT_EQ(queue.take(always, {6'000})->attempt_.number_, 1U);
}

TEST(fair_queue, a_request_that_waited_long_is_not_overtaken)
{
    fair_queue queue;
    pool_request large = make_request(1, "a", true);
    large.pieces_ = 10;
    queue.push(large);
    queue.push(make_request(2, "b", true));
    const auto small_only = [](const pool_request& request)
    {
        return request.pieces_ < 5;
    };
    EXPECT_FALSE(queue.take(small_only, {2'000}).has_value());
    EXPECT_TRUE(queue.take(small_only, {500}).has_value());
}

RC_GTEST_PROP(
    fair_queue,
    neither_loses_nor_duplicates_requests,
    (std::vector<std::uint8_t> steps))
{
    fair_queue queue;
    std::set<std::uint64_t> waiting;
    std::uint64_t next = 0;
    for (const std::uint8_t step : steps)
    {
        if (step % 3 != 0)
        {
            queue.push(make_request(
                next, "a" + std::to_string(step % 5), step % 2 == 0));
            waiting.insert(next++);
            continue;
        }
        const auto taken = queue.take(always, {0});
        RC_ASSERT(taken.has_value() == !waiting.empty());
        if (taken)
        {
            RC_ASSERT(waiting.erase(taken->attempt_.number_) == 1U);
        }
    }
    RC_ASSERT(queue.size() == waiting.size());
}

TEST(slow_start, window_grows_with_completions_at_a_bounded_rate)
{
    slow_start window(20, {0});
    EXPECT_EQ(window.window(), 1);
    for (int count = 0; count < 50; ++count)
    {
        window.on_completed({100});
    }
    EXPECT_EQ(window.window(), 1);
    std::int64_t now = 0;
    while (!window.warm())
    {
        now += 700;
        window.on_completed({now});
        ASSERT_LE(window.window(), 2 + 2 * now / 1'000 + 2);
    }
    window.reset({now});
    EXPECT_EQ(window.window(), 1);
}

TEST(quarantine, two_crashes_quarantine_a_just_started_request)
{
    quarantine records;
    const core::duration span{1'000};
    EXPECT_TRUE(
        records.crashed("d", "e1@b", evidence::just_started, span, {0}));
    EXPECT_FALSE(
        records.crashed("d", "e1@b", evidence::just_started, span, {0}));
    EXPECT_EQ(records.look_up("d", {1}), suspicion::suspect);
    records.crashed("d", "e2@b", evidence::just_started, span, {0});
    EXPECT_EQ(records.look_up("d", {1}), suspicion::quarantined);
    EXPECT_EQ(records.look_up("d", {2'000}), suspicion::none);
    records.crashed("x", "e1@b", evidence::long_running, span, {0});
    EXPECT_EQ(records.look_up("x", {1}), suspicion::none);
    records.crashed("y", "e1@b", evidence::alone, span, {0});
    EXPECT_EQ(records.look_up("y", {1}), suspicion::quarantined);
}

TEST(ownership, moves_only_what_the_lost_host_owned)
{
    const std::vector<core::host_id> all{"a", "b", "c", "d"};
    const std::vector<core::host_id> fewer{"a", "b", "d"};
    int moved = 0;
    for (int index = 0; index < 200; ++index)
    {
        const std::string name = "z/s" + std::to_string(index);
        const core::host_id before = owner_of(name, all);
        const core::host_id after = owner_of(name, fewer);
        EXPECT_TRUE(before == "c" || before == after);
        moved += before == after ? 0 : 1;
    }
    EXPECT_GT(moved, 20);
    EXPECT_EQ(owner_of("x", {}), "");
}

TEST(retry_budget, limits_retries_to_a_fraction_of_first_tries)
{
    retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 1'000; ++request)
    {
        budget.first_try();
        retries += budget.take() ? 1 : 0;
    }
    EXPECT_LE(retries, 1'000 / 5 + 20);
    EXPECT_GE(retries, 1'000 / 5);
}

} // namespace poplarroute::policy
