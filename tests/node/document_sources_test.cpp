// From which member a host downloads documents.

#include "node/document_sources.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::node
{
namespace
{

constexpr core::time_point now{100'000};

const std::vector<core::host_id> members{"m-1", "m-2", "m-3", "m-4"};

using failure = document_sources::failure;

constexpr core::duration quick{5};
constexpr core::duration timeout{1'000};

TEST(document_sources, the_own_zone_comes_first_and_the_leader_last)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_reply("m-2", "zone-b");
    sources.record_reply("m-4", "zone-a");
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now).member_, "m-1");
    sources.record_failure("m-1", failure::not_ready, quick, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now).member_, "m-3");
    sources.record_failure("m-3", failure::not_ready, quick, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now).member_, "m-2");
    sources.record_failure("m-2", failure::not_ready, quick, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now).member_, "m-4");
    sources.record_failure("m-4", failure::not_ready, quick, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now).member_, "m-1");
}

TEST(document_sources, a_member_that_failed_is_asked_again_later)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_failure("m-1", failure::not_ready, quick, now);
    const core::time_point later = now + core::duration{5'000};
    EXPECT_NE(sources.choose(members, "m-4", "zone-a", now).member_, "m-1");
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later).member_, "m-1");
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
    const core::host_id first =
        sources.choose(members, "m-4", "zone-a", now).member_;
    EXPECT_NE(first, "m-4");
    sources.record_failure(first, failure::lost, timeout, now);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", now).member_, "m-4");
    // The next transfer asks another member, and not the lost one.
    const core::time_point later = now + core::duration{5'000};
    const core::host_id next =
        sources.choose(members, "m-4", "zone-a", later).member_;
    EXPECT_NE(next, first);
    EXPECT_NE(next, "m-4");
    sources.record_failure(next, failure::lost, timeout, later);
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later).member_, "m-4");
}

// Guards against hosts that wait for a leader which is lost itself.
TEST(document_sources, another_member_is_asked_when_the_leader_is_lost)
{
    document_sources sources(7);
    sources.record_failure("m-1", failure::lost, timeout, now);
    sources.record_failure("m-4", failure::lost, timeout, now);
    const core::host_id next =
        sources.choose(members, "m-4", "zone-a", now).member_;
    EXPECT_TRUE(next == "m-2" || next == "m-3") << next;
}

TEST(document_sources, a_lost_member_that_replies_is_asked_first_again)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    sources.record_failure("m-1", failure::lost, timeout, now);
    const core::time_point later = now + core::duration{60'000};
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later).member_, "m-1");
    sources.record_reply("m-1", "zone-a");
    const core::time_point then = now + core::duration{5'000};
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", then).member_, "m-1");
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
        ++asked[sources.choose(members, "m-4", "zone-a", now).member_];
    }
    EXPECT_EQ(asked.count("m-4"), 0U);
    EXPECT_EQ(asked.size(), 3U);
    for (const auto& [member, count] : asked)
    {
        EXPECT_LT(count, 150) << member;
    }
}

