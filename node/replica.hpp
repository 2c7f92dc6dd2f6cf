#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/thread_pool.hpp>

#include "control/catalog_state_machine.hpp"
#include "control/raft.hpp"
#include "control/state_machine.hpp"
#include "drivers/disk_log.hpp"
#include "node/context.hpp"

namespace poplarroute::node
{

/// What a member's disk holds, for an operator or a fleet that starts.
struct replica_identity
{
    std::string store_;
    bool blank_ = true;
    std::vector<control::member> group_;
};

/// Runs one member of a Raft group: protocol steps, disk, messages and
/// replies.
///
/// Steps run one after another. What a step has to persist is written and
/// synced on a separate thread before anything is sent or applied, and all
/// commands that arrive meanwhile go into the next step together. While the
/// disk refuses writes, at the start or later, the member is suspended: it
/// sends nothing, as if its process had stopped. It opens the disk again at
/// intervals and resumes from what is stored there. The state that it has
/// applied stays: it is committed, so the disk has it too.
/// \tparam Machine state machine that the log drives, with apply(),
/// revision(), encode(), decode() and the type reply.
template <class Machine>
class raft_replica
{
public:
    using command_reply = typename Machine::reply;

    /// \param times protocol timing; all members of the group have the same.
    explicit raft_replica(context& with, control::raft_timing times = {});

    /// Opens the data folder.
    /// \return an error of kind storage when it cannot be read. A disk that
    /// only refuses writes is opened by the started member.
    core::result<core::done> open();

    /// Registers calls and starts to take part in the group.
    void start();

    /// Proposes a command, if this member is the leader.
    /// \param bytes an encoded command.
    /// \return its reply once committed and applied; not_leader, also when
    /// the leadership was lost meanwhile and the outcome is unknown.
    awaitable<core::result<command_reply>> submit(std::string bytes);

    /// Waits until this member, as the leader, may answer a linearizable read.
    awaitable<core::result<core::done>> read_barrier();

    /// \return the latest time at which this member's state is known to have
    /// been current; nothing when unknown.
    std::optional<core::time_point> current_as_of() const;

    bool leads() const;
    core::host_id leader() const;

    /// \return whether the disk refuses writes, so that this member takes no
    /// part in its group.
    bool is_suspended() const
    {
        return suspended_;
    }

    const Machine& state() const
    {
        return machine_;
    }

    /// \return this member's Raft protocol state.
    const control::raft* member() const
    {
        return raft_.get();
    }

    const control::store_id& store() const
    {
        return disk_contents_.store_;
    }

    /// Sets the first group of a member that belongs to none yet.
    core::result<core::done> bootstrap(const control::member_group& group);

    /// Changes the group by one member, if this member is the leader.
    /// \param action "add", "promote" or "remove"; "found" adds a member that
    /// replaces no other.
    awaitable<core::result<core::done>> change_group(
        std::string action, core::host_id host, std::string store);

    /// Registers a callback that runs after the state has changed.
    void on_change(std::function<void()> callback);

private:
    struct proposal
    {
        std::string bytes_;
        std::shared_ptr<pending_value<core::result<command_reply>>> reply_;
    };

    struct group_change
    {
        control::member_group next_;
        std::shared_ptr<pending_value<core::result<core::done>>> reply_;
    };

    using read_reply = std::shared_ptr<pending_value<core::result<core::done>>>;

    void make_raft();
    void register_calls();
    awaitable<void> run();
    awaitable<void> run_step();
    awaitable<void> propose_queued_commands();
    awaitable<void> propose_queued_group_changes();
    awaitable<void> perform(control::raft_actions actions);
    bool refuse_message(const control::raft_message& message);
    awaitable<bool> write(const control::raft_actions& actions);
    void suspend(const std::string& why);
    awaitable<void> resume();
    core::result<core::done> load(drivers::disk_contents contents);
    void follow_while_suspended(const control::raft_message& message);
    void notify();
    awaitable<void> snapshot_if_due();
    void send(const std::vector<control::raft_message>& messages);
    void apply(const std::vector<control::log_entry>& entries);
    void answer_reads(const control::raft_actions& actions);
    void fail_pending();
    void fail_queued();
    void wake();

    context& with_;
    control::raft_timing times_;
    drivers::disk_contents disk_contents_;
    std::unique_ptr<drivers::disk_log> disk_;
    std::unique_ptr<control::raft> raft_;
    Machine machine_;
    bool suspended_ = false; ///< The disk refuses writes.
    core::host_id leader_while_suspended_;
    control::log_index applied_ = 0;
    drivers::asio::thread_pool disk_thread_{1};
    drivers::asio::steady_timer wake_;
    std::deque<control::raft_message> inbox_;

    // Waiting for the next step.
    std::vector<proposal> queued_proposals_;
    std::vector<group_change> queued_group_changes_;
    std::vector<read_reply> queued_reads_;

    // Reads by id, and proposals by log index, that await the group's answer.
    std::map<std::uint64_t, read_reply> pending_reads_;
    std::uint64_t next_read_id_ = 1;
    std::map<control::log_index, proposal> pending_proposals_;
    std::map<control::log_index, group_change> pending_group_changes_;
    control::term_number pending_term_ = 0; ///< Of the pending proposals.

    std::vector<std::function<void()>> on_change_;
};

extern template class raft_replica<control::state_machine>;
extern template class raft_replica<control::catalog_state_machine>;

/// Member of the control group, which stores the directory of the fleet.
using replica = raft_replica<control::state_machine>;

/// Member of the group that stores the catalog.
using catalog_replica = raft_replica<control::catalog_state_machine>;

} // namespace poplarroute::node
