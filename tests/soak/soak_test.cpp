#include <gtest/gtest.h>

#include "tests/soak/group_run.hpp"
#include "tests/soak/pool_run.hpp"
#include "tests/soak/share_run.hpp"

namespace poplarroute::tests::soak
{

namespace
{

constexpr std::uint64_t steps = 5'000;

using run_function = void (*)(std::uint64_t, std::uint64_t, counts&);

void run_seeds(
    run_function run, std::uint64_t seeds, std::vector<std::uint64_t> more)
{
    throw_on_broken_invariants();
    counts happened;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        more.push_back(seed);
    }
    for (const std::uint64_t seed : more)
    {
        EXPECT_NO_THROW(run(seed, steps, happened)) << "seed " << seed;
    }
    for (const auto& [name, count] : happened)
    {
        EXPECT_GT(count, 0U) << name;
    }
    EXPECT_GT(happened.size(), 5U);
}

} // namespace

// The seeds beyond the first are ones that once found a fault.

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
