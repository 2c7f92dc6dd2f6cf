#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/escrow.hpp"

namespace poplarroute::policy
{

namespace
{

constexpr const char* account = "a";

} // namespace

TEST(token_bucket, starts_empty_and_fills_at_its_rate)
{
    token_bucket bucket({0});
    bucket.set_limit({100, 50}, {0});
    EXPECT_FALSE(bucket.take(1, {0}));
    EXPECT_EQ(bucket.level({100}), 10);
    EXPECT_TRUE(bucket.take(10, {100}));
    EXPECT_EQ(bucket.wait_for(10, {100}).ms_, 100);
    EXPECT_EQ(bucket.level({10'000}), 50);
}

RC_GTEST_PROP(
    token_bucket, never_grants_more_than_rate_and_burst, (unsigned seed))
{
    std::srand(seed);
    token_bucket bucket({0});
    const rate_limit limit{1 + seed % 1'000, 1 + seed % 500};
    bucket.set_limit(limit, {0});
    std::int64_t granted = 0;
    std::int64_t now = 0;
    for (const auto& step : *rc::gen::container<std::vector<std::uint16_t>>(
             rc::gen::arbitrary<std::uint16_t>()))
    {
        now += step % 97;
        const std::int64_t asked = step % 301;
        granted += bucket.take(asked, {now}) ? asked : 0;
        RC_ASSERT(granted * 1'000 <= limit.rate_ * now);
    }
}

TEST(escrow, a_gift_leaves_its_giver_first)
{
    escrow giver;
    giver.set_share(account, {100, 100}, {0});
    EXPECT_EQ(giver.level(account, {1'000}), 100);
    const std::int64_t gift = giver.give(account, 40, 0, {1'000});
    EXPECT_EQ(gift, 40);
    EXPECT_EQ(giver.level(account, {1'000}), 60);
}

TEST(escrow, a_gift_pays_for_a_request_larger_than_the_share)
{
    escrow receiver;
    receiver.set_share(account, {0, 10}, {0});
    EXPECT_EQ(receiver.charge(account, 80, {0}), 80);
    const std::vector<gift> gifts{{"g", 50, 0, {0}}, {"h", 40, 0, {0}}};
    EXPECT_EQ(receiver.pay_with(account, gifts, 80, {5}), 0);
    EXPECT_EQ(receiver.level(account, {5}), 10);
}

TEST(escrow, what_the_giver_refilled_on_the_way_is_taken_off)
{
    escrow receiver;
    receiver.set_share(account, {0, 100}, {0});
    // 1,000 tokens a second for 20 ms are 20 tokens.
    const std::vector<gift> gifts{{"g", 50, 1'000, {1}}};
    EXPECT_EQ(receiver.pay_with(account, gifts, 40, {20}), 10);
    EXPECT_EQ(receiver.pay_with(account, gifts, 25, {20}), 0);
    EXPECT_EQ(receiver.level(account, {20}), 5);
}

TEST(escrow, a_host_that_fails_to_pay_still_gives)
{
    escrow shares;
    shares.set_share(account, {100, 1'000}, {0});
    for (std::int64_t now = 1'000; now < 3'000; now += 50)
    {
        EXPECT_GT(shares.charge(account, 5'000, {now}), 0);
    }
    EXPECT_EQ(shares.give(account, 200, 0, {3'000}), 200);
}

TEST(escrow, a_request_is_paid_by_as_few_gifts_as_it_takes)
{
    // Asking for just what is missing leaves a token or two missing after
    // each gift, for ever.
    escrow receiver;
    receiver.set_share(account, {656, 2'625}, {0});
    escrow giver;
    giver.set_share(account, {656, 2'625}, {0});
    const std::int64_t price = 4'687;
    const core::time_point asked{10'000};
    const std::int64_t missing = receiver.charge(account, price, asked);
    ASSERT_EQ(missing, price - 2'625);
    const std::int64_t sent =
        giver.give(account, receiver.need(account, missing), 0, asked);
    const std::vector<gift> gifts{{"g", sent, 656, asked}};
    EXPECT_EQ(receiver.pay_with(account, gifts, price, {10'005}), 0);
}

TEST(escrow, a_smaller_share_cuts_the_level_at_once)
{
    escrow shares;
    shares.set_share(account, {100, 100}, {0});
    EXPECT_EQ(shares.level(account, {1'000}), 100);
    shares.set_share(account, {100, 30}, {1'000});
    EXPECT_EQ(shares.level(account, {1'000}), 30);
    shares.set_share(account, {0, 0}, {1'000});
    EXPECT_EQ(shares.level(account, {9'000}), 0);
}

} // namespace poplarroute::policy
