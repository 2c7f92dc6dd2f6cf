#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

/// Decides which group member a host watches for news, and how long it waits
/// for the reply.
///
/// A member that says that it leads is asked again and again, and may hold the
/// request. One that another member names is asked with a short timeout until
/// it has said so itself, and not at all for a while after it has failed: the
/// member that names it may be behind. If it does not lead, whom it names is
/// not followed. Without a leader, the members are asked in turn, those that
/// failed a moment ago last.
class leader_search
{
public:
    /// The next watch request.
    struct choice
    {
        core::host_id member_; ///< Empty: there is none.

        /// Whether the member may hold the request until it has news.
        bool holds_ = false;
        core::duration timeout_;
    };

    /// \param members that may be asked.
    /// \param hosts number of hosts that the leader answers.
    choice next(
        std::span<const core::host_id> members,
        std::int64_t hosts,
        core::time_point now);

    /// Records a member's reply.
    /// \param leads whether it says that it leads.
    /// \param named the leader that it names; empty if it knows none.
    void record_reply(
        const core::host_id& member,
        bool leads,
        const core::host_id& named,
        core::time_point now);

    /// Records that a member did not reply. No leader is known then.
    void record_failure(const core::host_id& member, core::time_point now);

    /// \return the leader that is known; empty if there is none.
    const core::host_id& leader() const
    {
        return leader_;
    }

    /// \return the member that has said last that it leads; empty if there is
    /// none, or another one is named meanwhile.
    core::host_id confirmed_leader() const
    {
        return is_confirmed_ ? leader_ : core::host_id();
    }

private:
    /// \return whether a member has failed within a period.
    bool has_failed(
        const core::host_id& member,
        core::duration period,
        core::time_point now) const;

    core::host_id leader_;
    bool is_confirmed_ = false; ///< Whether it has said itself that it leads.
    std::size_t next_index_ = 0;
    std::map<core::host_id, core::time_point> failed_at_;
};

} // namespace poplarroute::node
