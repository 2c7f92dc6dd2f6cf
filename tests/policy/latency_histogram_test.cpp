#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/latency_histogram.hpp"

namespace poplarroute::policy
{

// A quantile that is off by more than one bucket would make a good version look
// slower than its baseline.
RC_GTEST_PROP(latency_histogram, quantiles_are_at_most_a_bucket_too_large, ())
{
    const auto latency = *rc::gen::inRange<std::int64_t>(1, 10'000'000);
    latency_histogram histogram;
    histogram.add({latency});
    constexpr double bucket_ratio = 1.19;
    RC_ASSERT(histogram.quantile(0.5).ms_ >= latency);
    RC_ASSERT(
        static_cast<double>(histogram.quantile(0.5).ms_) <=
        static_cast<double>(latency) * bucket_ratio + 1);
}

// Windows are differences of cumulative counts; a subtraction that loses or
// keeps counts would mix old answers into them.
RC_GTEST_PROP(
    latency_histogram,
    subtracting_what_was_merged_restores_it,
    (std::vector<std::uint16_t> first, std::vector<std::uint16_t> second))
{
    latency_histogram earlier;
    latency_histogram later;
    for (const auto latency : first)
    {
        earlier.add({latency});
    }
    for (const auto latency : second)
    {
        later.add({latency});
    }
    latency_histogram sum = earlier;
    sum.merge(later);
    RC_ASSERT(
        sum.count() == static_cast<std::int64_t>(first.size() + second.size()));
    RC_ASSERT(latency_histogram::from_counts(sum.counts()) == sum);
    sum.subtract(earlier);
    RC_ASSERT(sum == later);
}

// Counts come from other processes: negative ones and too many of them must not
// reach the statistics.
TEST(latency_histogram, counts_of_a_message_are_bounded)
{
    std::vector<std::int64_t> counts(1'000, 1);
    counts[3] = -5;
    const auto histogram = latency_histogram::from_counts(counts);
    EXPECT_EQ(histogram.count(), 999);
    EXPECT_LT(histogram.counts().size(), 100U);
    EXPECT_EQ(latency_histogram::from_counts({}).quantile(0.5).ms_, 0);
}

} // namespace poplarroute::policy