// Guards against a host that asks a member that is cut off, again and again,
// since the members that could answer were restarted before (review/7).
TEST(document_sources, a_restarted_leader_comes_before_a_member_without_it)
{
    document_sources sources(7);
    sources.record_reply("m-1", "zone-a");
    for (const char* member : {"m-2", "m-3", "m-4"})
    {
        sources.record_failure(member, failure::lost, timeout, now);
    }
    sources.record_contact("m-4");
    const core::time_point later = now + core::duration{5'000};
    EXPECT_EQ(sources.choose(members, "m-4", "zone-a", later).member_, "m-1");
    sources.record_failure("m-1", failure::not_ready, quick, later);
    const auto next = sources.choose(members, "m-4", "zone-a", later);
    EXPECT_EQ(next.member_, "m-4");
    EXPECT_EQ(next.not_before_, later);
}

/// Members as one host sees them, in virtual time.
struct model
{
    enum class state
    {
        sound,        ///< Has what the leader announces.
        cut_off,      ///< Replies at once that it does not have it.
        slow_cut_off, ///< Replies so after it waited for the leader.
        lost,         ///< Does not reply.
    };

    std::vector<core::host_id> members_;
    std::map<core::host_id, state> states_;
    document_sources sources_{7};
    core::time_point now_{100'000};
    std::vector<core::time_point> failed_calls_;

    void draw_states()
    {
        for (const core::host_id& member : members_)
        {
            states_[member] = *rc::gen::element(
                state::sound, state::cut_off, state::slow_cut_off, state::lost);
        }
    }

    /// Asks one member.
    /// \param leader empty: none is known.
    /// \return whether the host has the document then.
    bool ask(const core::host_id& leader)
    {
        if (!leader.empty())
        {
            sources_.record_contact(leader);
        }
        const document_sources::choice next =
            sources_.choose(members_, leader, "zone-a", now_);
        now_ = std::max(now_, next.not_before_);
        constexpr core::duration leader_timeout{2'000};
        constexpr core::duration relay_wait{800};
        const core::time_point sent_at = now_;
        switch (states_[next.member_])
        {
        case state::sound:
            now_ = now_ + quick;
            sources_.record_reply(
                next.member_, *rc::gen::element("zone-a", "zone-b"));
            return true;
        case state::cut_off:
            now_ = now_ + core::duration{2};
            break;
        case state::slow_cut_off:
            now_ = now_ + relay_wait;
            break;
        case state::lost:
            now_ = now_ + (next.member_ == leader ? leader_timeout : timeout);
            break;
        }
        failed_calls_.push_back(sent_at);
        sources_.record_failure(
            next.member_,
            states_[next.member_] == state::lost ? failure::lost
                                                 : failure::not_ready,
            now_ - sent_at,
            now_);
        return false;
    }

    /// \return the largest number of failed calls within a second, beside one
    /// for each member.
    std::size_t most_repeated_calls() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < failed_calls_.size(); ++first)
        {
            std::size_t after = first;
            while (after < failed_calls_.size() &&
                   (failed_calls_[after] - failed_calls_[first]).ms_ < 1'000)
            {
                ++after;
            }
            most = std::max(most, after - first);
        }
        return most - std::min(most, members_.size());
    }
};

// Drawn orders of restarts, cuts, losses and heals. Then the leader is sound
// and announces a document.
RC_GTEST_PROP(document_sources, a_host_that_reaches_the_leader_is_served, ())
{
    constexpr std::int64_t max_late_ms = 2'000;
    model drawn;
    const int count = *rc::gen::element(3, 5, 7);
    for (int at = 0; at < count; ++at)
    {
        drawn.members_.push_back("m-" + std::to_string(at));
    }
    const int phases = *rc::gen::inRange(0, 6);
    for (int phase = 0; phase < phases; ++phase)
    {
        drawn.draw_states();
        const core::host_id leader = *rc::gen::elementOf(drawn.members_);
        const bool is_reached = *rc::gen::arbitrary<bool>() &&
                                drawn.states_[leader] != model::state::lost;
        const core::time_point until =
            drawn.now_ + core::duration{*rc::gen::inRange(100, 8'000)};
        while (drawn.now_ < until)
        {
            if (drawn.ask(is_reached ? leader : core::host_id()))
            {
                drawn.now_ =
                    drawn.now_ + core::duration{*rc::gen::inRange(10, 1'000)};
            }
        }
    }
    drawn.draw_states();
    const core::host_id leader = *rc::gen::elementOf(drawn.members_);
    drawn.states_[leader] = model::state::sound;
    const core::time_point announced_at = drawn.now_;
    while (!drawn.ask(leader))
    {
        RC_ASSERT((drawn.now_ - announced_at).ms_ < max_late_ms);
    }
    RC_ASSERT((drawn.now_ - announced_at).ms_ < max_late_ms);
    constexpr std::size_t max_repeated_calls = 10;
    RC_ASSERT(drawn.most_repeated_calls() <= max_repeated_calls);
}

TEST(document_sources, there_may_be_no_member)
{
    const document_sources sources(7);
    EXPECT_EQ(sources.choose({}, "", "zone-a", now).member_, "");
}

} // namespace
} // namespace poplarroute::node
