#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "control/raft_types.hpp"

namespace poplarroute::control
{

/// The log in memory: entries after a base index, and the latest snapshot.
class raft_log
{
public:
    /// \param taken the snapshot to start from; an empty one has index 0.
    /// \param entries the entries after it, in order.
    raft_log(snapshot taken, std::vector<log_entry> entries);

    log_index last_index() const;
    term_number last_term() const;

    /// \return the last index that is no longer kept as an entry.
    log_index base_index() const
    {
        return base_index_;
    }

    /// \return the term of an index, or nothing when it is not kept.
    std::optional<term_number> term_at(log_index index) const;

    /// \pre base_index() < index <= last_index().
    const log_entry& at(log_index index) const;

    /// \return copies from an index on, up to a number and a size in bytes.
    std::vector<log_entry> from(
        log_index first, std::size_t most, std::size_t most_bytes) const;

    /// \pre entry.index_ is last_index() + 1.
    void append(log_entry entry);

    /// Drops all entries from an index on.
    void truncate_from(log_index first);

    /// Takes a snapshot of the state at an index and drops old entries.
    /// \param keep how many entries before the index stay, so that a member
    /// that is a little behind need not take the whole snapshot.
    void compact(log_index index, std::string state, std::size_t keep);

    /// Replaces everything by a leader's snapshot.
    void install(snapshot taken);

    const snapshot& latest_snapshot() const
    {
        return snapshot_;
    }

    /// \return the members in force at the end of the log.
    const member_group& group() const
    {
        return group_;
    }

    /// \return the index of the membership entry in force; 0 for the base's.
    log_index group_index() const
    {
        return group_index_;
    }

private:
    member_group group_up_to(log_index index) const;
    void find_group();

    snapshot snapshot_;
    member_group base_group_;
    log_index base_index_ = 0;
    term_number base_term_ = 0;
    std::deque<log_entry> entries_;
    member_group group_;
    log_index group_index_ = 0;
};

} // namespace poplarroute::control
