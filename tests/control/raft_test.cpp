#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/membership.hpp"
#include "control/raft.hpp"
#include "core/invariant.hpp"

namespace poplarroute::control
{

namespace
{

member_group three_voters()
{
    return {{{"a", "sa", true}, {"b", "sb", true}, {"c", "sc", true}}};
}

raft make_raft(const core::host_id& host, const store_id& store, bool is_empty)
{
    raft_initial_state start;
    start.host_ = host;
    start.store_ = store;
    if (!is_empty)
    {
        start.snapshot_ = {1, 1, three_voters(), "s"};
    }
    return raft(std::move(start), {0});
}

} // namespace

TEST(raft, a_member_with_an_empty_disk_never_votes)
{
    raft empty_member = make_raft("c", "new", true);
    for (const bool trial : {true, false})
    {
        const auto actions = empty_member.receive(
            {"a", "sa", "c", "new", vote_request{5, 9, 4, trial}}, {10});
        ASSERT_EQ(actions.send_.size(), 1U);
        EXPECT_FALSE(std::get<vote_reply>(actions.send_[0].body_).granted_);
        EXPECT_FALSE(actions.hard_state_.has_value());
    }
}

namespace
{

/// Lets an invariant that does not hold throw while it exists.
class throwing_invariants
{
public:
    throwing_invariants()
        : previous_(core::set_invariant_handler(
              [](std::string_view what)
              {
                  throw std::logic_error(std::string(what));
              }))
    {
    }

    ~throwing_invariants()
    {
        core::set_invariant_handler(previous_);
    }

