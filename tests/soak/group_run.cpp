#include "tests/soak/group_run.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "control/raft.hpp"
#include "control/state_machine.hpp"
#include "core/digest.hpp"

namespace poplarroute::tests::soak
{

namespace
{

using control::raft;
using control::raft_actions;
using core::host_id;

constexpr std::int64_t step_ms = 10;
constexpr int member_count = 3;
constexpr std::uint64_t snapshot_interval_entries = 60;
constexpr control::log_retention entries_kept_after_snapshot{10, 64 * 1024};
constexpr std::size_t account_count = 3;
constexpr std::size_t key_count = 12;
constexpr std::uint64_t recovery_steps = 3'000;

const char* const base_configuration =
    "[organisation]\nname = Soak\n[availability_zone a]\nregion = r\n"
    "[host h]\navailability_zone = a\npeer = 127.0.0.1:1\n"
    "[account a0]\nrate = 10\nburst = 10\n"
    "[account a1]\nrate = 10\nburst = 10\n"
    "[account a2]\nrate = 10\nburst = 10\n";

/// Durable state of a simulated member.
struct disk
{
    std::string store_;
    control::hard_state hard_state_;
    control::snapshot snapshot_;
    std::vector<control::log_entry> entries_;
};

/// A command that was submitted to the leader.
struct submitted_command
{
    std::string encoded_;
    control::command command_;
    /// Highest version acknowledged before the command was submitted.
    std::uint64_t prior_version_ = 0;
};

/// A member of the control group with its disk and simulated faults.
struct simulated_member
{
    host_id host_;
    disk disk_;
    std::unique_ptr<raft> raft_;
    control::state_machine machine_;
    control::log_index applied_index_ = 0;
    std::uint64_t frozen_until_step_ = 0;
    std::uint64_t down_until_step_ = 0;
    /// Only members of the same partition reach each other.
    int partition_ = 0;
    /// Log index to the term and the command that was proposed there.
    std::map<
        control::log_index,
        std::pair<control::term_number, submitted_command>>
        pending_commands_;
    /// Read id to the lowest version that the read may return.
    std::map<std::uint64_t, std::uint64_t> pending_reads_;
};

/// A message that is on its way.
struct in_flight_message
{
    std::uint64_t delivery_step_ = 0;
    control::raft_message message_;
};

/// Thrown inside a step to simulate that the process is killed there.
struct process_killed
{
};

class group_run
{
public:
    group_run(std::uint64_t seed, event_counts& counts)
        : random_(seed), counts_(counts), seed_(seed)
    {
        control::member_group group;
        for (int index = 0; index < member_count; ++index)
        {
            const host_id host = "m" + std::to_string(index);
            simulated_members_[host].host_ = host;
            simulated_members_[host].disk_.store_ = make_store_id();
            group.members_.push_back(
                {host, simulated_members_[host].disk_.store_, true});
        }
        for (auto& [host, member] : simulated_members_)
        {
            member.disk_.snapshot_ = {1, 1, group, member.machine_.encode()};
            start_member(member);
        }
    }

    void run(std::uint64_t steps)
    {
        for (std::uint64_t step = 0; step < steps; ++step)
        {
            inject_faults();
            advance_step();
        }
        end_faults();
        for (std::uint64_t step = 0; step < recovery_steps; ++step)
        {
            advance_step();
        }
        check_final_state();
        counts_["group steps"] += steps + recovery_steps;
    }

private:
    /// \return true with a probability of 1 / count.
    bool one_in(int count)
    {
        return random_() % static_cast<std::uint64_t>(count) == 0;
    }

    std::uint64_t random_below(std::uint64_t bound)
    {
        return random_() % bound;
    }

    std::string make_store_id()
    {
        return "store-" + std::to_string(++next_store_);
    }

    core::time_point now() const
    {
        return {static_cast<std::int64_t>(step_) * step_ms + 1};
    }

