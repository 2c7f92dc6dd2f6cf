#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"

namespace poplarroute::control
{

using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// Identifies a member's disk; a new disk gets a new id.
using store_id = std::string;

/// Member of a Raft group. A host whose disk was lost returns with a new
/// store id and counts as another member.
struct member
{
    core::host_id host_;
    store_id store_;
    bool voter_ = false; ///< Voter or learner.

    friend bool operator==(const member&, const member&) = default;
};

/// Members of a Raft group, sorted by host.
struct member_group
{
    std::vector<member> members_;

    /// Members that were added since the group was founded, less those that
    /// were removed: that many have been replaced and may be removed.
    std::int64_t surplus_ = 0;

    /// \return the member on a host, or nullptr.
    const member* find(const core::host_id& host) const;
    bool is_voter(const core::host_id& host, const store_id& store) const;
    std::size_t voter_count() const;

    /// \return the smallest number of voters that is more than half of them.
    std::size_t majority() const;

    friend bool operator==(const member_group&, const member_group&) = default;
};

/// Kind of a log entry.
enum class entry_kind : std::uint8_t
{
    noop,       ///< First entry of a leader's term.
    command,    ///< For the state machine.
    membership, ///< An encoded member_group; in force once it is appended.
};

/// Entry of the replicated log.
struct log_entry
{
    log_index index_ = 0;
    term_number term_ = 0;
    entry_kind kind_ = entry_kind::noop;
    std::string payload_;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// State of the state machine at an index, which replaces the log up to it.
struct snapshot
{
    log_index index_ = 0;
    term_number term_ = 0;
    member_group group_;
    std::string state_;
};

/// State that must be on disk before a message reveals a vote or a term.
struct hard_state
{
    term_number term_ = 0;
    core::host_id voted_for_;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// Raft's RequestVote.
struct vote_request
{
    term_number term_ = 0;
    log_index last_index_ = 0;
    term_number last_term_ = 0;
    bool trial_ = false; ///< Whether it is a pre-vote, which changes no state.
};

/// Reply to a vote_request.
struct vote_reply
{
    term_number term_ = 0;
    bool granted_ = false;
    bool trial_ = false;
};

/// Raft's AppendEntries; without entries it is a heartbeat.
struct append_request
{
    term_number term_ = 0;
    log_index previous_index_ = 0;
    term_number previous_term_ = 0;
    std::vector<log_entry> entries_;
    log_index commit_ = 0;
    std::uint64_t round_ = 0; ///< Read-index round that the reply confirms.
};

/// Reply to an append_request or a snapshot_request.
struct append_reply
{
    term_number term_ = 0;
    bool accepted_ = false;
    log_index match_ = 0;     ///< Last index replicated, or to retry after.
    std::uint64_t round_ = 0; ///< Round of the request.
};

/// Raft's InstallSnapshot.
struct snapshot_request
{
    term_number term_ = 0;
    snapshot snapshot_;
    std::uint64_t round_ = 0;
};

using raft_body = std::variant<
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_request>;

/// Message between members. The store ids distinguish a host with a new disk
/// from the member that it was before.
struct raft_message
{
    core::host_id from_;
    store_id from_store_;
    core::host_id to_;
    store_id to_store_;
    raft_body body_;
};

/// \return the value as CBOR bytes.
std::string encode(const raft_message& message);
std::string encode(const member_group& group);
std::string encode(const snapshot& value);
std::string encode(const hard_state& state);
std::string encode(const log_entry& entry);

/// Each decodes what encode() wrote.
/// \return the value, or nothing if the bytes are not well formed.
std::optional<raft_message> decode_message(std::string_view bytes);
std::optional<member_group> decode_group(std::string_view bytes);
std::optional<snapshot> decode_snapshot(std::string_view bytes);
std::optional<hard_state> decode_hard_state(std::string_view bytes);
std::optional<log_entry> decode_entry(std::string_view bytes);

} // namespace poplarroute::control
