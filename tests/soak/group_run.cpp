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
constexpr std::uint64_t compact_every = 60;
constexpr std::size_t entries_kept = 10;
constexpr std::size_t account_count = 3;
constexpr std::size_t key_count = 12;
constexpr std::uint64_t healing_steps = 3'000;

const char* const base_configuration =
    "[organisation]\nname = Soak\n[availability_zone a]\nregion = r\n"
    "[host h]\navailability_zone = a\npeer = 127.0.0.1:1\n"
    "[account a0]\nrate = 10\nburst = 10\n"
    "[account a1]\nrate = 10\nburst = 10\n"
    "[account a2]\nrate = 10\nburst = 10\n";

/// What a member's disk holds.
struct disk
{
    std::string store_;
    control::hard_state hard_state_;
    control::snapshot snapshot_;
    std::vector<control::log_entry> entries_;
};

struct operation
{
    std::string bytes_;
    control::command order_;
    std::uint64_t started_ = 0; ///< Greatest version acknowledged by then.
};

struct node
{
    host_id host_;
    disk disk_;
    std::unique_ptr<raft> raft_;
    control::state_machine machine_;
    control::log_index applied_ = 0;
    std::uint64_t frozen_until_ = 0;
    std::uint64_t down_until_ = 0;
    int side_ = 0; ///< Members of different sides cannot talk.
    std::map<control::log_index, std::pair<control::term_number, operation>>
        waiting_;
    std::map<std::uint64_t, std::uint64_t> reads_; ///< Id to least version.
};

struct flying
{
    std::uint64_t at_ = 0;
    control::raft_message message_;
};

/// Thrown inside a step to stand for a process killed there.
struct killed
{
};

class group_run
{
public:
    group_run(std::uint64_t seed, counts& into)
        : random_(seed), counts_(into), seed_(seed)
    {
        control::member_group group;
        for (int at = 0; at < member_count; ++at)
        {
            const host_id host = "m" + std::to_string(at);
            nodes_[host].host_ = host;
            nodes_[host].disk_.store_ = new_store();
            group.members_.push_back({host, nodes_[host].disk_.store_, true});
        }
        for (auto& [host, of] : nodes_)
        {
            of.disk_.snapshot_ = {1, 1, group, of.machine_.encode()};
            boot(of);
        }
    }

    void run(std::uint64_t steps)
    {
        for (std::uint64_t at = 0; at < steps; ++at)
        {
            make_faults();
            one_step();
        }
        heal();
        for (std::uint64_t at = 0; at < healing_steps; ++at)
        {
            one_step();
        }
        check_end();
        counts_["group steps"] += steps + healing_steps;
    }

private:
    bool chance(int in)
    {
        return random_() % static_cast<std::uint64_t>(in) == 0;
    }

    std::uint64_t below(std::uint64_t most)
    {
        return random_() % most;
    }

    std::string new_store()
    {
        return "store-" + std::to_string(++next_store_);
    }

    core::time_point now() const
    {
        return {static_cast<std::int64_t>(step_) * step_ms + 1};
    }

    node& any_node()
    {
        auto found = nodes_.begin();
        std::advance(found, static_cast<long>(below(nodes_.size())));
        return found->second;
    }

    void boot(node& of)
    {
        control::raft_initial_state start;
        start.host_ = of.host_;
        start.store_ = of.disk_.store_;
        start.hard_state_ = of.disk_.hard_state_;
        start.snapshot_ = of.disk_.snapshot_;
        start.entries_ = of.disk_.entries_;
        start.seed_ = random_();
        of.raft_ = std::make_unique<raft>(std::move(start), now());
        of.machine_ = {};
        of.applied_ = of.disk_.snapshot_.index_;
        if (of.applied_ > 0)
        {
            auto state =
                control::state_machine::decode(of.disk_.snapshot_.state_);
            require(state.has_value(), "a snapshot can be read back");
            of.machine_ = std::move(*state);
        }
        of.waiting_.clear();
        of.reads_.clear();
    }

