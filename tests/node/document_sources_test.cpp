// From which member a host downloads documents.

#include "node/document_sources.hpp"

#include <map>
#include <vector>

#include <gtest/gtest.h>

namespace poplarroute::node
{
namespace
{

constexpr core::time_point now{100'000};

const std::vector<core::host_id> members{"m-1", "m-2", "m-3", "m-4"};

TEST(document_sources, the_own_zone_comes_first_and_the_leader_last)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_reply("m-2", "zone-b");
    sources.record_reply("m-4", "zone-a");
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-1");
    sources.record_failure("m-1", now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-3");
    sources.record_failure("m-3", now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-2");
    sources.record_failure("m-2", now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-4");
    sources.record_failure("m-4", now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-1");
}

TEST(document_sources, a_member_that_failed_is_asked_again_later)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_failure("m-1", now);
    const core::time_point later = now + core::duration{5'000};
    EXPECT_NE(sources.choose(members, "m-4", "zone-a", now), "m-1");
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later), "m-1");
}

// Guards against hosts that all download from one member after all processes
// were lost and no zone is known.
TEST(document_sources, hosts_that_know_nothing_spread_over_the_members)
{
    constexpr std::uint64_t hosts = 300;
    std::map<core::host_id, int> asked;
    for (std::uint64_t seed = 1; seed <= hosts; ++seed)
    {
        const document_sources sources(seed);
        ++asked[sources.choose(members, "m-4", "zone-a", now)];
    }
    EXPECT_EQ(asked.count("m-4"), 0U);
    EXPECT_EQ(asked.size(), 3U);
    for (const auto& [member, count] : asked)
    {
        EXPECT_LT(count, 150) << member;
    }
}

TEST(document_sources, there_may_be_no_member)
{
    const document_sources sources(7);
    EXPECT_EQ(sources.choose({}, "", "zone-a", now), "");
}

} // namespace
} // namespace poplarroute::node
