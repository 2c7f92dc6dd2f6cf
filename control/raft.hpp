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

/// Timeouts of a Raft group.
struct raft_timing
{
    core::duration heartbeat_interval_{150};
    core::duration min_election_timeout_{800};
    core::duration election_timeout_jitter_{800}; ///< Largest random part.

    /// Minimum election timeout of a member that has seen no leader since it
    /// started, as after a restart of the whole group.
    core::duration min_first_election_timeout_{800};
};

/// \param bytes size of a message between members.
/// \return the longest time, in ms, that it is taken to need on its way.
core::duration transfer_time(std::size_t bytes);

/// Role of a member in the current term.
enum class raft_role
{
    follower,
    pre_candidate, ///< Asks by a pre-vote whether it could win an election.
    candidate,
    leader,
};

/// Actions that the caller has to take after a step, in this order: write and
/// sync what belongs on disk, then send the messages, then apply the committed
/// entries and answer the reads.
struct raft_actions
{
    std::optional<hard_state> hard_state_;
    std::optional<snapshot> install_snapshot_;
    std::optional<log_index> truncate_from_; ///< First index to drop.
    std::vector<log_entry> append_;
    std::vector<raft_message> send_;
    std::vector<log_entry> committed_;
    std::vector<std::uint64_t> ready_reads_; ///< Ids of reads to answer.
    std::vector<std::uint64_t> refused_;     ///< Ids of reads to refuse.

    /// \return whether something must be written to disk first.
    bool needs_disk_write() const;
};

/// State and settings that a member starts with.
struct raft_initial_state
{
    core::host_id host_;
    store_id store_;
    hard_state hard_state_;
    snapshot snapshot_;
    std::vector<log_entry> entries_;

    /// Index up to which entries are known to be committed; at least the
    /// snapshot's.
    log_index commit_ = 0;
    raft_timing times_;
    std::uint64_t seed_ = 1; ///< Of the random election timeouts.
};

/// Raft protocol of one group member, without I/O: each step returns the
/// actions that its caller has to take.
///
/// Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable
/// Consensus Algorithm" (2014), with the pre-vote, check-quorum and read-index
/// of Ongaro's thesis (2014, sections 6.4 and 9.6) and membership changed one
/// member at a time (section 4.1).
class raft
{
public:
    raft(raft_initial_state start, core::time_point now);

    /// Performs what is due: elections, heartbeats and the leader's check that
    /// it still reaches a majority. After a short pause of this process, or of
    /// the whole machine, messages that arrived meanwhile are handled first.
    raft_actions tick(core::time_point now);

    /// \return why a message must not be passed to receive(): no member whose
    /// state follows from this group sends it, and it would break an invariant.
    /// Empty for every other message.
    std::string_view find_objection(const raft_message& message) const;

    /// Handles a message from another member.
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

    /// Proposes a change of the group by one member: a learner is added, a
    /// learner that has caught up is promoted to voter, or a member is removed.
    core::result<raft_actions> propose_group_change(
        const member_group& next, core::time_point now, log_index& out);

    /// Starts a linearizable read: it sees everything acknowledged before it.
    /// \param id is returned in ready_reads_ or refused_ by this or a later
    /// step.
    raft_actions read(std::uint64_t id, core::time_point now);

    /// Replaces applied entries by a snapshot of the state.
    /// \param index the last index that the state contains.
    /// \param state the state machine's encoded state.
    /// \param to_keep how many entries up to the index stay in the log.
    void compact(log_index index, std::string state, log_retention to_keep);

    raft_role role() const
    {
        return role_;
    }

    term_number term() const
    {
        return state_.term_;
    }

    /// \return the leader that this member knows; empty if it knows none.
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

    /// \return the time of the last message from the current leader or, if this
    /// member leads, of its last contact to a majority.
    core::time_point last_contact(core::time_point now) const;