    void kill(node& of, std::uint64_t down)
    {
        of.raft_.reset();
        of.waiting_.clear();
        of.reads_.clear();
        of.down_until_ = step_ + down;
        ++counts_["kills"];
    }

    bool runs(const node& of) const
    {
        return of.raft_ && step_ >= of.frozen_until_;
    }

    /// Writes what a step wants on the disk, or is killed on the way.
    void write(node& of, const raft_actions& actions)
    {
        const bool dies = faults_ && chance(400);
        const std::uint64_t die_at = dies ? below(4) : 99;
        const auto maybe_die = [&](std::uint64_t place)
        {
            if (place == die_at)
            {
                ++counts_["kills between writes"];
                throw killed();
            }
        };
        disk& to = of.disk_;
        maybe_die(0);
        if (actions.hard_state_)
        {
            to.hard_state_ = *actions.hard_state_;
        }
        maybe_die(1);
        if (actions.install_snapshot_)
        {
            to.snapshot_ = *actions.install_snapshot_;
            to.entries_.clear();
        }
        if (actions.truncate_from_)
        {
            std::erase_if(
                to.entries_,
                [&](const control::log_entry& entry)
                {
                    return entry.index_ >= *actions.truncate_from_;
                });
        }
        for (const control::log_entry& entry : actions.append_)
        {
            maybe_die(2);
            to.entries_.push_back(entry);
        }
        maybe_die(3);
    }

    void perform(node& of, raft_actions actions)
    {
        if (actions.needs_disk_write())
        {
            write(of, actions);
        }
        if (actions.install_snapshot_)
        {
            auto state = control::state_machine::decode(
                actions.install_snapshot_->state_);
            require(state.has_value(), "a leader's snapshot can be read");
            of.machine_ = std::move(*state);
            of.applied_ = actions.install_snapshot_->index_;
            ++counts_["snapshots installed"];
        }
        for (control::raft_message& message : actions.send_)
        {
            send(std::move(message));
        }
        for (const control::log_entry& entry : actions.committed_)
        {
            apply(of, entry);
        }
        for (const std::uint64_t id : actions.ready_reads_)
        {
            answer_read(of, id);
        }
        for (const std::uint64_t id : actions.refused_)
        {
            of.reads_.erase(id);
        }
        if (of.raft_->role() == control::raft_role::leader)
        {
            const auto [found, fresh] =
                leaders_.emplace(of.raft_->term(), of.host_);
            require(found->second == of.host_, "a term has one leader");
            counts_["leaders"] += fresh ? 1 : 0;
        }
        else
        {
            of.waiting_.clear();
        }
    }

    void send(control::raft_message message)
    {
        if (faults_ && chance(15))
        {
            ++counts_["messages lost"];
            return;
        }
        const std::uint64_t delay =
            faults_ && chance(10) ? below(40) : below(2);
        counts_["messages delayed"] += delay > 1 ? 1 : 0;
        flying_.emplace(step_ + 1 + delay, message);
        if (faults_ && chance(30))
        {
            ++counts_["messages doubled"];
            flying_.emplace(step_ + 1 + below(60), message);
        }
    }

    void apply(node& of, const control::log_entry& entry)
    {
        require(
            entry.index_ == of.applied_ + 1, "entries are applied in order");
        of.applied_ = entry.index_;
        const auto [known, fresh] = applied_.emplace(
            entry.index_, std::pair(entry.term_, entry.payload_));
        require(
            known->second == std::pair(entry.term_, entry.payload_),
            "what one member applies at an index, all apply");
        if (entry.kind_ != control::entry_kind::command)
        {
            return;
        }
        const control::command_reply reply = of.machine_.apply(entry.payload_);
        const auto waiting = of.waiting_.find(entry.index_);
        if (waiting == of.waiting_.end())
        {
            return;
        }
        const auto [term, what] = waiting->second;
        of.waiting_.erase(waiting);
        if (term == entry.term_)
        {
            acknowledge(what, reply);
        }
    }