    throwing_invariants(const throwing_invariants&) = delete;
    throwing_invariants& operator=(const throwing_invariants&) = delete;

private:
    core::invariant_handler previous_;
};

/// Draws a small number, or sometimes one near the end of the range.
std::uint64_t draw_number(std::mt19937_64& random)
{
    return random() % 16 == 0 ? ~std::uint64_t{0} - random() % 2 : random() % 6;
}

std::vector<log_entry> draw_entries(std::mt19937_64& random)
{
    std::vector<log_entry> out;
    std::uint64_t index = draw_number(random);
    for (std::uint64_t count = random() % 4; count > 0; --count)
    {
        const entry_kind kind =
            random() % 4 == 0 ? entry_kind::membership : entry_kind::command;
        out.push_back({index, draw_number(random), kind, "x"});
        index = random() % 4 == 0 ? draw_number(random) : index + 1;
    }
    return out;
}

raft_body draw_body(std::mt19937_64& random)
{
    const auto number = [&]()
    {
        return draw_number(random);
    };
    switch (random() % 5)
    {
    case 0:
        return vote_request{number(), number(), number(), random() % 2 == 0};
    case 1:
        return vote_reply{number(), random() % 2 == 0, random() % 2 == 0};
    case 2:
        return append_request{
            number(),
            number(),
            number(),
            draw_entries(random),
            number(),
            number()};
    case 3:
        return append_reply{number(), random() % 2 == 0, number(), number()};
    default:
        return snapshot_request{
            number(), {number(), number(), three_voters(), "s"}, number()};
    }
}

} // namespace

// Another program that reaches the port of a member can send any message.
// Guards against one that breaks an invariant, which ends the process.
RC_GTEST_PROP(
    raft, no_message_that_is_accepted_breaks_an_invariant, (unsigned seed))
{
    const throwing_invariants guard;
    std::mt19937_64 random(seed);
    raft member = make_raft("a", "sa", false);
    core::time_point now{10};
    for (int step = 0; step < 60; ++step)
    {
        now = now + core::duration{static_cast<std::int64_t>(random() % 400)};
        member.tick(now);
        const char* sender = random() % 2 == 0 ? "b" : "c";
        const raft_message message{
            sender,
            sender == std::string("b") ? "sb" : "sc",
            "a",
            "sa",
            draw_body(random)};
        if (member.find_objection(message).empty())
        {
            member.receive(message, now);
        }
    }
}

TEST(raft, the_vote_of_a_replaced_store_does_not_count)
{
    raft candidate = make_raft("a", "sa", false);
    candidate.tick({5'000});
    ASSERT_EQ(candidate.role(), raft_role::pre_candidate);
    candidate.receive(
        {"b", "other", "a", "sa", vote_reply{1, true, true}}, {5'001});
    EXPECT_EQ(candidate.role(), raft_role::pre_candidate);
    candidate.receive(
        {"b", "sb", "a", "sa", vote_reply{1, true, true}}, {5'002});
    EXPECT_EQ(candidate.role(), raft_role::candidate);
}

TEST(raft, the_reply_of_a_replaced_store_does_not_count)
{
    raft leader = make_raft("a", "sa", false);
    leader.tick({5'000});
    leader.receive({"b", "sb", "a", "sa", vote_reply{1, true, true}}, {5'001});
    leader.receive(
        {"b", "sb", "a", "sa", vote_reply{leader.term(), true, false}},
        {5'002});
    ASSERT_EQ(leader.role(), raft_role::leader);
    const log_index committed = leader.commit_index();
    const append_reply stored{
        leader.term(), true, leader.log().last_index(), 1};
    leader.receive({"b", "other", "a", "sa", stored}, {5'010});
    EXPECT_EQ(leader.commit_index(), committed);
    leader.receive({"b", "sb", "a", "sa", stored}, {5'011});
    EXPECT_EQ(leader.commit_index(), leader.log().last_index());
}

TEST(raft, a_message_to_the_earlier_store_is_dropped)
{
    raft fresh = make_raft("c", "new", true);
    const auto actions = fresh.receive(
        {"a", "sa", "c", "sc", append_request{3, 0, 0, {}, 0, 1}}, {10});
    EXPECT_TRUE(actions.send_.empty());
    EXPECT_EQ(fresh.term(), 0U);
}

TEST(raft, a_member_in_contact_with_its_leader_grants_no_vote)
{
    raft follower = make_raft("b", "sb", false);
    follower.receive(
        {"a", "sa", "b", "sb", append_request{2, 1, 1, {}, 1, 1}}, {100});
    const auto actions = follower.receive(
        {"c", "sc", "b", "sb", vote_request{9, 50, 8, false}}, {200});
    EXPECT_FALSE(std::get<vote_reply>(actions.send_[0].body_).granted_);
    EXPECT_EQ(follower.term(), 2U);
}

// Guards against a slow election after a restart of the whole group. The first
// member's pre-vote reached nobody and its next one came a full election
// timeout later, so that entry hosts were without a catalog for 1.4 s.
// A leader that was paused must not act before it has looked at the time: a
// successor may have been elected meanwhile.
TEST(raft, a_leader_that_was_paused_is_not_followed)
{
    raft leader = make_raft("a", "sa", false);
    leader.tick({5'000});
    leader.receive({"b", "sb", "a", "sa", vote_reply{1, true, true}}, {5'001});
    const vote_reply granted{leader.term(), true, false};
    leader.receive({"b", "sb", "a", "sa", granted}, {5'002});
    ASSERT_EQ(leader.role(), raft_role::leader);
    EXPECT_TRUE(leader.is_followed({5'100}));
    EXPECT_FALSE(leader.is_followed({15'000}));
    EXPECT_EQ(leader.role(), raft_role::leader);
    leader.tick({15'000});
    EXPECT_NE(leader.role(), raft_role::leader);
}

TEST(raft, a_restarted_group_elects_soon_after_its_majority_started)
{
    constexpr core::duration majority_start_time{300};
    constexpr core::duration max_election_time{450};
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        std::map<core::host_id, raft> running_members;
        std::vector<raft_message> messages;
        core::time_point now{0};
        bool has_leader = false;
        const core::time_point deadline =
            now + majority_start_time + max_election_time;
        while (!has_leader && now < deadline)
        {
            now = now + core::duration{5};
            for (const auto& [host, start_time] :
                 {std::pair{core::host_id("a"), core::duration{5}},
                  std::pair{core::host_id("b"), majority_start_time}})
            {
                if (now.ms_ == start_time.ms_)
                {
                    raft_initial_state start;
                    start.host_ = host;
                    start.store_ = "s" + host;
                    start.snapshot_ = {1, 1, three_voters(), "s"};
                    start.times_ = {{100}, {450}, {450}, {120}};
                    start.seed_ = seed + (host == "a" ? 0 : 1'000);
                    running_members.emplace(host, raft(std::move(start), now));
                }
            }
            std::vector<raft_message> sent;
            for (auto& [host, member] : running_members)
            {
                for (const raft_message& item : messages)
                {
                    if (item.to_ == host)
                    {
                        const auto replies = member.receive(item, now).send_;
                        sent.insert(sent.end(), replies.begin(), replies.end());
                    }
                }
                const auto replies = member.tick(now).send_;
                sent.insert(sent.end(), replies.begin(), replies.end());
                has_leader = has_leader || member.role() == raft_role::leader;
            }
            messages = std::move(sent);
        }
        EXPECT_TRUE(has_leader) << "seed " << seed;
    }
}

TEST(raft, a_learner_that_never_replied_is_not_promoted)
{
    raft_initial_state start;
    start.host_ = "a";
    start.store_ = "sa";
    start.snapshot_ = {1, 1, {{{"a", "sa", true}}}, "s"};
    raft leader(std::move(start), {0});
    leader.tick({5'000});
    ASSERT_EQ(leader.role(), raft_role::leader);
    member_group next = leader.log().group();
    next.members_.push_back({"b", "sb", false});
    log_index index = 0;
    ASSERT_TRUE(core::is_ok(leader.propose_group_change(next, {5'010}, index)));
    next.members_[1].voter_ = true;
    const auto promoted = leader.propose_group_change(next, {5'020}, index);
    ASSERT_FALSE(core::is_ok(promoted));
    EXPECT_EQ(core::failure(promoted).code_, core::errc::not_ready);
}

TEST(raft, a_group_changes_by_one_member_at_a_time)
{
    raft_initial_state start;
    start.host_ = "a";
    start.store_ = "sa";
    start.snapshot_ = {1, 1, {{{"a", "sa", true}}}, "s"};
    raft leader(std::move(start), {0});
    leader.tick({5'000});
    member_group next = leader.log().group();
    next.members_.push_back({"b", "sb", true});
    log_index index = 0;
    EXPECT_FALSE(
        core::is_ok(leader.propose_group_change(next, {5'010}, index)));
    next.members_[1].voter_ = false;
    next.members_.push_back({"c", "sc", false});
    EXPECT_FALSE(
        core::is_ok(leader.propose_group_change(next, {5'010}, index)));
}

// Guards against a member that lost its disk and is never added again, since
// the group's count of replaced members was taken for a change of its own.
TEST(raft, a_member_is_added_whatever_the_count_of_replaced_ones)
{
    for (const std::int64_t surplus : {-1, 0, 2})
    {
        raft_initial_state start;
        start.host_ = "a";
        start.store_ = "sa";
        start.snapshot_ = {1, 1, {{{"a", "sa", true}}, surplus}, "s"};
        raft leader(std::move(start), {0});
        leader.tick({5'000});
        member_group next = leader.log().group();
        next.members_.push_back({"b", "sb", false});
        ++next.surplus_;
        log_index index = 0;
        EXPECT_TRUE(
            core::is_ok(leader.propose_group_change(next, {5'010}, index)))
            << surplus;
        EXPECT_EQ(leader.log().group().surplus_, surplus + 1);
    }
}

TEST(raft, a_snapshot_does_not_drop_entries_already_acknowledged)
{
    raft follower = make_raft("b", "sb", false);
    append_request append{2, 1, 1, {}, 1, 1};
    for (log_index index = 2; index <= 6; ++index)
    {
        append.entries_.push_back({index, 2, entry_kind::command, "x"});
    }
    follower.receive({"a", "sa", "b", "sb", append}, {100});
    ASSERT_EQ(follower.log().last_index(), 6U);
    // A delayed snapshot ends before the last entry of this member's log.
    const snapshot_request late{2, {4, 2, three_voters(), "s"}, 1};
    const auto actions = follower.receive({"a", "sa", "b", "sb", late}, {110});
    EXPECT_FALSE(actions.install_snapshot_.has_value());
    EXPECT_EQ(follower.log().last_index(), 6U);
    EXPECT_EQ(follower.commit_index(), 4U);
}

namespace
{

/// \return the leader of three members in term 2. Its log has an entry of term
/// 1 that is not known to be on a majority.
raft make_leader_of_term_two()
{
    raft_initial_state start;
    start.host_ = "a";
    start.store_ = "sa";
    start.hard_state_ = {1, ""};
    start.snapshot_ = {1, 1, three_voters(), "s"};
    start.entries_ = {{2, 1, entry_kind::command, "old"}};
    raft leader(std::move(start), {0});
    leader.tick({5'000});
    leader.receive({"b", "sb", "a", "sa", vote_reply{2, true, true}}, {5'001});
    leader.receive({"b", "sb", "a", "sa", vote_reply{2, true, false}}, {5'002});
    return leader;
}

} // namespace

TEST(raft, an_entry_of_an_earlier_term_is_not_committed_by_counting)
{
    raft leader = make_leader_of_term_two();
    ASSERT_EQ(leader.role(), raft_role::leader);
    ASSERT_EQ(leader.term(), 2U);
    // A majority has the old entry, but not yet one of the current term.
    leader.receive(
        {"b", "sb", "a", "sa", append_reply{2, true, 2, 1}}, {5'010});
    EXPECT_EQ(leader.commit_index(), 1U);
    leader.receive(
        {"b", "sb", "a", "sa", append_reply{2, true, 3, 2}}, {5'020});
    EXPECT_EQ(leader.commit_index(), 3U);
}

TEST(raft, a_read_waits_for_replies_of_a_majority_to_its_round)
{
    raft leader = make_leader_of_term_two();
    leader.receive(
        {"b", "sb", "a", "sa", append_reply{2, true, 3, 1}}, {5'010});
    ASSERT_EQ(leader.commit_index(), 3U);
    const auto asked = leader.read(7, {5'020});
    EXPECT_TRUE(asked.ready_reads_.empty());
    // A reply to an earlier round does not confirm that this leader still
    // leads.
    const auto early = leader.receive(
        {"c", "sc", "a", "sa", append_reply{2, true, 3, 1}}, {5'030});
    EXPECT_TRUE(early.ready_reads_.empty());
    const auto& request = std::get<append_request>(asked.send_[0].body_);
    const auto now = leader.receive(
        {"b", "sb", "a", "sa", append_reply{2, true, 3, request.round_}},
        {5'040});
    ASSERT_EQ(now.ready_reads_.size(), 1U);
    EXPECT_EQ(now.ready_reads_[0], 7U);
}

namespace
{

constexpr std::size_t large_payload_bytes = 700'000;

/// \return the bytes of entries in messages to a member.
std::size_t entry_bytes_to(
    const core::host_id& host, const std::vector<raft_message>& messages)
{
    std::size_t out = 0;
    for (const raft_message& item : messages)
    {
        const auto* request = std::get_if<append_request>(&item.body_);
        if (item.to_ != host || request == nullptr)
        {
            continue;
        }
        for (const log_entry& entry : request->entries_)
        {
            out += entry.payload_.size();
        }
    }
    return out;
}

/// A leader, and a follower that has its log.
struct leader_and_follower
{
    leader_and_follower()
    {
        leader_.tick({5'000});
        leader_.receive(
            {"b", "sb", "a", "sa", vote_reply{1, true, true}}, {5'001});
        const vote_reply granted{leader_.term(), true, false};
        settle(
            leader_.receive({"b", "sb", "a", "sa", granted}, {5'002}).send_,
            {5'002});
    }

    /// Exchanges messages until no more are sent.
    void settle(std::vector<raft_message> messages, core::time_point now)
    {
        while (!messages.empty())
        {
            messages = exchange(messages, now);
        }
    }

    /// Delivers messages to the follower, and its replies to the leader.
    /// \return what the leader sends then.
    std::vector<raft_message> exchange(
        const std::vector<raft_message>& messages, core::time_point now)
    {
        std::vector<raft_message> out;
        for (const raft_message& item : messages)
        {
            if (item.to_ != "b")
            {
                continue;
            }
            for (const raft_message& answer :
                 follower_.receive(item, now).send_)
            {
                const auto sent = leader_.receive(answer, now).send_;
                out.insert(out.end(), sent.begin(), sent.end());
            }
        }
        return out;
    }

    std::vector<raft_message> propose_large(core::time_point now)
    {
        const std::vector<std::string> payloads{
            std::string(large_payload_bytes, 'x')};
        log_index index = 0;
        return core::value(leader_.propose(payloads, now, index)).send_;
    }

    raft leader_ = make_raft("a", "sa", false);
    raft follower_ = make_raft("b", "sb", false);
};

} // namespace

// Guards against a leader that sends its entries once for each heartbeat that a
// member had not read while it was paused.
TEST(raft, the_backlog_of_a_paused_member_is_answered_with_its_entries_once)
{
    constexpr int heartbeats = 100;
    leader_and_follower group;
    ASSERT_EQ(group.leader_.role(), raft_role::leader);
    // The member's connection breaks with the entries.
    core::time_point now{5'200};
    group.propose_large(now);
    std::vector<raft_message> backlog;
    for (int count = 0; count < heartbeats; ++count)
    {
        now = now + core::duration{200};
        // Another member keeps the leader in office.
        const auto sent = group.leader_.tick(now).send_;
        for (const raft_message& item : sent)
        {
            if (item.to_ == "b")
            {
                backlog.push_back(item);
            }
            else
            {
                const auto& request = std::get<append_request>(item.body_);
                group.leader_.receive(
                    {"c",
                     "sc",
                     "a",
                     "sa",
                     append_reply{
                         request.term_,
                         true,
                         request.previous_index_,
                         request.round_}},
                    now);
            }
        }
    }
    ASSERT_EQ(group.leader_.role(), raft_role::leader);
    const auto sent = group.exchange(backlog, now);
    EXPECT_LE(entry_bytes_to("b", sent), 2 * large_payload_bytes);
    EXPECT_GE(entry_bytes_to("b", sent), large_payload_bytes);
    group.settle(sent, now);
    EXPECT_EQ(
        group.follower_.log().last_index(), group.leader_.log().last_index());
}

// Guards against heartbeats that overtake entries on a slow link and let the
// leader send the entries again each time.
TEST(raft, entries_on_their_way_are_not_sent_again_for_each_heartbeat)
{
    leader_and_follower group;
    ASSERT_EQ(group.leader_.role(), raft_role::leader);
    core::time_point now{5'200};
    const auto entries = group.propose_large(now);
    ASSERT_GE(entry_bytes_to("b", entries), large_payload_bytes);
    std::size_t sent_again = 0;
    for (int count = 0; count < 4; ++count)
    {
        now = now + core::duration{160};
        const auto answers = group.exchange(group.leader_.tick(now).send_, now);
        sent_again += entry_bytes_to("b", answers);
    }
    EXPECT_EQ(sent_again, 0U);
    group.exchange(entries, now);
    EXPECT_EQ(
        group.follower_.log().last_index(), group.leader_.log().last_index());
}

// Guards against entries that are never sent again after their loss.
TEST(raft, lost_entries_are_sent_again)
{
    leader_and_follower group;
    core::time_point now{5'200};
    group.propose_large(now);
    const core::time_point until = now + core::duration{2'000};
    while (group.follower_.log().last_index() !=
               group.leader_.log().last_index() &&
           now < until)
    {
        now = now + core::duration{160};
        group.settle(group.leader_.tick(now).send_, now);
    }
    EXPECT_LT(now.ms_, until.ms_);
}

RC_GTEST_PROP(
    raft, decodes_any_bytes_without_a_crash, (const std::string& bytes))
{
    const auto message = decode_message(bytes);
    static_cast<void>(decode_entry(bytes));
    static_cast<void>(decode_snapshot(bytes));
    RC_ASSERT(!message || !message->to_.empty() || message->to_.empty());
}

namespace
{

/// Three members that exchange messages without delay.
class paused_group
{
public:
    paused_group()
    {
        members_.emplace("a", make_raft("a", "sa", false));
        members_.emplace("b", make_raft("b", "sb", false));
        members_.emplace("c", make_raft("c", "sc", false));
    }

    /// Ticks all members at an interval, except those that stand still.
    void run(
        core::duration length,
        core::duration interval,
        const std::set<core::host_id>& still = {})
    {
        const core::time_point end = now_ + length;
        while (now_ + interval <= end)
        {
            now_ = now_ + interval;
            for (auto& [host, member] : members_)
            {
                if (still.count(host) == 0)
                {
                    deliver(member.tick(now_).send_, still);
                }
            }
        }
        now_ = end;
    }

    /// Lets all members stand still.
    void pause_all(core::duration length)
    {
        now_ = now_ + length;
    }

    /// \return the members that lead and are followed.
    std::vector<core::host_id> leaders() const
    {
        std::vector<core::host_id> out;
        for (const auto& [host, member] : members_)
        {
            if (member.is_followed(now_))
            {
                out.push_back(host);
            }
        }
        return out;
    }

    term_number term() const
    {
        return members_.at("a").term();
    }

private:
    void deliver(
        std::vector<raft_message> messages,
        const std::set<core::host_id>& still)
    {
        while (!messages.empty())
        {
            std::vector<raft_message> next;
            for (const raft_message& message : messages)
            {
                if (still.count(message.to_) == 0)
                {
                    const auto replies =
                        members_.at(message.to_).receive(message, now_).send_;
                    next.insert(next.end(), replies.begin(), replies.end());
                }
            }
            messages = std::move(next);
        }
    }

    std::map<core::host_id, raft> members_;
    core::time_point now_{1'000};
};

constexpr core::duration usual_interval{20};

} // namespace

// Guards against a change of the leader each time that a busy machine lets all
// members stand still for a moment.
TEST(raft, a_short_pause_of_all_members_does_not_change_the_leader)
{
    paused_group group;
    group.run({4'000}, usual_interval);
    const auto leaders = group.leaders();
    ASSERT_EQ(leaders.size(), 1U);
    const term_number term = group.term();
    for (const std::int64_t pause_ms : {700, 900, 1'200, 1'500})
    {
        group.pause_all({pause_ms});
        group.run({1'000}, usual_interval);
        EXPECT_EQ(group.leaders(), leaders) << pause_ms;
        EXPECT_EQ(group.term(), term) << pause_ms;
    }
}

TEST(raft, a_leader_that_stands_still_is_replaced_and_follows_its_successor)
{
    paused_group group;
    group.run({4'000}, usual_interval);
    const auto leaders = group.leaders();
    ASSERT_EQ(leaders.size(), 1U);
    group.run({3'000}, usual_interval, {leaders[0]});
    group.run({500}, usual_interval);
    const auto successors = group.leaders();
    ASSERT_EQ(successors.size(), 1U);
    EXPECT_NE(successors, leaders);
}

// Guards against members that are late at each tick and wait for ever.
TEST(raft, members_that_are_late_all_the_time_replace_a_lost_leader)
{
    constexpr core::duration late_interval{400};
    paused_group group;
    group.run({4'000}, usual_interval);
    const auto leaders = group.leaders();
    ASSERT_EQ(leaders.size(), 1U);
    group.run({8'000}, late_interval, {leaders[0]});
    const auto successors = group.leaders();
    ASSERT_EQ(successors.size(), 1U);
    EXPECT_NE(successors, leaders);
}

TEST(membership, a_host_that_does_not_answer_is_suspected_and_then_dead)
{
    membership members("a", "z", 1, 1);
    const std::vector<peer_record> hosts{{"b", "z", "127.0.0.1:1"}};
    members.set_hosts(hosts, {0});
    probe hello;
    hello.sender_ = {"b", 7, 0, liveness::alive, false};
    members.heard(hello, {0});
    EXPECT_EQ(members.serving_hosts_in("z").size(), 2U);
    members.no_answer("b", {100});
    members.tick({1'000});
    EXPECT_EQ(members.peers().at("b").state_, liveness::suspect);
    members.tick({1'700});
    EXPECT_EQ(members.peers().at("b").state_, liveness::dead);
    ASSERT_EQ(members.take_dead_hosts().size(), 1U);
    EXPECT_EQ(members.serving_hosts_in("z").size(), 1U);
}

TEST(membership, a_live_host_refutes_its_death)
{
    membership left("a", "z", 1, 1);
    membership right("b", "z", 7, 2);
    const std::vector<peer_record> for_left{{"b", "z", "127.0.0.1:1"}};
    const std::vector<peer_record> for_right{{"a", "z", "127.0.0.1:2"}};
    left.set_hosts(for_left, {0});
    right.set_hosts(for_right, {0});
    left.heard(right.make_probe("a", 1, 0, ""), {0});
    left.no_answer("b", {100});
    left.tick({2'000});
    ASSERT_EQ(left.peers().at("b").state_, liveness::dead);
    right.heard(left.make_probe("b", 1, 0, ""), {2'100});
    left.heard(right.make_probe("a", 1, 0, ""), {2'200});
    EXPECT_EQ(left.peers().at("b").state_, liveness::alive);
}

TEST(membership, a_new_process_shows_that_the_earlier_one_has_ended)
{
    membership members("a", "z", 1, 1);
    const std::vector<peer_record> hosts{{"b", "z", "127.0.0.1:1"}};
    members.set_hosts(hosts, {0});
    probe hello;
    hello.sender_ = {"b", 7, 0, liveness::alive, false};
    members.heard(hello, {0});
    hello.sender_.incarnation_ = 8;
    members.heard(hello, {10});
    const auto dead_hosts = members.take_dead_hosts();
    ASSERT_EQ(dead_hosts.size(), 1U);
    EXPECT_EQ(dead_hosts[0].incarnation_, 7U);
}

} // namespace poplarroute::control
