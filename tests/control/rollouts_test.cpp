#include "control/rollouts.hpp"

#include <array>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/catalog_state_machine.hpp"
#include "control/raft.hpp"
#include "core/codec.hpp"

namespace poplarroute::control
{
namespace
{

constexpr std::int64_t order_time = 1'000'000;
constexpr std::int64_t deadline = 12'000;

start_rollout order_of(std::string target, std::int64_t at_ms = order_time)
{
    return {"s", std::move(target), {"v1"}, at_ms, deadline, 10'000};
}

catalog_reply advance(catalog_state_machine& machine, rollout_phase phase)
{
    return machine.apply(encode(advance_rollout{
        "s", machine.find_rollout("s")->id_, phase, order_time + 5, "why"}));
}

/// A machine with a roll-out of s from v1 to v2 in the phase trial.
catalog_state_machine make_started()
{
    catalog_state_machine machine;
    EXPECT_TRUE(machine.apply(encode(order_of("v2"))).changed_);
    return machine;
}

TEST(rollouts, a_roll_out_passes_its_phases_and_bars_what_it_replaced)
{
    catalog_state_machine machine = make_started();
    const rollout* item = machine.find_rollout("s");
    EXPECT_EQ(role_of(*item, "v2"), rollout_role::target);
    EXPECT_EQ(role_of(*item, "v1"), rollout_role::baseline);
    EXPECT_FALSE(is_barred(*item, "v1"));
    EXPECT_TRUE(advance(machine, rollout_phase::switching).changed_);
    EXPECT_FALSE(is_barred(*item, "v1"));
    advance_rollout last{
        "s", item->id_, rollout_phase::completed, 7, "why", {"v0", "v2"}};
    EXPECT_TRUE(machine.apply(encode(last)).changed_);
    EXPECT_TRUE(is_barred(*item, "v1"));
    EXPECT_TRUE(is_barred(*item, "v0"));
    EXPECT_FALSE(is_barred(*item, "v2"));
    ASSERT_EQ(item->steps_.size(), 3U);
    EXPECT_EQ(item->steps_[2].phase_, rollout_phase::completed);
    EXPECT_EQ(item->steps_[2].reason_, "why");
}

TEST(rollouts, a_phase_that_is_earlier_or_skipped_conflicts)
{
    catalog_state_machine machine = make_started();
    EXPECT_TRUE(advance(machine, rollout_phase::completed).conflicts_);
    advance(machine, rollout_phase::rolled_back);
    EXPECT_TRUE(is_barred(*machine.find_rollout("s"), "v2"));
    for (const rollout_phase phase :
         {rollout_phase::trial,
          rollout_phase::switching,
          rollout_phase::completed})
    {
        EXPECT_TRUE(advance(machine, phase).conflicts_);
    }
    const catalog_reply again = advance(machine, rollout_phase::rolled_back);
    EXPECT_FALSE(again.conflicts_);
    EXPECT_FALSE(again.changed_);
    EXPECT_EQ(machine.find_rollout("s")->phase_, rollout_phase::rolled_back);
}

// Guards against a leader of an earlier roll-out that decides a later one.
TEST(rollouts, a_command_with_another_id_changes_nothing)
{
    catalog_state_machine machine = make_started();
    const std::string before = machine.encode();
    const std::uint64_t other = machine.find_rollout("s")->id_ + 1;
    const std::vector<catalog_command> commands{
        advance_rollout{"s", other, rollout_phase::rolled_back, 1, ""},
        advance_rollout{"t", other, rollout_phase::rolled_back, 1, ""},
        reserve_exposure{"s", other, 10},
        reserve_exposure{"t", other, 10}};
    for (const catalog_command& command : commands)
    {
        EXPECT_TRUE(machine.apply(encode(command)).conflicts_);
        EXPECT_EQ(machine.encode(), before);
    }
}

// Guards against an order that an operator repeats after a lost answer, and
// that starts the roll-out twice or is refused.
TEST(rollouts, a_repeated_order_is_accepted_and_changes_nothing)
{
    catalog_state_machine machine = make_started();
    const std::uint64_t id = machine.find_rollout("s")->id_;
    const catalog_reply running =
        machine.apply(encode(order_of("v2", order_time + 60'000)));
    EXPECT_FALSE(running.conflicts_);
    EXPECT_FALSE(running.changed_);
    advance(machine, rollout_phase::rolled_back);
    for (const std::int64_t after : {-500, 4'000, 9'999})
    {
        const catalog_reply reply =
            machine.apply(encode(order_of("v2", order_time + after)));
        EXPECT_FALSE(reply.conflicts_);
        EXPECT_FALSE(reply.changed_);
    }
    EXPECT_EQ(machine.find_rollout("s")->id_, id);
    EXPECT_TRUE(
        machine.apply(encode(order_of("v2", order_time + 10'000))).changed_);
    EXPECT_GT(machine.find_rollout("s")->id_, id);
    EXPECT_TRUE(machine.find_rollout("s")->is_running());
}

TEST(rollouts, one_roll_out_of_a_service_runs_at_a_time)
{
    catalog_state_machine machine = make_started();
    const std::string before = machine.encode();
    EXPECT_TRUE(machine.apply(encode(order_of("v3"))).conflicts_);
    start_rollout longer = order_of("v2");
    longer.deadline_ms_ += 1'000;
    EXPECT_TRUE(machine.apply(encode(longer)).conflicts_);
    EXPECT_EQ(machine.encode(), before);
    start_rollout other = order_of("v3");
    other.service_ = "t";
    EXPECT_TRUE(machine.apply(encode(other)).changed_);
}

// Guards against an order that waited in a paused member and starts once a
// newer roll-out has ended.
TEST(rollouts, an_order_given_before_the_latest_one_conflicts)
{
    catalog_state_machine machine = make_started();
    advance(machine, rollout_phase::rolled_back);
    EXPECT_TRUE(machine.apply(encode(order_of("v3", order_time + 1))).changed_);
    advance(machine, rollout_phase::rolled_back);
    EXPECT_TRUE(machine.apply(encode(order_of("v2", order_time))).conflicts_);
    EXPECT_EQ(machine.find_rollout("s")->target_, "v3");
}

// Guards against requests that reach a bad version again once the next
// roll-out has begun.
TEST(rollouts, a_bar_holds_until_a_roll_out_targets_the_version)
{
    catalog_state_machine machine = make_started();
    advance(machine, rollout_phase::rolled_back);
    machine.apply(encode(order_of("v3", order_time + 1)));
    EXPECT_TRUE(is_barred(*machine.find_rollout("s"), "v2"));
    advance(machine, rollout_phase::switching);
    advance(machine, rollout_phase::completed);
    machine.apply(encode(order_of("v2", order_time + 20'000)));
    const rollout* item = machine.find_rollout("s");
    EXPECT_FALSE(is_barred(*item, "v2"));
    EXPECT_TRUE(is_barred(*item, "v1"));
    EXPECT_FALSE(is_barred(*item, "v3"));
    ASSERT_EQ(machine.earlier_rollouts("s").size(), 2U);
    EXPECT_EQ(machine.earlier_rollouts("s")[0].target_, "v2");
}

TEST(rollouts, the_bars_and_the_history_of_a_service_are_bounded)
{
    catalog_state_machine machine;
    for (int number = 0; number < 100; ++number)
    {
        machine.apply(encode(
            order_of("v" + std::to_string(number + 10), order_time + number)));
        advance(machine, rollout_phase::rolled_back);
    }
    EXPECT_EQ(machine.find_rollout("s")->barred_.size(), max_barred_versions);
    EXPECT_TRUE(is_barred(*machine.find_rollout("s"), "v108"));
    EXPECT_EQ(machine.earlier_rollouts("s").size(), max_earlier_rollouts);
    machine.apply(encode(order_of("v2", order_time + 20'000)));
    machine.apply(encode(advance_rollout{
        "s",
        machine.find_rollout("s")->id_,
        rollout_phase::rolled_back,
        1,
        std::string(5'000, 'x')}));
    EXPECT_EQ(
        machine.find_rollout("s")->steps_.back().reason_.size(),
        max_rollout_reason_bytes);
}

TEST(rollouts, reserved_exposure_only_rises_and_wakes_no_host)
{
    catalog_state_machine machine = make_started();
    const std::uint64_t revision = machine.revision();
    const std::uint64_t id = machine.find_rollout("s")->id_;
    EXPECT_TRUE(machine.apply(encode(reserve_exposure{"s", id, 50})).changed_);
    EXPECT_FALSE(machine.apply(encode(reserve_exposure{"s", id, 20})).changed_);
    EXPECT_EQ(machine.find_rollout("s")->reserved_, 50);
    EXPECT_EQ(machine.revision(), revision);
    advance(machine, rollout_phase::rolled_back);
    EXPECT_GT(machine.revision(), revision);
    EXPECT_TRUE(
        machine.apply(encode(reserve_exposure{"s", id, 90})).conflicts_);
    EXPECT_EQ(machine.find_rollout("s")->reserved_, 50);
}

TEST(rollouts, a_configuration_without_the_service_rolls_back)
{
    catalog_state_machine machine = make_started();
    machine.apply(encode(submit_catalog{1, "one"}));
    machine.apply(
        encode(submit_catalog{2, "two", std::vector<std::string>{"s"}, 1}));
    EXPECT_TRUE(machine.find_rollout("s")->is_running());
    // An outdated configuration is not put in force.
    machine.apply(
        encode(submit_catalog{1, "old", std::vector<std::string>(), 1}));
    EXPECT_TRUE(machine.find_rollout("s")->is_running());
    machine.apply(encode(
        submit_catalog{3, "three", std::vector<std::string>{"t"}, order_time}));
    EXPECT_EQ(machine.find_rollout("s")->phase_, rollout_phase::rolled_back);
    EXPECT_NE(
        machine.find_rollout("s")->steps_.back().reason_.find("removed"),
        std::string::npos);
    const std::int64_t a_day_later =
        order_time + orphaned_rollout_retention.ms_ + 1;
    machine.apply(encode(
        submit_catalog{4, "four", std::vector<std::string>{"t"}, a_day_later}));
    EXPECT_EQ(machine.find_rollout("s"), nullptr);
}

TEST(rollouts, a_snapshot_holds_the_roll_outs)
{
    catalog_state_machine machine = make_started();
    advance(machine, rollout_phase::rolled_back);
    machine.apply(encode(order_of("v3", order_time + 1)));
    machine.apply(
        encode(reserve_exposure{"s", machine.find_rollout("s")->id_, 70}));
    const auto decoded = catalog_state_machine::decode(machine.encode());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->rollouts(), machine.rollouts());
    EXPECT_EQ(decoded->earlier_rollouts("s"), machine.earlier_rollouts("s"));
    EXPECT_EQ(decoded->revision(), machine.revision());
}

// Guards against a group that cannot start from what an older program wrote.
TEST(rollouts, snapshots_and_entries_of_older_programs_load)
{
    const nlohmann::json four = nlohmann::json::array(
        {7, 3, core::binary("text"), nlohmann::json::array({"a"})});
    nlohmann::json five = four;
    five.push_back(nlohmann::json{{"a", 6}});
    for (const nlohmann::json& snapshot : {four, five})
    {
        auto machine =
            catalog_state_machine::decode(core::encode_cbor(snapshot));
        ASSERT_TRUE(machine);
        EXPECT_TRUE(machine->rollouts().empty());
        EXPECT_EQ(machine->revision(), 7U);
        machine->apply(encode(order_of("v2")));
        EXPECT_EQ(machine->find_rollout("s")->id_, 8U);
        const auto entry = nlohmann::json::array({0, 4, core::binary("four")});
        EXPECT_TRUE(machine->apply(core::encode_cbor(entry)).changed_);
        EXPECT_TRUE(machine->find_rollout("s")->is_running());
    }
}

// Guards against a command that ends each member which applies it, or that
// starts what no operator could have ordered.
TEST(rollouts, a_malformed_command_changes_nothing)
{
    catalog_state_machine machine = make_started();
    const std::string before = machine.encode();
    const nlohmann::json at = {
        {"service_", "s"}, {"id_", 1}, {"phase_", "rolled_back"}};
    std::vector<nlohmann::json> bodies(3, at);
    bodies[0]["phase_"] = "finished";
    bodies[1]["phase_"] = 3;
    bodies[2]["at_ms_"] = -1;
    for (const nlohmann::json& body : bodies)
    {
        machine.apply(core::encode_cbor(nlohmann::json::array({4, body})));
        EXPECT_EQ(machine.encode(), before);
    }
    machine.apply(core::encode_cbor(nlohmann::json::array({2})));
    machine.apply(core::encode_cbor(nlohmann::json::array({3, "s"})));
    std::vector<start_rollout> orders(4, order_of("v9"));
    orders[0].service_.clear();
    orders[1].target_.clear();
    orders[2].deadline_ms_ = 0;
    orders[3].ordered_at_ms_ = std::numeric_limits<std::int64_t>::max();
    for (start_rollout& order : orders)
    {
        order.service_ += order.service_.empty() ? "" : "x";
        EXPECT_TRUE(machine.apply(encode(order)).conflicts_);
    }
    EXPECT_EQ(machine.encode(), before);
}

catalog_command make_command(
    unsigned char kind, unsigned char a, unsigned char b)
{
    const std::string service = a % 2 == 0 ? "s" : "t";
    const std::uint64_t id = b % 12;
    const std::string target = "v" + std::to_string(b % 4);
    const std::int64_t at_ms = order_time + b * 100;
    switch (kind % 6)
    {
    case 0:
        return submit_catalog{
            b, "text", std::vector<std::string>{service}, at_ms};
    case 1:
        return set_zone_out_of_service{"z", b % 2 == 0};
    case 2:
        return start_rollout{
            service, target, {"v0", "v1"}, at_ms, 9'000, 2'000};
    case 3:
        return reserve_exposure{service, id, b};
    default:
        return advance_rollout{
            service, id, static_cast<rollout_phase>(a / 2 % 4), at_ms, "why"};
    }
}

RC_GTEST_PROP(
    rollouts,
    phases_and_reservations_never_go_back_whatever_is_ordered,
    (std::vector<std::array<unsigned char, 3>> script))
{
    catalog_state_machine machine;
    std::map<core::service_id, rollout> seen;
    std::set<std::uint64_t> ids;
    for (const auto& [kind, a, b] : script)
    {
        machine.apply(encode(make_command(kind, a, b)));
        for (const auto& [service, item] : machine.rollouts())
        {
            // RC_ASSERT evaluates both sides of its operators.
            const auto found = seen.find(service);
            const bool is_new =
                found == seen.end() || found->second.id_ != item.id_;
            if (is_new)
            {
                const bool replaces_running =
                    found != seen.end() && found->second.is_running();
                RC_ASSERT(!replaces_running);
                RC_ASSERT(ids.insert(item.id_).second);
                RC_ASSERT(*ids.rbegin() == item.id_);
                seen[service] = item;
                continue;
            }
            const bool leaves_its_end = !found->second.is_running() &&
                                        item.phase_ != found->second.phase_;
            RC_ASSERT(!leaves_its_end);
            RC_ASSERT(item.phase_ >= found->second.phase_);
            RC_ASSERT(item.reserved_ >= found->second.reserved_);
            found->second = item;
        }
        const auto decoded = catalog_state_machine::decode(machine.encode());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->encode() == machine.encode());
    }
}

/// Three members with disks. Messages are delivered in rounds, and some are
/// lost.
class small_group
{
public:
    explicit small_group(std::uint64_t seed) : random_(seed)
    {
        for (const char* host : {"a", "b", "c"})
        {
            member& item = members_[host];
            item.disk_.host_ = host;
            item.disk_.store_ = std::string("s") + host;
            item.disk_.snapshot_ = {1, 1, group(), item.machine_.encode()};
            start(item);
        }
    }

    /// Submits a command to the leader until it is acknowledged.
    catalog_reply submit(const catalog_command& command)
    {
        for (int attempt = 0; attempt < 50; ++attempt)
        {
            member& leader = find_leader();
            log_index index = 0;
            const std::vector<std::string> payloads{encode(command)};
            auto proposed = leader.raft_->propose(payloads, now_, index);
            EXPECT_TRUE(core::is_ok(proposed));
            leader.replies_.clear();
            perform(leader, core::value(proposed));
            for (int round = 0; round < 60; ++round)
            {
                step();
                const auto reply = leader.replies_.find(index);
                if (reply != leader.replies_.end())
                {
                    return reply->second;
                }
            }
        }
        ADD_FAILURE() << "the command was not acknowledged";
        return {};
    }

    /// Ends the leader's process, and starts that of the member that was down.
    void kill_leader()
    {
        member& leader = find_leader();
        for (auto& [host, item] : members_)
        {
            if (!item.raft_)
            {
                start(item);
            }
        }
        leader.raft_.reset();
    }

    /// Ends all processes at once and starts them from their disks.
    void restart_all()
    {
        messages_.clear();
        for (auto& [host, item] : members_)
        {
            start(item);
        }
    }

    /// \return the state of the leader once it has committed in its term.
    const catalog_state_machine& state()
    {
        submit(set_zone_out_of_service{"none", false});
        return find_leader().machine_;
    }

private:
    struct member
    {
        raft_initial_state disk_;
        std::unique_ptr<raft> raft_;
        catalog_state_machine machine_;
        std::map<log_index, catalog_reply> replies_;
    };

    static member_group group()
    {
        return {{{"a", "sa", true}, {"b", "sb", true}, {"c", "sc", true}}};
    }

    void start(member& item)
    {
        item.disk_.seed_ = random_();
        item.machine_ =
            *catalog_state_machine::decode(item.disk_.snapshot_.state_);
        item.raft_ = std::make_unique<raft>(item.disk_, now_);
    }

    member& find_leader()
    {
        for (int round = 0; round < 5'000; ++round)
        {
            for (auto& [host, item] : members_)
            {
                if (item.raft_ && item.raft_->is_followed(now_))
                {
                    return item;
                }
            }
            step();
        }
        ADD_FAILURE() << "no leader was elected";
        return members_.at("a");
    }

    void step()
    {
        now_ = now_ + core::duration{10};
        std::vector<raft_message> due;
        std::swap(due, messages_);
        for (const raft_message& message : due)
        {
            member& to = members_.at(message.to_);
            // One message in eight is lost.
            if (to.raft_ && random_() % 8 != 0)
            {
                perform(to, to.raft_->receive(message, now_));
            }
        }
        for (auto& [host, item] : members_)
        {
            if (item.raft_)
            {
                perform(item, item.raft_->tick(now_));
            }
        }
    }

    void perform(member& item, const raft_actions& actions)
    {
        if (actions.hard_state_)
        {
            item.disk_.hard_state_ = *actions.hard_state_;
        }
        if (actions.truncate_from_)
        {
            std::erase_if(
                item.disk_.entries_,
                [&](const log_entry& entry)
                {
                    return entry.index_ >= *actions.truncate_from_;
                });
        }
        item.disk_.entries_.insert(
            item.disk_.entries_.end(),
            actions.append_.begin(),
            actions.append_.end());
        messages_.insert(
            messages_.end(), actions.send_.begin(), actions.send_.end());
        for (const log_entry& entry : actions.committed_)
        {
            if (entry.kind_ == entry_kind::command)
            {
                item.replies_[entry.index_] =
                    item.machine_.apply(entry.payload_);
            }
        }
    }

    std::mt19937_64 random_;
    core::time_point now_{1'000};
    std::map<core::host_id, member> members_;
    std::vector<raft_message> messages_;
};

// Guards against a roll-out that is lost, goes back or runs twice when the
// leader is killed, or all members restart, between any two of its steps. The
// killed member is down while the next state is read, as if its disk were lost.
TEST(rollouts, each_step_survives_elections_and_restarts)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        small_group members(seed);
        const auto disturb = [&](std::uint64_t step)
        {
            if ((seed + step) % 3 == 0)
            {
                members.restart_all();
            }
            else
            {
                members.kill_leader();
            }
        };
        EXPECT_FALSE(members.submit(order_of("v2")).conflicts_);
        disturb(0);
        const std::uint64_t id = members.state().find_rollout("s")->id_;
        EXPECT_FALSE(members.submit(order_of("v2", order_time + 900)).changed_);
        EXPECT_TRUE(members.submit(order_of("v3")).conflicts_);
        members.submit(reserve_exposure{"s", id, 40});
        disturb(1);
        EXPECT_EQ(members.state().find_rollout("s")->reserved_, 40);
        members.submit(
            advance_rollout{"s", id, rollout_phase::switching, 1, "why"});
        disturb(2);
        EXPECT_EQ(
            members.state().find_rollout("s")->phase_,
            rollout_phase::switching);
        const rollout_phase end = seed % 2 == 0 ? rollout_phase::completed
                                                : rollout_phase::rolled_back;
        members.submit(advance_rollout{"s", id, end, 2, "why"});
        disturb(3);
        EXPECT_FALSE(
            members.submit(order_of("v2", order_time + 4'000)).changed_);
        const rollout* item = members.state().find_rollout("s");
        EXPECT_EQ(item->phase_, end);
        EXPECT_EQ(item->id_, id);
        EXPECT_EQ(item->steps_.size(), 3U);
    }
}

} // namespace
} // namespace poplarroute::control
