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

using failure = document_sources::failure;

TEST(document_sources, the_own_zone_comes_first_and_the_leader_last)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_reply("m-2", "zone-b");
    sources.record_reply("m-4", "zone-a");
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-1");
    sources.record_failure("m-1", failure::not_ready, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-3");
    sources.record_failure("m-3", failure::not_ready, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-2");
    sources.record_failure("m-2", failure::not_ready, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-4");
    sources.record_failure("m-4", failure::not_ready, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-1");
}

TEST(document_sources, a_member_that_failed_is_asked_again_later)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_failure("m-1", failure::not_ready, now);
    const core::time_point later = now + core::duration{5'000};
    EXPECT_NE(sources.choose(members, "m-4", "zone-a", now), "m-1");
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later), "m-1");
}

// Guards against a change that is late since lost members are asked one after
// another, each for its whole timeout.
TEST(document_sources, the_leader_is_asked_after_one_lost_member)
{
    document_sources sources(7);
    for (const char* member : {"m-1", "m-2", "m-3"})
    {
        sources.record_reply(member, "zone-a");
    }
    const core::host_id first = sources.choose(members, "m-4", "zone-a", now);
    EXPECT_NE(first, "m-4");
    sources.record_failure(first, failure::lost, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now), "m-4");
    // The next transfer asks another member, and not the lost one.
    const core::time_point later = now + core::duration{5'000};
    const core::host_id next = sources.choose(members, "m-4", "zone-a", later);
    EXPECT_NE(next, first);
    EXPECT_NE(next, "m-4");
    sources.record_failure(next, failure::lost, later);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later), "m-4");
}

// Guards against hosts that wait for a leader which is lost itself.
TEST(document_sources, another_member_is_asked_when_the_leader_is_lost)
{
    document_sources sources(7);
    sources.record_failure("m-1", failure::lost, now);
    sources.record_failure("m-4", failure::lost, now);
    const core::host_id next = sources.choose(members, "m-4", "zone-a", now);
    EXPECT_TRUE(next == "m-2" || next == "m-3") << next;
}

TEST(document_sources, a_lost_member_that_replies_is_asked_first_again)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_failure("m-1", failure::lost, now);
    const core::time_point later = now + core::duration{60'000};
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later), "m-1");
    sources.record_reply("m-1", "zone-a");
    const core::time_point then = now + core::duration{5'000};
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", then), "m-1");
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