    simulated_member& random_member()
    {
        auto found = simulated_members_.begin();
        std::advance(
            found, static_cast<long>(random_below(simulated_members_.size())));
        return found->second;
    }

    void start_member(simulated_member& member)
    {
        control::raft_initial_state start;
        start.host_ = member.host_;
        start.store_ = member.disk_.store_;
        start.hard_state_ = member.disk_.hard_state_;
        start.snapshot_ = member.disk_.snapshot_;
        start.entries_ = member.disk_.entries_;
        start.seed_ = random_();
        member.raft_ = std::make_unique<raft>(std::move(start), now());
        member.machine_ = {};
        member.applied_index_ = member.disk_.snapshot_.index_;
        if (member.applied_index_ > 0)
        {
            auto state =
                control::state_machine::decode(member.disk_.snapshot_.state_);
            require(state.has_value(), "a snapshot can be read back");
            member.machine_ = std::move(*state);
        }
        member.pending_commands_.clear();
        member.pending_reads_.clear();
    }

    void kill(simulated_member& member, std::uint64_t down_steps)
    {
        member.raft_.reset();
        member.pending_commands_.clear();
        member.pending_reads_.clear();
        member.down_until_step_ = step_ + down_steps;
        ++counts_["kills"];
    }

    bool is_running(const simulated_member& member) const
    {
        return member.raft_ && step_ >= member.frozen_until_step_;
    }

    /// Performs the disk writes of a step. With faults enabled, the member is
    /// sometimes killed before or between the writes.
    void write_to_disk(simulated_member& member, const raft_actions& actions)
    {
        const bool will_die = faults_enabled_ && one_in(400);
        const std::uint64_t kill_point = will_die ? random_below(4) : 99;
        const auto maybe_kill = [&](std::uint64_t point)
        {
            if (point == kill_point)
            {
                ++counts_["kills between writes"];
                throw process_killed();
            }
        };
        disk& target_disk = member.disk_;
        maybe_kill(0);
        if (actions.hard_state_)
        {
            target_disk.hard_state_ = *actions.hard_state_;
        }
        maybe_kill(1);
        if (actions.install_snapshot_)
        {
            target_disk.snapshot_ = *actions.install_snapshot_;
            target_disk.entries_.clear();
        }
        if (actions.truncate_from_)
        {
            std::erase_if(
                target_disk.entries_,
                [&](const control::log_entry& entry)
                {
                    return entry.index_ >= *actions.truncate_from_;
                });
        }
        for (const control::log_entry& entry : actions.append_)
        {
            maybe_kill(2);
            target_disk.entries_.push_back(entry);
        }
        maybe_kill(3);
    }

    void perform(simulated_member& member, raft_actions actions)
    {
        if (actions.needs_disk_write())
        {
            write_to_disk(member, actions);
        }
        if (actions.install_snapshot_)
        {
            auto state = control::state_machine::decode(
                actions.install_snapshot_->state_);
            require(state.has_value(), "a leader's snapshot can be read");
            member.machine_ = std::move(*state);
            member.applied_index_ = actions.install_snapshot_->index_;
            ++counts_["snapshots installed"];
        }
        for (control::raft_message& message : actions.send_)
        {
            send(std::move(message));
        }
        for (const control::log_entry& entry : actions.committed_)
        {
            apply(member, entry);
        }
        for (const std::uint64_t id : actions.ready_reads_)
        {
            check_read(member, id);
        }
        for (const std::uint64_t id : actions.refused_)
        {
            member.pending_reads_.erase(id);
        }
        if (member.raft_->role() == control::raft_role::leader)
        {
            const auto [found, inserted] =
                leader_by_term_.emplace(member.raft_->term(), member.host_);
            require(found->second == member.host_, "a term has one leader");
            counts_["leaders elected"] += inserted ? 1 : 0;
        }
        else
        {
            member.pending_commands_.clear();
        }
    }

