#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "control/raft_types.hpp"

namespace poplarroute::control
{

/// Limits on the entries that a log keeps although a snapshot contains them.
struct log_retention
{
    std::size_t entries_ = 0;
    std::size_t bytes_ = 0; ///< Total size of their payloads.
};

/// In-memory Raft log: the entries after a base index, and the latest snapshot.
class raft_log
{
public:
    /// \param start the snapshot to start from; index 0 if there is none.
    /// \param entries the entries after it, in order.
    raft_log(snapshot start, std::vector<log_entry> entries);

    log_index last_index() const;
    term_number last_term() const;

    /// \return the index before the first entry that is kept.
    log_index base_index() const
    {
        return base_index_;
    }

    /// \return the term of an index, or nothing if the index is not kept.
    std::optional<term_number> term_at(log_index index) const;

    /// \pre base_index() < index <= last_index().
    const log_entry& at(log_index index) const;

    /// \return copies of the entries from an index on, at least one if there
    /// is any.
    /// \param first the first index.
    /// \param max_entries the highest number of entries.
    /// \param max_bytes the highest total size of their payloads.
    std::vector<log_entry> entries_from(
        log_index first, std::size_t max_entries, std::size_t max_bytes) const;

    /// \pre entry.index_ is last_index() + 1.
    void append(log_entry entry);

    /// Drops all entries from an index on.
    void truncate_from(log_index first);

    /// \return the total size of the payloads after the latest snapshot.
    std::size_t bytes_after_snapshot() const;

    /// Stores a snapshot of the state at an index and drops old entries.
    /// \param index the last index that the state contains.
    /// \param state the state machine's encoded state.
    /// \param to_keep how many of the entries up to the index stay, so that a
    /// member that is slightly behind does not need the whole snapshot.
    void compact(log_index index, std::string state, log_retention to_keep);

    /// Replaces the whole log by a leader's snapshot.
    void install(snapshot leader_snapshot);

    const snapshot& latest_snapshot() const
    {
        return snapshot_;
    }

    /// \return the group's members as of the end of the log.
    const member_group& group() const
    {
        return group_;
    }

    /// \return the index of the membership entry in force; 0 if it is not kept
    /// as an entry.
    log_index membership_entry_index() const
    {
        return group_index_;
    }

private:
    member_group group_up_to(log_index index) const;
    log_index base_to_keep(log_index index, log_retention to_keep) const;
    void update_group();

    snapshot snapshot_;
    member_group base_group_;
    log_index base_index_ = 0;
    term_number base_term_ = 0;
    std::deque<log_entry> entries_;
    member_group group_;
    log_index group_index_ = 0;
};

} // namespace poplarroute::control
