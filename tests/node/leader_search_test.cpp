// Which member a host watches, and a model of all that it does to have the
// newest catalog.

#include "node/leader_search.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/document_sources.hpp"

namespace poplarroute::node
{
namespace
{

constexpr core::time_point now{100'000};

const std::vector<core::host_id> members{"m-1", "m-2", "m-3"};

constexpr std::int64_t hosts = 6;

TEST(leader_search, members_are_asked_in_turn_while_none_leads)
{
    leader_search search;
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-1");
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-2");
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-3");
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-1");
    EXPECT_FALSE(search.next(members, hosts, now).holds_);
    EXPECT_EQ(search.next({}, hosts, now).member_, "");
}

TEST(leader_search, only_a_member_that_leads_may_hold_the_request)
{
    leader_search search;
    search.record_reply("m-1", false, "m-2", now);
    const auto named = search.next(members, hosts, now);
    EXPECT_EQ(named.member_, "m-2");
    EXPECT_FALSE(named.holds_);
    search.record_reply("m-2", true, "m-2", now);
    const auto confirmed = search.next(members, hosts, now);
    EXPECT_EQ(confirmed.member_, "m-2");
    EXPECT_TRUE(confirmed.holds_);
    EXPECT_GT(confirmed.timeout_, named.timeout_);
}

// Guards against hosts of a large fleet that all take a new leader for lost,
// since it needs more than a moment to answer all of them.
TEST(leader_search, a_named_leader_of_many_hosts_gets_more_time)
{
    constexpr std::int64_t many_hosts = 300;
    leader_search search;
    search.record_reply("m-1", false, "m-2", now);
    const auto few = search.next(members, hosts, now);
    EXPECT_EQ(few.timeout_.ms_, 300);
    const auto many = search.next(members, many_hosts, now);
    EXPECT_EQ(many.timeout_.ms_, 1'200);
    search.record_reply("m-2", true, "m-2", now);
    const auto held = search.next(members, many_hosts, now);
    EXPECT_GE(held.timeout_.ms_, many.timeout_.ms_);
}

// Guards against a host that goes back to a lost leader again and again, since
// a member that is behind names it.
TEST(leader_search, a_lost_leader_is_not_asked_because_another_names_it)
{
    leader_search search;
    search.record_reply("m-1", true, "m-1", now);
    search.record_failure("m-1", now);
    search.record_reply("m-2", false, "m-1", now);
    EXPECT_EQ(search.leader(), "");
    EXPECT_NE(search.next(members, hosts, now).member_, "m-1");
    const core::time_point later = now + core::duration{800};
    search.record_reply("m-2", false, "m-1", later);
    EXPECT_EQ(search.leader(), "m-1");
}

TEST(leader_search, a_member_that_names_itself_but_does_not_lead_is_no_leader)
{
    leader_search search;
    search.record_reply("m-1", false, "m-1", now);
    EXPECT_EQ(search.leader(), "");
}

// Guards against a host that asks two members for ever which are behind and
// name each other.
TEST(leader_search, members_that_name_each_other_do_not_keep_a_host)
{
    leader_search search;
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-1");
    search.record_reply("m-1", false, "m-2", now);
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-2");
    search.record_reply("m-2", false, "m-1", now);
    EXPECT_EQ(search.leader(), "");
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-2");
    search.record_reply("m-2", false, "m-1", now);
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-1");
    search.record_reply("m-1", false, "m-2", now);
    EXPECT_EQ(search.next(members, hosts, now).member_, "m-3");
}

constexpr core::time_point never{1'000'000'000'000};

/// As in catalog_watcher.
constexpr core::duration search_interval{60};
constexpr core::duration hold{800};
constexpr core::duration leader_timeout{2'000};
constexpr core::duration list_relay_timeout{1'000};
constexpr core::duration catalog_relay_timeout{500};

/// Time for which a member waits for a document that it lacks, as in
/// catalog_controller and document_relay.
constexpr core::duration list_wait{800};
constexpr core::duration catalog_wait{200};

/// A member as the host meets it.
struct member_state
{
    bool is_silent_ = false; ///< It does not reply.
    bool leads_ = false;
    bool is_behind_ = false; ///< It lacks the newest catalog and list.
    core::host_id names_;    ///< Whom it takes for the leader.
    core::duration delay_;   ///< Until its reply arrives.
};

/// One host in virtual time: its watch and its two downloads, which run beside
/// each other as in catalog_watcher.
class host_model
{
public:
    explicit host_model(std::vector<core::host_id> members)
        : members_(std::move(members)), states_(members_.size())
    {
    }

    /// Begins a phase. A request that a member holds, or one whose reply is on
    /// its way, is lost if the member is silent in the new phase.
    void enter(std::vector<member_state> states)
    {
        states_ = std::move(states);
        const member_state& watched = state_of(watch_.asked_);
        if (watch_.is_held_ && watched.is_silent_)
        {
            watch_.is_lost_ = true;
            watch_.due_at_ = watch_.expires_at_;
        }
        else if (watch_.is_held_)
        {
            watch_.due_at_ = std::min(
                watch_.due_at_, now_ + watched.delay_ + watched.delay_);
        }
        list_is_wanted_ = true;
    }

    void run_until(core::time_point end)
    {
        while (next_due() <= end)
        {
            now_ = std::max(now_, next_due());
            if (watch_.due_at_ <= now_)
            {
                finish_watch();
            }
            if (catalog_.due_at_ <= now_)
            {
                finish(catalog_, has_catalog_);
            }
            if (list_.due_at_ <= now_)
            {
                bool has_list = false;
                finish(list_, has_list);
                list_is_wanted_ = list_is_wanted_ && !has_list;
            }
            start_downloads();
        }
        now_ = end;
    }

    void announce_catalog()
    {
        has_catalog_ = false;
        is_announced_ = false;
    }

    bool has_catalog() const
    {
        return has_catalog_;
    }

    core::time_point time() const
    {
        return now_;
    }

private:
    struct call
    {
        core::host_id asked_;
        core::time_point sent_at_;
        core::time_point due_at_ = never;
        core::time_point expires_at_;
        bool is_held_ = false;
        bool is_lost_ = false;
    };

    const member_state& state_of(const core::host_id& member) const
    {
        const auto found = std::find(members_.begin(), members_.end(), member);
        const auto index = found == members_.end()
                               ? 0
                               : std::distance(members_.begin(), found);
        return states_[static_cast<std::size_t>(index)];
    }

    core::time_point next_due() const
    {
        return std::min({watch_.due_at_, catalog_.due_at_, list_.due_at_});
    }

    void start_watch(core::time_point at)
    {
        const leader_search::choice next = search_.next(members_, hosts, at);
        const member_state& state = state_of(next.member_);
        const bool holds = next.holds_ && state.leads_ && is_announced_;
        watch_ = {next.member_, at, never, at + next.timeout_};
        watch_.is_held_ = holds && !state.is_silent_;
        watch_.is_lost_ = state.is_silent_;
        watch_.due_at_ = state.is_silent_ ? watch_.expires_at_
                         : holds          ? at + hold + state.delay_
                                          : at + state.delay_;
    }

    void finish_watch()
    {
        const call done = watch_;
        const member_state& state = state_of(done.asked_);
        if (done.asked_.empty())
        {
            start_watch(now_);
            return;
        }
        if (done.is_lost_)
        {
            search_.record_failure(done.asked_, now_);
            sources_.record_silence(done.asked_, now_);
            start_watch(now_ + search_interval);
            return;
        }
        sources_.record_contact(done.asked_);
        search_.record_reply(done.asked_, state.leads_, state.names_, now_);
        if (!is_announced_ && !state.is_behind_)
        {
            sources_.record_announcement(done.asked_);
            is_announced_ = true;
        }
        start_watch(state.leads_ ? now_ : now_ + search_interval);
    }

    void start_downloads()
    {
        if (is_announced_ && !has_catalog_ && catalog_.due_at_ == never)
        {
            start(catalog_, catalog_relay_timeout, catalog_wait);
        }
        if (list_is_wanted_ && !search_.leader().empty() &&
            list_.due_at_ == never)
        {
            start(list_, list_relay_timeout, list_wait);
        }
    }

    /// \param relay_wait time for which a member waits for what it lacks.
    void start(
        call& to, core::duration relay_timeout, core::duration relay_wait)
    {
        const document_sources::choice next = sources_.choose(
            members_, search_.confirmed_leader(), "zone-a", now_);
        const core::time_point at = std::max(now_, next.not_before_);
        const member_state& state = state_of(next.member_);
        to = {next.member_, at};
        to.is_lost_ = state.is_silent_;
        const core::duration timeout =
            next.member_ == search_.confirmed_leader() ? leader_timeout
                                                       : relay_timeout;
        to.due_at_ = state.is_silent_   ? at + timeout
                     : state.is_behind_ ? at + relay_wait + state.delay_
                                        : at + state.delay_;
    }

    void finish(call& done, bool& is_received)
    {
        const member_state& state = state_of(done.asked_);
        done.due_at_ = never;
        if (!done.is_lost_ && !state.is_behind_)
        {
            sources_.record_reply(done.asked_, "zone-a");
            is_received = true;
            return;
        }
        const auto kind = done.is_lost_ ? document_sources::failure::lost
                                        : document_sources::failure::not_ready;
        sources_.record_failure(done.asked_, kind, now_ - done.sent_at_, now_);
    }

    std::vector<core::host_id> members_;
    std::vector<member_state> states_;
    leader_search search_;
    document_sources sources_{7};
    core::time_point now_{now};
    call watch_{{}, now, now};
    call catalog_;
    call list_;
    bool has_catalog_ = true;
    bool is_announced_ = true;
    bool list_is_wanted_ = false;
};

/// Draws what a host meets. At most two members are silent or behind, as two
/// faults may make them.
/// \param leader index of the leading member; nothing if none leads.
std::vector<member_state> draw_states(
    const std::vector<core::host_id>& names, std::optional<std::size_t> leader)
{
    constexpr int max_delay_ms = 20;
    std::vector<member_state> out(names.size());
    constexpr int max_faulty = 2;
    int faulty = 0;
    for (std::size_t at = 0; at < out.size(); ++at)
    {
        member_state& state = out[at];
        state.delay_ = core::duration{*rc::gen::inRange(1, max_delay_ms)};
        state.leads_ = leader == at;
        const bool may_fail = !state.leads_ && faulty < max_faulty;
        state.is_silent_ = may_fail && *rc::gen::inRange(0, 3) == 0;
        state.is_behind_ =
            may_fail && !state.is_silent_ && *rc::gen::inRange(0, 3) == 0;
        faulty += state.is_silent_ || state.is_behind_ ? 1 : 0;
        state.names_ = leader ? names[*leader] : "";
        if (state.is_behind_)
        {
            state.names_ = *rc::gen::element<core::host_id>(
                "", names.front(), names.back());
        }
    }
    return out;
}

// Drawn orders of losses, delays, heals and changes of the leader. Then a
// member leads that the host reaches, and has a newer catalog.
RC_GTEST_PROP(
    leader_search, a_host_that_reaches_the_leader_has_the_newest_catalog, ())
{
    constexpr core::duration bound{2'000};
    std::vector<core::host_id> names;
    const int count = *rc::gen::element(3, 4, 5, 7);
    names.reserve(static_cast<std::size_t>(count));
    for (int at = 0; at < count; ++at)
    {
        names.push_back("m-" + std::to_string(at));
    }
    const auto draw_leader = [count]()
    {
        return static_cast<std::size_t>(*rc::gen::inRange(0, count));
    };
    host_model host(names);
    const int phases = *rc::gen::inRange(1, 6);
    for (int phase = 0; phase < phases; ++phase)
    {
        std::optional<std::size_t> leader;
        if (*rc::gen::inRange(0, 4) != 0)
        {
            leader = draw_leader();
        }
        host.enter(draw_states(names, leader));
        host.run_until(
            host.time() + core::duration{*rc::gen::inRange(1, 8'000)});
    }
    host.enter(draw_states(names, draw_leader()));
    host.announce_catalog();
    host.run_until(host.time() + bound);
    RC_ASSERT(host.has_catalog());
}

} // namespace
} // namespace poplarroute::node