    void send(control::raft_message message)
    {
        if (faults_enabled_ && one_in(15))
        {
            ++counts_["messages lost"];
            return;
        }
        const std::uint64_t delay =
            faults_enabled_ && one_in(10) ? random_below(40) : random_below(2);
        counts_["messages delayed"] += delay > 1 ? 1 : 0;
        in_flight_.emplace(step_ + 1 + delay, message);
        if (faults_enabled_ && one_in(30))
        {
            ++counts_["messages duplicated"];
            in_flight_.emplace(step_ + 1 + random_below(60), message);
        }
    }

    void apply(simulated_member& member, const control::log_entry& entry)
    {
        require(
            entry.index_ == member.applied_index_ + 1,
            "entries are applied in order");
        member.applied_index_ = entry.index_;
        const auto [first_applied, inserted] = applied_entries_.emplace(
            entry.index_, std::pair(entry.term_, entry.payload_));
        require(
            first_applied->second == std::pair(entry.term_, entry.payload_),
            "all members apply the same entry at an index");
        if (entry.kind_ != control::entry_kind::command)
        {
            return;
        }
        const control::command_reply reply =
            member.machine_.apply(entry.payload_);
        const auto pending = member.pending_commands_.find(entry.index_);
        if (pending == member.pending_commands_.end())
        {
            return;
        }
        const auto [term, submitted] = pending->second;
        member.pending_commands_.erase(pending);
        if (term == entry.term_)
        {
            acknowledge(submitted, reply);
        }
    }

    void acknowledge(
        const submitted_command& submitted, const control::command_reply& reply)
    {
        ++counts_["commands acknowledged"];
        if (const auto* command =
                std::get_if<control::submit_configuration>(&submitted.command_))
        {
            acknowledge_version(submitted, *command, reply);
        }
        if (const auto* command =
                std::get_if<control::claim_call>(&submitted.command_))
        {
            if (reply.verdict_ == control::verdict::granted)
            {
                const auto [found, inserted] = attempt_by_claim_.emplace(
                    command->account_ + "/" + command->key_, command->attempt_);
                require(
                    found->second == command->attempt_,
                    "a claim is granted to one attempt");
                counts_["claims granted"] += inserted ? 1 : 0;
            }
        }
    }

    void acknowledge_version(
        const submitted_command& submitted,
        const control::submit_configuration& command,
        const control::command_reply& reply)
    {
        const auto [first, inserted] =
            version_by_command_.emplace(command.origin_.id_, reply.version_);
        require(
            first->second == reply.version_,
            "a repeated command gets its first reply again");
        if (reply.verdict_ != control::verdict::accepted)
        {
            ++counts_["racing configurations refused"];
            return;
        }
        if (!inserted)
        {
            ++counts_["repeated commands answered"];
            return;
        }
        require(
            reply.version_ > submitted.prior_version_,
            "a version accepted later is higher");
        const auto [owner, version_is_new] =
            command_by_version_.emplace(reply.version_, command.origin_.id_);
        require(version_is_new, "a version is assigned to one command");
        const auto [base_owner, base_is_new] = command_by_base_version_.emplace(
            command.base_, command.origin_.id_);
        require(
            base_is_new,
            "only one configuration is accepted on top of each version");
        max_acknowledged_version_ =
            std::max(max_acknowledged_version_, reply.version_);
        ++counts_["configurations accepted"];
    }

    void check_read(simulated_member& member, std::uint64_t id)
    {
        const auto found = member.pending_reads_.find(id);
        if (found == member.pending_reads_.end())
        {
            return;
        }
        require(
            member.machine_.fleet().configuration_version() >= found->second,
            "a read reflects every version acknowledged before it");
        member.pending_reads_.erase(found);
        ++counts_["reads checked"];
    }

    /// Runs a step; kills the member if the step throws `process_killed`.
    template <class Step>
    void run_killable(simulated_member& member, Step step)
    {
        try
        {
            step();
        }
        catch (const process_killed&)
        {
            kill(member, 20 + random_below(200));
        }
    }

