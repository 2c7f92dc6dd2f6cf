#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/escrow.hpp"

namespace poplarroute::policy
{

namespace
{

constexpr const char* account = "a";

} // namespace

TEST(token_bucket, starts_empty_and_refills_at_its_rate)
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

TEST(escrow, a_donor_debits_what_it_transfers)
{
    escrow donor;
    donor.set_share(account, {100, 100}, {0});
    EXPECT_EQ(donor.level(account, {1'000}), 100);
    const std::int64_t transferred = donor.donate(account, 40, 0, {1'000});
    EXPECT_EQ(transferred, 40);
    EXPECT_EQ(donor.level(account, {1'000}), 60);
}

TEST(escrow, transfers_pay_for_a_request_larger_than_the_share)
{
    escrow recipient;
    recipient.set_share(account, {0, 10}, {0});
    EXPECT_EQ(recipient.charge(account, 80, {0}), 80);
    const std::vector<token_transfer> transfers{
        {"g", 50, 0, {0}}, {"h", 40, 0, {0}}};
    EXPECT_EQ(recipient.pay_with_transfers(account, transfers, 80, {5}), 0);
    EXPECT_EQ(recipient.level(account, {5}), 10);
}

TEST(escrow, refill_of_the_donor_in_transit_is_subtracted)
{
    escrow recipient;
    recipient.set_share(account, {0, 100}, {0});
    // 1,000 tokens a second for 20 ms are 20 tokens.
    const std::vector<token_transfer> transfers{{"g", 50, 1'000, {1}}};
    EXPECT_EQ(recipient.pay_with_transfers(account, transfers, 40, {20}), 10);
    EXPECT_EQ(recipient.pay_with_transfers(account, transfers, 25, {20}), 0);
    EXPECT_EQ(recipient.level(account, {20}), 5);
}

TEST(escrow, failed_charges_do_not_prevent_a_donation)
{
    escrow shares;
    shares.set_share(account, {100, 1'000}, {0});
    for (std::int64_t now = 1'000; now < 3'000; now += 50)
    {
        EXPECT_GT(shares.charge(account, 5'000, {now}), 0);
    }
    EXPECT_EQ(shares.donate(account, 200, 0, {3'000}), 200);
}

TEST(escrow, one_sufficient_transfer_pays_for_a_request)
{
    // If a host requested exactly what is missing, the subtracted refill would
    // leave a token or two missing after each transfer.
    escrow recipient;
    recipient.set_share(account, {656, 2'625}, {0});
    escrow donor;
    donor.set_share(account, {656, 2'625}, {0});
    const std::int64_t price = 4'687;
    const core::time_point asked{10'000};
    const std::int64_t missing = recipient.charge(account, price, asked);
    ASSERT_EQ(missing, price - 2'625);
    const std::int64_t sent = donor.donate(
        account, recipient.amount_to_request(account, missing), 0, asked);
    const std::vector<token_transfer> transfers{{"g", sent, 656, asked}};
    EXPECT_EQ(
        recipient.pay_with_transfers(account, transfers, price, {10'005}), 0);
}

TEST(escrow, a_smaller_share_reduces_the_level_at_once)
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