    void acknowledge(const operation& what, const control::command_reply& reply)
    {
        ++counts_["commands acknowledged"];
        if (const auto* order =
                std::get_if<control::submit_configuration>(&what.order_))
        {
            acknowledge_version(what, *order, reply);
        }
        if (const auto* order = std::get_if<control::claim_call>(&what.order_))
        {
            if (reply.verdict_ == control::verdict::granted)
            {
                const auto [found, fresh] = granted_.emplace(
                    order->account_ + "/" + order->key_, order->attempt_);
                require(
                    found->second == order->attempt_,
                    "a claim is granted to one attempt");
                counts_["claims granted"] += fresh ? 1 : 0;
            }
        }
    }

    void acknowledge_version(
        const operation& what,
        const control::submit_configuration& order,
        const control::command_reply& reply)
    {
        const auto [first, fresh] =
            replies_.emplace(order.origin_.id_, reply.version_);
        require(
            first->second == reply.version_,
            "a resent command gets the first answer again");
        if (reply.verdict_ != control::verdict::accepted)
        {
            ++counts_["operators' races refused"];
            return;
        }
        if (!fresh)
        {
            ++counts_["resends answered again"];
            return;
        }
        require(
            reply.version_ > what.started_,
            "a version accepted later is greater");
        const auto [by, alone] =
            versions_.emplace(reply.version_, order.origin_.id_);
        require(alone, "a version has one author");
        const auto [based, only] =
            bases_.emplace(order.base_, order.origin_.id_);
        require(only, "one configuration follows each version");
        greatest_ = std::max(greatest_, reply.version_);
        ++counts_["configurations accepted"];
    }

    void answer_read(node& of, std::uint64_t id)
    {
        const auto found = of.reads_.find(id);
        if (found == of.reads_.end())
        {
            return;
        }
        require(
            of.machine_.fleet().configuration_version() >= found->second,
            "a read sees all that was acknowledged before it");
        of.reads_.erase(found);
        ++counts_["reads checked"];
    }

    template <class Step>
    void guarded(node& of, Step step)
    {
        try
        {
            step();
        }
        catch (const killed&)
        {
            kill(of, 20 + below(200));
        }
    }

    void one_step()
    {
        ++step_;
        for (auto& [host, of] : nodes_)
        {
            if (!of.raft_ && step_ >= of.down_until_)
            {
                boot(of);
            }
        }
        deliver();
        for (auto& [host, of] : nodes_)
        {
            if (runs(of))
            {
                guarded(
                    of,
                    [&, self = &of]()
                    {
                        perform(*self, self->raft_->tick(now()));
                    });
            }
        }
        offer_work();
        repair();
        compact_some();
    }

    void deliver()
    {
        std::vector<control::raft_message> due;
        std::multimap<std::uint64_t, control::raft_message> held;
        while (!flying_.empty() && flying_.begin()->first <= step_)
        {
            due.push_back(std::move(flying_.begin()->second));
            flying_.erase(flying_.begin());
        }
        std::shuffle(due.begin(), due.end(), random_);
        for (const control::raft_message& message : due)
        {
            const auto to = nodes_.find(message.to_);
            if (to == nodes_.end() || !to->second.raft_)
            {
                continue;
            }
            node& of = to->second;
            if (nodes_[message.from_].side_ != of.side_)
            {
                ++counts_["messages cut"];
                continue;
            }
            if (step_ < of.frozen_until_)
            {
                // It waits in the frozen process's socket.
                held.emplace(of.frozen_until_, message);
                continue;
            }
            guarded(
                of,
                [&]()
                {
                    perform(of, of.raft_->receive(message, now()));
                });
        }
        flying_.merge(held);
    }