    void advance_step()
    {
        ++step_;
        for (auto& [host, member] : simulated_members_)
        {
            if (!member.raft_ && step_ >= member.down_until_step_)
            {
                start_member(member);
            }
        }
        deliver();
        for (auto& [host, member] : simulated_members_)
        {
            if (is_running(member))
            {
                run_killable(
                    member,
                    [&, self = &member]()
                    {
                        perform(*self, self->raft_->tick(now()));
                    });
            }
        }
        propose_commands();
        replace_lost_member();
        take_snapshots();
    }

    void deliver()
    {
        std::vector<control::raft_message> due;
        std::multimap<std::uint64_t, control::raft_message> undelivered;
        while (!in_flight_.empty() && in_flight_.begin()->first <= step_)
        {
            due.push_back(std::move(in_flight_.begin()->second));
            in_flight_.erase(in_flight_.begin());
        }
        std::shuffle(due.begin(), due.end(), random_);
        for (const control::raft_message& message : due)
        {
            const auto receiver = simulated_members_.find(message.to_);
            if (receiver == simulated_members_.end() || !receiver->second.raft_)
            {
                continue;
            }
            simulated_member& member = receiver->second;
            if (simulated_members_[message.from_].partition_ !=
                member.partition_)
            {
                ++counts_["messages dropped by partitions"];
                continue;
            }
            if (step_ < member.frozen_until_step_)
            {
                // The message waits in the socket of the frozen process.
                undelivered.emplace(member.frozen_until_step_, message);
                continue;
            }
            run_killable(
                member,
                [&]()
                {
                    perform(member, member.raft_->receive(message, now()));
                });
        }
        in_flight_.merge(undelivered);
    }

