#include "policy/endpoint_reach.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

const std::set<core::endpoint_id> three{"a", "b", "c"};

core::time_point at(std::int64_t ms)
{
    return {10'000 + ms};
}

endpoint_reach with_failures(const std::set<core::endpoint_id>& names)
{
    endpoint_reach out;
    for (const core::endpoint_id& name : names)
    {
        out.record_unreached(name, at(0));
    }
    return out;
}

TEST(endpoint_reach, loses_a_service_of_which_no_endpoint_is_reached)
{
    EXPECT_TRUE(with_failures(three).is_lost(three, at(10)));
    EXPECT_FALSE(with_failures({"a", "b"}).is_lost(three, at(10)));
    EXPECT_FALSE(endpoint_reach().is_lost(three, at(10)));
    EXPECT_FALSE(with_failures(three).is_lost({}, at(10)));
}

TEST(endpoint_reach, keeps_a_service_while_one_endpoint_answers)
{
    endpoint_reach reach = with_failures({"a", "b"});
    reach.record_reached("c", at(0));
    EXPECT_FALSE(reach.is_lost(three, at(500)));
    reach.record_unreached("c", at(600));
    EXPECT_TRUE(reach.is_lost(three, at(600)));
}

// Guards against requests that are handed on since an endpoint pauses.
TEST(endpoint_reach, takes_silence_for_no_lost_path)
{
    endpoint_reach reach;
    for (std::int64_t ms = 0; ms < 2'000; ms += 100)
    {
        reach.record_doubt(at(ms));
        EXPECT_FALSE(reach.is_lost(three, at(ms)));
        EXPECT_TRUE(reach.unreached(at(ms)).empty());
        EXPECT_TRUE(reach.needs_probes(at(ms)));
    }
}

TEST(endpoint_reach, judges_a_large_service_by_a_sample)
{
    std::set<core::endpoint_id> many;
    for (int number = 0; number < 1'000; ++number)
    {
        many.insert("i-" + std::to_string(number));
    }
    endpoint_reach reach(1);
    reach.record_unreached("i-1", at(0));
    for (int round = 0; round < 3 && !reach.is_lost(many, at(round)); ++round)
    {
        const auto probes = reach.choose_probes(many, at(round));
        EXPECT_LE(probes.size(), 5U);
        for (const core::endpoint_id& name : probes)
        {
            reach.record_unreached(name, at(round));
        }
    }
    EXPECT_TRUE(reach.is_lost(many, at(3)));
}

TEST(endpoint_reach, ends_probes_when_the_endpoints_are_reached_again)
{
    endpoint_reach reach = with_failures(three);
    EXPECT_TRUE(reach.needs_probes(at(100)));
    for (const core::endpoint_id& name : reach.choose_probes(three, at(100)))
    {
        reach.record_reached(name, at(100));
    }
    EXPECT_FALSE(reach.needs_probes(at(100)));
    EXPECT_FALSE(reach.is_lost(three, at(100)));
}

} // namespace
} // namespace poplarroute::policy