    control::command make_order()
    {
        const std::string id = "c" + std::to_string(++next_command_);
        const control::command_origin origin{id, "op" + id, step_ms};
        if (chance(3))
        {
            control::submit_configuration order{origin, greatest_, ""};
            // Operators race: some still start from an older version.
            order.base_ =
                chance(4) && greatest_ > 0 ? greatest_ - 1 : greatest_;
            order.text_ = std::string(base_configuration) + "# " + id + "\n";
            return order;
        }
        const std::string account = "a" + std::to_string(below(account_count));
        const std::string key =
            "k" +
            std::to_string(below(key_count) + key_count * (step_ / 5'000));
        return control::claim_call{account, key, "digest", "attempt-" + id, 1};
    }

    void offer_work()
    {
        if (!chance(3))
        {
            return;
        }
        operation what;
        what.started_ = greatest_;
        if (!sent_.empty() && chance(4))
        {
            // The answer was lost: the same command again.
            what.order_ = sent_[below(sent_.size())];
            ++counts_["resends"];
        }
        else
        {
            what.order_ = make_order();
            sent_.push_back(what.order_);
            if (sent_.size() > 20)
            {
                sent_.erase(sent_.begin());
            }
        }
        what.bytes_ = control::encode(what.order_);
        for (auto& [host, of] : nodes_)
        {
            if (runs(of) && of.raft_->role() == control::raft_role::leader)
            {
                guarded(
                    of,
                    [&, self = &of]()
                    {
                        propose(*self, what);
                    });
            }
        }
    }

    void propose(node& of, const operation& what)
    {
        control::log_index index = 0;
        const std::string payloads[1] = {what.bytes_};
        auto actions = of.raft_->propose(payloads, now(), index);
        if (core::is_ok(actions))
        {
            of.waiting_[index] = {of.raft_->term(), what};
            perform(of, std::move(core::value(actions)));
        }
        if (of.raft_ && chance(3))
        {
            const std::uint64_t id = ++next_read_;
            of.reads_[id] = greatest_;
            perform(of, of.raft_->read(id, now()));
        }
    }

    void compact_some()
    {
        for (auto& item : nodes_)
        {
            node& of = item.second;
            if (!runs(of))
            {
                continue;
            }
            const auto last = of.raft_->log().latest_snapshot().index_;
            if (of.applied_ < last + compact_every)
            {
                continue;
            }
            of.raft_->compact(of.applied_, of.machine_.encode(), entries_kept);
            of.disk_.snapshot_ = of.raft_->log().latest_snapshot();
            std::erase_if(
                of.disk_.entries_,
                [&](const control::log_entry& entry)
                {
                    return entry.index_ <= of.disk_.snapshot_.index_;
                });
            ++counts_["snapshots taken"];
        }
    }

    void make_faults()
    {
        if (chance(300))
        {
            node& of = any_node();
            if (of.raft_)
            {
                kill(of, 20 + below(300));
            }
        }
        if (chance(400))
        {
            any_node().frozen_until_ = step_ + 20 + below(400);
            ++counts_["freezes"];
        }
        if (chance(300))
        {
            any_node().side_ = static_cast<int>(below(3));
            ++counts_["cuts"];
        }
        if (chance(150))
        {
            for (auto& [host, of] : nodes_)
            {
                of.side_ = 0;
            }
        }
        if (chance(600) && !repairing_)
        {
            lose_disk(any_node());
        }
    }

    void lose_disk(node& of)
    {
        kill(of, 50 + below(200));
        of.disk_ = {};
        of.disk_.store_ = new_store();
        repairing_ = of.host_;
        ++counts_["disks lost"];
    }

    /// What an operator does for a member whose disk was lost.
    void repair()
    {
        if (!repairing_ || !chance(10))
        {
            return;
        }
        const node& lost = nodes_[*repairing_];
        for (auto& [host, of] : nodes_)
        {
            const bool leads =
                runs(of) && of.raft_->role() == control::raft_role::leader;
            if (!leads)
            {
                continue;
            }
            control::member_group next = of.raft_->log().group();
            const control::member* listed = next.find(*repairing_);
            const bool settled = of.raft_->log().membership_entry_index() <=
                                 of.raft_->commit_index();
            if (listed != nullptr && listed->store_ == lost.disk_.store_ &&
                listed->voter_)
            {
                if (settled)
                {
                    repairing_.reset();
                    ++counts_["disks replaced"];
                }
                return;
            }
            change_group(of, next, listed, lost);
            return;
        }
    }

    void change_group(
        node& leader,
        control::member_group next,
        const control::member* listed,
        const node& lost)
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
        guarded(
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

    void heal()
    {
        faults_ = false;
        for (auto& [host, of] : nodes_)
        {
            of.side_ = 0;
            of.frozen_until_ = step_;
            of.down_until_ = std::min(of.down_until_, step_ + 1);
        }
    }

    /// How the members stand, for a message.
    std::string describe() const
    {
        std::string out;
        for (const auto& [host, of] : nodes_)
        {
            out += host + "/" + of.disk_.store_;
            if (!of.raft_)
            {
                out += " down; ";
                continue;
            }
            out +=
                " role=" + std::to_string(static_cast<int>(of.raft_->role())) +
                " term=" + std::to_string(of.raft_->term()) +
                " commit=" + std::to_string(of.raft_->commit_index()) +
                " last=" + std::to_string(of.raft_->log().last_index()) +
                " group at " +
                std::to_string(of.raft_->log().membership_entry_index()) + ":";
            for (const control::member& item : of.raft_->log().group().members_)
            {
                out += " " + item.host_ + "/" + item.store_ +
                       (item.voter_ ? "" : "(learner)");
            }
            out += "; ";
        }
        return out;
    }

    void check_end()
    {
        require(
            !repairing_,
            "a lost disk is replaced once all is well: " + describe());
        const node* longest = nullptr;
        for (auto& [host, of] : nodes_)
        {
            require(of.raft_ != nullptr, "all members run at the end");
            if (longest == nullptr || of.applied_ > longest->applied_)
            {
                longest = &of;
            }
        }
        for (auto& [host, of] : nodes_)
        {
            require(
                of.applied_ + 50 >= longest->applied_,
                "all members catch up once all is well: " + host);
            if (of.applied_ == longest->applied_)
            {
                require(
                    of.machine_.encode() == longest->machine_.encode(),
                    "equal logs make equal states");
            }
        }
        require(
            longest->machine_.fleet().configuration_version() >= greatest_,
            "an acknowledged configuration is never lost");
        for (const auto& [key, attempt] : granted_)
        {
            const std::size_t cut = key.find('/');
            const auto& claims = longest->machine_.claims().all();
            const auto found =
                claims.find({key.substr(0, cut), key.substr(cut + 1)});
            require(
                found != claims.end() && found->second.attempt_ == attempt,
                "an acknowledged claim is never lost");
        }
    }

    std::mt19937_64 random_;
    counts& counts_;
    std::uint64_t seed_;
    std::uint64_t step_ = 0;
    bool faults_ = true;
    std::map<host_id, node> nodes_;
    std::multimap<std::uint64_t, control::raft_message> flying_;
    std::uint64_t next_store_ = 0;
    std::uint64_t next_command_ = 0;
    std::uint64_t next_read_ = 0;
    std::vector<control::command> sent_;
    std::optional<host_id> repairing_;

    std::map<control::term_number, host_id> leaders_;
    std::map<control::log_index, std::pair<control::term_number, std::string>>
        applied_;
    std::map<std::string, std::uint64_t> replies_;
    std::map<std::uint64_t, std::string> versions_;
    std::map<std::uint64_t, std::string> bases_;
    std::map<std::string, std::string> granted_;
    std::uint64_t greatest_ = 0;
};

} // namespace

void run_group(std::uint64_t seed, std::uint64_t steps, counts& into)
{
    group_run(seed, into).run(steps);
}

} // namespace poplarroute::tests::soak
