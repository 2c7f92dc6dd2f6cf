#include <gtest/gtest.h>

#include "tests/soak/group_run.hpp"
#include "tests/soak/pool_run.hpp"
#include "tests/soak/share_run.hpp"

namespace poplarroute::tests::soak
{

namespace
{

constexpr std::uint64_t steps = 5'000;

using run_function = void (*)(std::uint64_t, std::uint64_t, event_counts&);

/// Runs seeds 1 to `seeds` and the further ones. Every kind of event that is
/// counted must have occurred at least once.
void run_seeds(
    run_function run,
    std::uint64_t seeds,
    std::vector<std::uint64_t> further_seeds)
{
    throw_on_violated_invariants();
    event_counts counts;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        further_seeds.push_back(seed);
    }
    for (const std::uint64_t seed : further_seeds)
    {
        EXPECT_NO_THROW(run(seed, steps, counts)) << "seed " << seed;
    }
    for (const auto& [name, count] : counts)
    {
        EXPECT_GT(count, 0U) << name;
    }
    EXPECT_GT(counts.size(), 5U);
}

} // namespace

// Each of the further seeds once found a fault.

TEST(soak, a_control_group_keeps_its_promises)
{
    run_seeds(
        run_group, 20, {21, 184, 197, 237, 241, 368, 501, 524, 643, 672, 774});
}

TEST(soak, a_pool_keeps_its_promises)
{
    run_seeds(run_pool, 40, {56, 70, 86, 97, 98, 102, 197, 211, 257});
}

TEST(soak, shares_keep_within_rate_and_burst)
{
    run_seeds(run_share, 60, {});
}

} // namespace poplarroute::tests::soak