    control::command make_command()
    {
        const std::string id = "c" + std::to_string(++next_command_);
        const control::command_origin origin{id, "op" + id, step_ms};
        if (one_in(3))
        {
            control::submit_configuration command{
                origin, max_acknowledged_version_, ""};
            // Operators race: some base their change on an older version.
            command.base_ = one_in(4) && max_acknowledged_version_ > 0
                                ? max_acknowledged_version_ - 1
                                : max_acknowledged_version_;
            command.text_ = std::string(base_configuration) + "# " + id + "\n";
            return command;
        }
        const std::string account =
            "a" + std::to_string(random_below(account_count));
        const std::string key =
            "k" + std::to_string(
                      random_below(key_count) + key_count * (step_ / 5'000));
        return control::claim_call{account, key, "digest", "attempt-" + id, 1};
    }

    void propose_commands()
    {
        if (!one_in(3))
        {
            return;
        }
        submitted_command submitted;
        submitted.prior_version_ = max_acknowledged_version_;
        if (!recent_commands_.empty() && one_in(4))
        {
            // The reply was lost, so the same command is sent again.
            submitted.command_ =
                recent_commands_[random_below(recent_commands_.size())];
            ++counts_["repeated commands sent"];
        }
        else
        {
            submitted.command_ = make_command();
            recent_commands_.push_back(submitted.command_);
            if (recent_commands_.size() > 20)
            {
                recent_commands_.erase(recent_commands_.begin());
            }
        }
        submitted.encoded_ = control::encode(submitted.command_);
        for (auto& [host, member] : simulated_members_)
        {
            if (is_running(member) &&
                member.raft_->role() == control::raft_role::leader)
            {
                run_killable(
                    member,
                    [&, self = &member]()
                    {
                        propose(*self, submitted);
                    });
            }
        }
    }

    void propose(simulated_member& member, const submitted_command& submitted)
    {
        control::log_index index = 0;
        const std::string payloads[1] = {submitted.encoded_};
        auto actions = member.raft_->propose(payloads, now(), index);
        if (core::is_ok(actions))
        {
            member.pending_commands_[index] = {member.raft_->term(), submitted};
            perform(member, std::move(core::value(actions)));
        }
        if (member.raft_ && one_in(3))
        {
            const std::uint64_t id = ++next_read_;
            member.pending_reads_[id] = max_acknowledged_version_;
            perform(member, member.raft_->read(id, now()));
        }
    }

    void take_snapshots()
    {
        for (auto& item : simulated_members_)
        {
            simulated_member& member = item.second;
            if (!is_running(member))
            {
                continue;
            }
            const auto last = member.raft_->log().latest_snapshot().index_;
            if (member.applied_index_ < last + snapshot_interval_entries)
            {
                continue;
            }
            member.raft_->compact(
                member.applied_index_,
                member.machine_.encode(),
                entries_kept_after_snapshot);
            member.disk_.snapshot_ = member.raft_->log().latest_snapshot();
            std::erase_if(
                member.disk_.entries_,
                [&](const control::log_entry& entry)
                {
                    return entry.index_ <= member.disk_.snapshot_.index_;
                });
            ++counts_["snapshots taken"];
        }
    }

    /// Injects random faults into members and the network.
    void inject_faults()
    {
        if (one_in(300))
        {
            simulated_member& member = random_member();
            if (member.raft_)
            {
                kill(member, 20 + random_below(300));
            }
        }
        if (one_in(400))
        {
            random_member().frozen_until_step_ = step_ + 20 + random_below(400);
            ++counts_["freezes"];
        }
        if (one_in(300))
        {
            random_member().partition_ = static_cast<int>(random_below(3));
            ++counts_["partitions"];
        }
        if (one_in(150))
        {
            for (auto& [host, member] : simulated_members_)
            {
                member.partition_ = 0;
            }
        }
        if (one_in(600) && !member_under_repair_)
        {
            lose_disk(random_member());
        }
    }

    void lose_disk(simulated_member& member)
    {
        kill(member, 50 + random_below(200));
        member.disk_ = {};
        member.disk_.store_ = make_store_id();
        member_under_repair_ = member.host_;
        ++counts_["disks lost"];
    }

    /// Replaces a member whose disk was lost, one membership change at a time,
    /// as an operator does.
    void replace_lost_member()
    {
        if (!member_under_repair_ || !one_in(10))
        {
            return;
        }
        const simulated_member& lost =
            simulated_members_[*member_under_repair_];
        for (auto& [host, member] : simulated_members_)
        {
            const bool is_leader =
                is_running(member) &&
                member.raft_->role() == control::raft_role::leader;
            if (!is_leader)
            {
                continue;
            }
            control::member_group next = member.raft_->log().group();
            const control::member* listed = next.find(*member_under_repair_);
            const bool is_committed =
                member.raft_->log().membership_entry_index() <=
                member.raft_->commit_index();
            if (listed != nullptr && listed->store_ == lost.disk_.store_ &&
                listed->voter_)
            {
                if (is_committed)
                {
                    member_under_repair_.reset();
                    ++counts_["disks replaced"];
                }
                return;
            }
            propose_replacement(member, next, listed, lost);
            return;
        }
    }

    /// Proposes the next change that replaces the member: remove its old
    /// entry, add it as a learner, or make it a voter.
    void propose_replacement(
        simulated_member& leader,
        control::member_group next,
        const control::member* listed,
        const simulated_member& lost)
    {
        const host_id host = lost.host_;
        if (listed == nullptr)
        {
            next.members_.push_back({host, lost.disk_.store_, false});
            std::sort(
                next.members_.begin(),
                next.members_.end(),
                [](const auto& left, const auto& right)
                {
                    return left.host_ < right.host_;
                });
        }
        else if (listed->store_ != lost.disk_.store_)
        {
            std::erase_if(
                next.members_,
                [&](const control::member& item)
                {
                    return item.host_ == host;
                });
        }
        else
        {
            for (control::member& item : next.members_)
            {
                item.voter_ = item.voter_ || item.host_ == host;
            }
        }
        run_killable(
            leader,
            [&]()
            {
                control::log_index index = 0;
                auto actions =
                    leader.raft_->propose_group_change(next, now(), index);
                if (core::is_ok(actions))
                {
                    perform(leader, std::move(core::value(actions)));
                    ++counts_["group changes"];
                }
            });
    }

    void end_faults()
    {
        faults_enabled_ = false;
        for (auto& [host, member] : simulated_members_)
        {
            member.partition_ = 0;
            member.frozen_until_step_ = step_;
            member.down_until_step_ =
                std::min(member.down_until_step_, step_ + 1);
        }
    }

    /// Describes the state of all members for an error message.
    std::string describe() const
    {
        std::string out;
        for (const auto& [host, member] : simulated_members_)
        {
            out += host + "/" + member.disk_.store_;
            if (!member.raft_)
            {
                out += " down; ";
                continue;
            }
            out +=
                " role=" +
                std::to_string(static_cast<int>(member.raft_->role())) +
                " term=" + std::to_string(member.raft_->term()) +
                " commit=" + std::to_string(member.raft_->commit_index()) +
                " last=" + std::to_string(member.raft_->log().last_index()) +
                " group at " +
                std::to_string(member.raft_->log().membership_entry_index()) +
                ":";
            for (const control::member& item :
                 member.raft_->log().group().members_)
            {
                out += " " + item.host_ + "/" + item.store_ +
                       (item.voter_ ? "" : "(learner)");
            }
            out += "; ";
        }
        return out;
    }

    void check_final_state()
    {
        require(
            !member_under_repair_,
            "a lost disk is replaced after the faults end: " + describe());
        const simulated_member* most_advanced = nullptr;
        for (auto& [host, member] : simulated_members_)
        {
            require(member.raft_ != nullptr, "all members run at the end");
            if (most_advanced == nullptr ||
                member.applied_index_ > most_advanced->applied_index_)
            {
                most_advanced = &member;
            }
        }
        for (auto& [host, member] : simulated_members_)
        {
            require(
                member.applied_index_ + 50 >= most_advanced->applied_index_,
                "all members catch up after the faults end: " + host);
            if (member.applied_index_ == most_advanced->applied_index_)
            {
                require(
                    member.machine_.encode() ==
                        most_advanced->machine_.encode(),
                    "equal logs lead to equal states");
            }
        }
        require(
            most_advanced->machine_.fleet().configuration_version() >=
                max_acknowledged_version_,
            "an acknowledged configuration is never lost");
        for (const auto& [key, attempt] : attempt_by_claim_)
        {
            const std::size_t separator = key.find('/');
            const auto& claims = most_advanced->machine_.claims().all();
            const auto found = claims.find(
                {key.substr(0, separator), key.substr(separator + 1)});
            require(
                found != claims.end() && found->second.attempt_ == attempt,
                "an acknowledged claim is never lost");
        }
    }

    std::mt19937_64 random_;
    event_counts& counts_;
    std::uint64_t seed_;
    std::uint64_t step_ = 0;
    bool faults_enabled_ = true;
    std::map<host_id, simulated_member> simulated_members_;
    std::multimap<std::uint64_t, control::raft_message> in_flight_;
    std::uint64_t next_store_ = 0;
    std::uint64_t next_command_ = 0;
    std::uint64_t next_read_ = 0;
    std::vector<control::command> recent_commands_;
    std::optional<host_id> member_under_repair_;

    std::map<control::term_number, host_id> leader_by_term_;
    std::map<control::log_index, std::pair<control::term_number, std::string>>
        applied_entries_;
    std::map<std::string, std::uint64_t> version_by_command_;
    std::map<std::uint64_t, std::string> command_by_version_;
    std::map<std::uint64_t, std::string> command_by_base_version_;
    std::map<std::string, std::string> attempt_by_claim_;
    std::uint64_t max_acknowledged_version_ = 0;
};

} // namespace

void run_group(std::uint64_t seed, std::uint64_t steps, event_counts& counts)
{
    group_run(seed, counts).run(steps);
}

} // namespace poplarroute::tests::soak
