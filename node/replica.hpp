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

/// What an operator or a starting fleet asks of a member's disk.
struct replica_identity
{
    std::string store_;
    bool blank_ = true;
    std::vector<control::member> group_;
};

/// Runs one member of the control group: steps, disk, messages, replies.
///
/// Steps run one after another. What a step wants on the disk is written and
/// synced on a thread of its own before anything is sent or applied, and all
/// commands that came meanwhile go into the next step together. A disk that
/// refuses a write is read again from its files until it takes writes: the
/// member is silent meanwhile, as if its process had stopped.
/// \tparam Machine what the log drives: apply(), revision(), encode(),
/// decode() and the type reply.
template <class Machine>
class log_member
{
public:
    using command_reply = typename Machine::reply;

    /// \param times of the group; all members have the same.
    explicit log_member(context& with, control::raft_timing times = {});

    /// Opens the data folder.
    /// \return an error of kind storage when it cannot be used.
    core::result<core::done> open();

    /// Registers calls and starts to take part.
    void start();

    /// Proposes a command here.
    /// \param bytes an encoded command.
    /// \return its reply once committed and applied; not_leader, also when
    /// the leadership was lost meanwhile and the outcome is unknown.
    awaitable<core::result<command_reply>> submit(std::string bytes);

    /// Waits until this member, as leader, may answer reads.
    awaitable<core::result<core::done>> read_barrier();

    /// \return the age of this member's knowledge; nothing when unknown.
    std::optional<core::time_point> current_at() const;

    bool leads() const;
    core::host_id leader() const;
    const Machine& state() const
    {
        return machine_;
    }

    const control::raft* member() const
    {
        return raft_.get();
    }

    const control::store_id& store() const
    {
        return contents_.store_;
    }

    /// Gives a blank member its first group.
    core::result<core::done> bootstrap(const control::member_group& group);

    /// Changes the group by one member, at the leader.
    /// \param action "add", "promote" or "remove".
    awaitable<core::result<core::done>> change_group(
        std::string action, core::host_id host, std::string store);

    /// Called after the directory has changed.
    void on_change(std::function<void()> call);

private:
    struct proposal
    {
        std::string bytes_;
        std::shared_ptr<awaited<core::result<command_reply>>> reply_;
    };

    struct group_change
    {
        control::member_group next_;
        std::shared_ptr<awaited<core::result<core::done>>> reply_;
    };

    using read_reply = std::shared_ptr<awaited<core::result<core::done>>>;

    void make_raft();
    void register_calls();
    awaitable<void> run();
    awaitable<void> step_all();
    awaitable<void> step_proposals();
    awaitable<void> step_group_changes();
    awaitable<void> perform(control::raft_actions actions);
    awaitable<bool> write(const control::raft_actions& actions);
    awaitable<void> reopen(std::string why);
    core::result<core::done> load();
    void notify();
    awaitable<void> snapshot_if_due();
    void send(const std::vector<control::raft_message>& messages);
    void apply(const std::vector<control::log_entry>& entries);
    void answer_reads(const control::raft_actions& actions);
    void fail_waiting();
    void wake();

    context& with_;
    control::raft_timing times_;
    drivers::disk_contents contents_;
    std::unique_ptr<drivers::disk_log> disk_;
    std::unique_ptr<control::raft> raft_;
    Machine machine_;
    bool suspended_ = false; ///< The disk refuses writes.
    control::log_index applied_ = 0;
    drivers::asio::thread_pool disk_thread_{1};
    drivers::asio::steady_timer wake_;
    std::deque<control::raft_message> inbox_;
    std::vector<proposal> proposals_;
    std::vector<group_change> group_changes_;
    std::vector<read_reply> new_reads_;
    std::map<std::uint64_t, read_reply> reads_;
    std::uint64_t next_read_ = 1;
    std::map<control::log_index, proposal> waiting_;
    std::map<control::log_index, group_change> waiting_changes_;
    control::term_number waiting_term_ = 0;
    std::vector<std::function<void()>> on_change_;
};

extern template class log_member<control::state_machine>;
extern template class log_member<control::catalog_state_machine>;

/// A member of the group that keeps the product's own directory.
using replica = log_member<control::state_machine>;

/// A member of the group that keeps the catalog.
using catalog_replica = log_member<control::catalog_state_machine>;

} // namespace poplarroute::node