    /// \return whether this member leads and a majority has answered it within
    /// the shortest election timeout. A process that was paused may lead no
    /// longer, although it has not heard of a successor.
    bool is_followed(core::time_point now) const;

    /// \return the time of the last reply that this leader received from a
    /// member; nothing if it received none or this member does not lead.
    std::optional<core::time_point> last_reply_from(
        const core::host_id& host) const;

    /// \return whether a learner has replied and its log is close enough to the
    /// leader's for a promotion.
    bool is_caught_up(const core::host_id& host) const;

private:
    /// Replication state of another member, as its leader knows it.
    struct progress
    {
        log_index next_ = 1;      ///< Next index to send.
        log_index match_ = 0;     ///< Last index known to be replicated.
        std::uint64_t round_ = 0; ///< Last read-index round it confirmed.
        core::time_point last_reply_at_;
        core::time_point next_snapshot_at_; ///< Earliest time to send one.

        /// Until then, entries that were sent may still arrive.
        core::time_point resend_at_;
        std::uint64_t first_valid_round_ = 0; ///< Of rejections.

        /// Whether the leader looks for the end of the common log: it sends the
        /// entries from next_ only, until the member accepts them.
        bool probes_ = false;
    };

    /// Read that waits for a majority to confirm its round.
    struct pending_read
    {
        std::uint64_t id_ = 0;
        std::uint64_t round_ = 0;
    };

    raft_actions take_actions();
    void note_pause(core::time_point now);
    void set_term(term_number term, const core::host_id& voted_for);
    void become_follower(term_number term, const core::host_id& leader);
    void start_election(bool is_pre_vote, core::time_point now);
    void become_leader(core::time_point now);
    void reset_election_timer(core::time_point now);
    void append_entry(entry_kind kind, std::string payload);
    void advance_commit();
    void commit_to(log_index index);
    void send(const core::host_id& to, raft_body body);
    void reply(const raft_message& to, raft_body body);
    void broadcast(core::time_point now);
    void send_append(const core::host_id& to, core::time_point now);
    core::duration resend_delay(std::span<const log_entry> entries) const;
    void answer_reads();
    void refuse_reads();
    void check_quorum(core::time_point now);
    bool has_reply_from_majority(core::time_point since) const;
    core::time_point majority_contact_at(core::time_point now) const;
    std::string_view find_objection(const append_request& body) const;
    std::string_view find_objection(const snapshot_request& body) const;
    bool is_addressed_to_this_member(const raft_message& message) const;
    bool is_log_up_to_date(const vote_request& request) const;
    core::result<core::done> check_group_change(const member_group& next) const;

    void handle(
        const raft_message& from,
        const vote_request& body,
        core::time_point now);
    void handle(
        const raft_message& from, const vote_reply& body, core::time_point now);
    void handle(
        const raft_message& from,
        const append_request& body,
        core::time_point now);
    void handle(
        const raft_message& from,
        const append_reply& body,
        core::time_point now);
    void handle(
        const raft_message& from,
        const snapshot_request& body,
        core::time_point now);
    void store_entries(const append_request& body);

    core::host_id host_;
    store_id store_;
    hard_state state_;
    raft_log log_;
    raft_timing times_;
    std::mt19937_64 random_;

    raft_role role_ = raft_role::follower;
    core::host_id leader_;
    log_index commit_ = 0;
    core::time_point election_deadline_;
    std::optional<core::time_point> last_tick_at_;

    /// No election begins and no leader steps down before, since a pause has
    /// just ended.
    core::time_point catch_up_until_;
    core::time_point last_leader_contact_;
    bool has_seen_leader_ = false;
    core::time_point next_heartbeat_at_;
    core::time_point leadership_started_at_;
    std::set<core::host_id> received_votes_;
    std::map<core::host_id, progress> progress_;
    std::uint64_t round_ = 0;
    log_index term_start_index_ = 0;
    std::vector<pending_read> pending_reads_;
    raft_actions actions_;
};

} // namespace poplarroute::control
