#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include "control/raft_log.hpp"
#include "core/clock.hpp"
#include "core/result.hpp"

namespace poplarroute::control
{

/// Times of the group, in milliseconds.
struct raft_times
{
    core::duration heartbeat_{150};
    core::duration election_least_{800};
    core::duration election_spread_{800}; ///< Drawn on top of the least.

    /// The least before an election while none has been heard of since the
    /// start, as after a restart of the whole group.
    core::duration first_election_least_{800};
};

enum class raft_role
{
    follower,
    trial_candidate, ///< Asks whether an election could be won.
    candidate,
    leader,
};

/// What the caller of a step must do, in this order: write and sync the disk
/// parts, then send, then apply.
struct raft_actions
{
    std::optional<hard_state> hard_state_;
    std::optional<snapshot> install_;
    std::optional<log_index> truncate_from_;
    std::vector<log_entry> append_;
    std::vector<raft_message> send_;
    std::vector<log_entry> committed_;
    std::vector<std::uint64_t> readable_; ///< Reads that may be answered.
    std::vector<std::uint64_t> refused_;  ///< Reads that have to be refused.

    /// \return whether something must reach the disk first.
    bool touches_disk() const;
};

/// What a member starts from.
struct raft_start
{
    core::host_id host_;
    store_id store_;
    hard_state hard_state_;
    snapshot snapshot_;
    std::vector<log_entry> entries_;
    raft_times times_;
    std::uint64_t seed_ = 1;
};

/// One member of the replicated log, as a step function without I/O.
///
/// Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable
/// Consensus Algorithm" (2014), with the pre-vote, check-quorum and read-index
/// of Ongaro's thesis (2014, sections 6.4 and 9.6) and membership changed one
/// member at a time (section 4.1).
class raft
{
public:
    raft(raft_start start, core::time_point now);

    /// Lets time pass: elections, heartbeats and the leader's own check that
    /// it still reaches a majority.
    raft_actions tick(core::time_point now);

    /// Takes a message that another member sent.
    raft_actions receive(const raft_message& message, core::time_point now);

    /// Appends commands at the leader.
    /// \param payloads for the state machine.
    /// \param now the time of the step.
    /// \param out receives the index of the first of them.
    /// \return the actions, or not_leader.
    core::result<raft_actions> propose(
        std::span<const std::string> payloads,
        core::time_point now,
        log_index& out);

    /// Changes the group by one member: a learner added, a learner that has
    /// caught up made a voter, or a member removed.
    core::result<raft_actions> propose_group(
        const member_group& next, core::time_point now, log_index& out);

    /// Asks for a read that sees everything acknowledged before it.
    /// \param id comes back in readable_ or refused_.
    raft_actions read(std::uint64_t id, core::time_point now);

    /// Says that entries are applied and the state may replace them.
    void compact(log_index index, std::string state, std::size_t keep);

    raft_role role() const
    {
        return role_;
    }

    term_number term() const
    {
        return state_.term_;
    }

    /// \return the leader this member knows of; empty when it knows none.
    const core::host_id& leader() const
    {
        return leader_;
    }

    log_index commit_index() const
    {
        return commit_;
    }

    const raft_log& log() const
    {
        return log_;
    }

    const store_id& store() const
    {
        return store_;
    }

    /// \return when a current leader was last heard of or, for a leader, when
    /// it last reached a majority.
    core::time_point last_contact(core::time_point now) const;

    /// \return when the leader last had a reply of another member; nothing
    /// when it had none or this member does not lead.
    std::optional<core::time_point> heard_from(const core::host_id& host) const;

    /// \return whether a learner holds everything up to the commit index.
    bool caught_up(const core::host_id& host) const;

private:
    /// What a leader knows of another member.
    struct progress
    {
        log_index next_ = 1;
        log_index match_ = 0;
        std::uint64_t round_ = 0;
        core::time_point heard_;
        core::time_point snapshot_due_;
    };

    struct waiting_read
    {
        std::uint64_t id_ = 0;
        std::uint64_t round_ = 0;
    };

    raft_actions take();
    void set_term(term_number term, const core::host_id& voted_for);
    void become_follower(term_number term, const core::host_id& leader);
    void start_election(bool trial, core::time_point now);
    void become_leader(core::time_point now);
    void reset_election_timer(core::time_point now);
    void append_own(entry_kind kind, std::string payload);
    void advance_commit();
    void commit_to(log_index index);
    void send(const core::host_id& to, raft_body body);
    void reply(const raft_message& to, raft_body body);
    void broadcast(core::time_point now);
    void send_append(const core::host_id& to, core::time_point now);
    void answer_reads();
    void refuse_reads();
    void check_quorum(core::time_point now);
    bool heard_from_majority(core::time_point since) const;
    core::time_point majority_heard_at(core::time_point now) const;
    bool is_for_this_store(const raft_message& message) const;
    bool log_is_current(const vote_request& request) const;
    core::result<core::done> check_change(const member_group& next) const;

    void on(
        const raft_message& from,
        const vote_request& body,
        core::time_point now);
    void on(
        const raft_message& from, const vote_reply& body, core::time_point now);
    void on(
        const raft_message& from,
        const append_request& body,
        core::time_point now);
    void on(
        const raft_message& from,
        const append_reply& body,
        core::time_point now);
    void on(
        const raft_message& from,
        const snapshot_request& body,
        core::time_point now);
    void store_entries(const append_request& body);

    core::host_id host_;
    store_id store_;
    hard_state state_;
    raft_log log_;
    raft_times times_;
    std::mt19937_64 random_;

    raft_role role_ = raft_role::follower;
    core::host_id leader_;
    log_index commit_ = 0;
    core::time_point election_due_;
    core::time_point leader_heard_;
    bool leader_ever_heard_ = false;
    core::time_point heartbeat_due_;
    core::time_point leader_since_;
    std::set<core::host_id> votes_;
    std::map<core::host_id, progress> progress_;
    std::uint64_t round_ = 0;
    log_index term_start_ = 0;
    std::vector<waiting_read> reads_;
    raft_actions actions_;
};

} // namespace poplarroute::control
