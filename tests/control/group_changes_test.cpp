// Which members a group adds to its voters and removes. Guards against members
// that have left for good and still vote: the loss of one disk then ends a
// group that should bear it (review/6).
#include "control/group_changes.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "core/codec.hpp"

namespace poplarroute::control
{
namespace
{

member_group voters(std::initializer_list<const char*> hosts)
{
    member_group out;
    for (const char* host : hosts)
    {
        out.members_.push_back({host, host, true});
    }
    return out;
}

constexpr member_contact sound{core::duration{100}, false, false};
constexpr member_contact gone{core::duration{3'000}, false, false};
constexpr member_contact stops{core::duration{100}, false, true};

TEST(group_changes, a_replaced_member_is_removed)
{
    member_group group = voters({"a", "b", "c", "d"});
    group.surplus_ = 1;
    const group_change expected{group_change::kind::remove, "b"};
    EXPECT_EQ(
        decide_group_change(group, {{"b", gone}, {"c", sound}, {"d", sound}}),
        expected);
    EXPECT_EQ(
        decide_group_change(group, {{"b", stops}, {"c", sound}, {"d", sound}}),
        expected);
}

TEST(group_changes, a_member_that_no_other_replaces_stays)
{
    const member_group group = voters({"a", "b", "c"});
    EXPECT_FALSE(decide_group_change(group, {{"b", gone}, {"c", sound}}));
    EXPECT_FALSE(decide_group_change(group, {{"b", stops}, {"c", sound}}));
}

TEST(group_changes, none_is_removed_before_its_successor_votes)
{
    member_group group = voters({"a", "b", "c"});
    group.members_.push_back({"d", "d", false});
    group.surplus_ = 1;
    std::map<core::host_id, member_contact> contacts{
        {"b", gone}, {"c", sound}, {"d", sound}};
    EXPECT_FALSE(decide_group_change(group, contacts));
    contacts["d"].caught_up_ = true;
    const group_change expected{group_change::kind::promote, "d"};
    EXPECT_EQ(decide_group_change(group, contacts), expected);
}

TEST(group_changes, none_is_removed_while_it_is_unknown_who_left)
{
    member_group group = voters({"a", "b", "c", "d", "e", "f"});
    group.surplus_ = 1;
    EXPECT_FALSE(decide_group_change(
        group,
        {{"b", gone}, {"c", gone}, {"d", sound}, {"e", sound}, {"f", sound}}));
}

TEST(group_changes, logs_of_earlier_programs_have_no_surplus)
{
    const member_group group = voters({"a", "b"});
    EXPECT_EQ(decode_group(encode(group)), group);
    const nlohmann::json old{
        {"members_",
         {{{"host_", "a"}, {"store_", "a"}, {"voter_", true}},
          {{"host_", "b"}, {"store_", "b"}, {"voter_", true}}}}};
    EXPECT_EQ(decode_group(core::encode_cbor(old)), group);
}

/// A group of members in virtual time. Its changes are in force at once; an
/// election takes a drawn time.
class model
{
public:
    explicit model(int members)
    {
        for (int at = 0; at < members; ++at)
        {
            const core::host_id host = next_name();
            group_.members_.push_back({host, host, true});
            machines_[host] = {};
        }
        leader_ = group_.members_.front().host_;
    }

    void run(core::duration span)
    {
        const std::int64_t until = now_ + span.ms_;
        while (now_ < until)
        {
            now_ += tick_ms_;
            elect();
            for (auto& [host, machine] : machines_)
            {
                machine.heard_at_ = machine.is_up_ ? now_ : machine.heard_at_;
                join(host, machine);
            }
            change();
        }
    }

    core::host_id draw_member() const
    {
        std::vector<core::host_id> up;
        for (const member& item : group_.members_)
        {
            if (is_up(item.host_))
            {
                up.push_back(item.host_);
            }
        }
        return *rc::gen::elementOf(up);
    }

    core::host_id add_machine()
    {
        const core::host_id host = next_name();
        machines_[host].up_since_ = now_;
        return host;
    }

    void stop(const core::host_id& host, bool says_so)
    {
        if (says_so)
        {
            machines_[host].stops_at_ = now_;
            change();
        }
        machines_[host].is_up_ = false;
        leader_ = leader_ == host ? core::host_id() : leader_;
        leaderless_since_ = now_;
    }

    void start(const core::host_id& host)
    {
        machines_[host].is_up_ = true;
        machines_[host].up_since_ = now_;
    }

    /// The leader loses its leadership and stays up.
    void lose_leader()
    {
        leader_.clear();
        leaderless_since_ = now_;
    }

    /// \return whether the group has a leader after the loss of any disk.
    bool bears_a_loss() const
    {
        return up_voters() > group_.majority();
    }

private:
    static constexpr std::int64_t tick_ms_ = 50;

    struct machine
    {
        bool is_up_ = true;
        std::int64_t up_since_ = 0;
        std::int64_t heard_at_ = 0;
        std::int64_t stops_at_ = -1'000'000;
        std::int64_t added_at_ = 0;
        std::int64_t contact_at_ = 0; ///< Of the leader, as the machine knows.
    };

    core::host_id next_name()
    {
        return "m-" + std::to_string(100 + named_++);
    }

    bool is_up(const core::host_id& host) const
    {
        const auto found = machines_.find(host);
        return found != machines_.end() && found->second.is_up_;
    }

    std::size_t up_voters() const
    {
        return static_cast<std::size_t>(std::count_if(
            group_.members_.begin(),
            group_.members_.end(),
            [this](const member& item)
            {
                return item.voter_ && is_up(item.host_);
            }));
    }

    void elect()
    {
        const std::int64_t election_ms = 800 + 100 * (now_ % 900 / 100);
        if (!leader_.empty() || now_ - leaderless_since_ < election_ms ||
            up_voters() < group_.majority())
        {
            return;
        }
        for (const member& item : group_.members_)
        {
            if (item.voter_ && is_up(item.host_))
            {
                leader_ = item.host_;
                leading_since_ = now_;
            }
        }
    }

    void join(const core::host_id& host, machine& joining)
    {
        constexpr std::int64_t rejoin_after_ms = 1'500;
        constexpr std::int64_t stop_validity_ms = 4'000;
        const bool is_member = group_.find(host) != nullptr;
        if (!joining.is_up_ || leader_.empty())
        {
            return;
        }
        if (is_member)
        {
            joining.contact_at_ = now_;
            return;
        }
        const std::int64_t silent_since =
            std::max(joining.contact_at_, joining.up_since_);
        if (now_ - silent_since < rejoin_after_ms ||
            now_ - joining.stops_at_ < stop_validity_ms / 4)
        {
            return;
        }
        group_.members_.push_back({host, host, false});
        ++group_.surplus_;
        joining.added_at_ = now_;
        joining.stops_at_ = -stop_validity_ms;
    }

    void change()
    {
        constexpr std::int64_t stop_validity_ms = 4'000;
        constexpr std::int64_t catch_up_ms = 500;
        if (leader_.empty() || up_voters() < group_.majority())
        {
            return;
        }
        std::map<core::host_id, member_contact> contacts;
        for (const member& item : group_.members_)
        {
            if (item.host_ == leader_)
            {
                continue;
            }
            const machine& known = machines_.at(item.host_);
            const std::int64_t heard =
                known.is_up_ ? now_ : std::max(known.heard_at_, leading_since_);
            contacts[item.host_] = {
                core::duration{now_ - heard},
                known.is_up_ && !item.voter_ &&
                    now_ - known.added_at_ >= catch_up_ms,
                now_ - known.stops_at_ <= stop_validity_ms};
        }
        const auto due = decide_group_change(group_, contacts);
        if (!due)
        {
            return;
        }
        if (due->kind_ == group_change::kind::promote)
        {
            for (member& item : group_.members_)
            {
                item.voter_ = item.voter_ || item.host_ == due->host_;
            }
            return;
        }
        group_.surplus_ -= static_cast<std::int64_t>(std::erase_if(
            group_.members_,
            [&due](const member& item)
            {
                return item.host_ == due->host_;
            }));
    }

    member_group group_;
    std::map<core::host_id, machine> machines_;
    core::host_id leader_;
    std::int64_t now_ = 0;
    std::int64_t leading_since_ = 0;
    std::int64_t leaderless_since_ = 0;
    int named_ = 0;
};

constexpr core::duration catch_up{4'000};

void replace(model& group, const core::host_id& old, bool is_planned)
{
    if (is_planned)
    {
        group.add_machine();
        group.run({*rc::gen::inRange(1'000, 4'000)});
        group.stop(old, true);
    }
    else
    {
        group.stop(old, false);
        group.run({*rc::gen::inRange(100, 3'000)});
        group.add_machine();
    }
}

RC_GTEST_PROP(group_changes, a_loss_is_borne_after_each_replacement, ())
{
    const int founders = *rc::gen::element(3, 5);
    model group(founders);
    const int events = *rc::gen::inRange(1, 10);
    for (int event = 0; event < events; ++event)
    {
        const core::host_id host = group.draw_member();
        switch (*rc::gen::inRange(0, 5))
        {
        case 0:
            replace(group, host, true);
            break;
        case 1:
            replace(group, host, false);
            break;
        case 2: // A planned restart.
            group.stop(host, true);
            group.run({*rc::gen::inRange(100, 8'000)});
            group.start(host);
            break;
        case 3: // Down, frozen or cut off.
            group.stop(host, false);
            group.run({*rc::gen::inRange(100, 12'000)});
            group.start(host);
            break;
        default:
            group.lose_leader();
            break;
        }
        group.run(catch_up);
        RC_ASSERT(group.bears_a_loss());
    }
}

} // namespace
} // namespace poplarroute::control
