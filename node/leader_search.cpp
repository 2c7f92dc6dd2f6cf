#include "node/leader_search.hpp"

#include <algorithm>

namespace poplarroute::node
{

namespace
{

/// Timeout of a request that the leader may hold for 800 ms.
constexpr core::duration held_timeout{1'250};

/// Timeout of a request that is answered at once. It covers several round trips
/// between zones, and lets several members be asked within a second.
constexpr core::duration search_timeout{300};

/// The same for a member that is said to lead although it has not replied in
/// time: it may have to answer all hosts at once.
constexpr core::duration named_leader_timeout{450};

/// What a new leader may need for the reply to each host, all of which ask at
/// once.
constexpr core::duration reply_time_per_host{4};

/// Time after a failure in which other members are asked first, and a member is
/// not asked because another names it as the leader.
constexpr core::duration distrust_period{500};

/// Time after a failure in which a member that is said to lead gets the longer
/// timeout.
constexpr core::duration patience_period{1'500};

} // namespace

bool leader_search::has_failed(
    const core::host_id& member,
    core::duration period,
    core::time_point now) const
{
    const auto found = failed_at_.find(member);
    return found != failed_at_.end() && now - found->second <= period;
}

leader_search::choice leader_search::next(
    std::span<const core::host_id> members,
    std::int64_t hosts,
    core::time_point now)
{
    if (!leader_.empty())
    {
        const bool is_late = has_failed(leader_, patience_period, now);
        const core::duration named_timeout = std::clamp(
            reply_time_per_host * hosts,
            is_late ? named_leader_timeout : search_timeout,
            held_timeout);
        return {
            leader_,
            is_confirmed_,
            is_confirmed_ ? held_timeout : named_timeout};
    }
    if (members.empty())
    {
        return {};
    }
    for (std::size_t skipped = 0; skipped < members.size(); ++skipped)
    {
        const core::host_id& member = members[next_index_++ % members.size()];
        if (!has_failed(member, distrust_period, now))
        {
            return {member, false, search_timeout};
        }
    }
    return {members[next_index_++ % members.size()], false, search_timeout};
}

void leader_search::record_reply(
    const core::host_id& member,
    bool leads,
    const core::host_id& named,
    core::time_point now)
{
    // Two members that are behind may name each other.
    const bool was_named = member == leader_ && !is_confirmed_;
    failed_at_.erase(member);
    is_confirmed_ = leads;
    if (leads)
    {
        leader_ = member;
        return;
    }
    // If a member names itself as the leader but does not lead, no leader is
    // known.
    const bool is_credible = !was_named && named != member &&
                             !has_failed(named, distrust_period, now);
    leader_ = is_credible ? named : core::host_id();
}

void leader_search::record_failure(
    const core::host_id& member, core::time_point now)
{
    failed_at_[member] = now;
    leader_.clear();
    is_confirmed_ = false;
}

} // namespace poplarroute::node
