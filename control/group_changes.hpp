#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "control/raft_types.hpp"
#include "core/clock.hpp"

namespace poplarroute::control
{

/// What a leader knows of another member.
struct member_contact
{
    /// Time since the member's last reply; at most the time since the leader's
    /// election.
    core::duration silence_;
    bool caught_up_ = false; ///< A learner whose log is close to the leader's.
    bool leaves_ = false;    ///< Its process has said that it stops.
};

/// Change of a group that its leader is to propose.
struct group_change
{
    enum class kind : std::uint8_t
    {
        promote, ///< A learner becomes a voter.
        remove,
    };

    kind kind_ = kind::promote;
    core::host_id host_;

    friend bool operator==(const group_change&, const group_change&) = default;
};

/// Decides which change a group needs.
///
/// A member that has left for good and still votes uses up a loss that the
/// group could bear. It looks like one that is down and returns, so members are
/// removed only while others have joined in their place
/// (member_group::surplus_): those that say that they stop, else those that are
/// silent. One that is removed and returns joins again.
/// \param contacts of all members except the leader itself.
/// \return the next change; nothing if none is due, or it cannot be told which
/// member has left.
std::optional<group_change> decide_group_change(
    const member_group& group,
    const std::map<core::host_id, member_contact>& contacts);

} // namespace poplarroute::control
