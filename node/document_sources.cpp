#include "node/document_sources.hpp"

#include <algorithm>
#include <string>
#include <tuple>

#include "core/digest.hpp"

namespace poplarroute::node
{

namespace
{

/// Time for which other members are asked before one that did not have a
/// document.
constexpr core::duration not_ready_retention{3'000};

/// The same for a member that did not reply.
constexpr core::duration lost_retention{30'000};

/// Among members that failed, one that did not reply comes this much later: it
/// costs a timeout.
constexpr core::duration lost_penalty{3'000};

/// Time from a failure until a member that failed before is asked.
constexpr core::duration retry_interval{100};

/// Time after a slow failure in which the leader is asked first. It covers the
/// transfer of a document.
constexpr core::duration leader_first_period{3'000};

/// A member that refuses only after this time is as costly as a lost one.
constexpr core::duration slow_failure{200};

/// The same in a large fleet.
constexpr core::duration slow_failure_of_large_fleets{400};

/// Ranks of members that did not fail; the lowest is asked first.
constexpr int first_rank = -1;
constexpr int own_zone_rank = 0;
constexpr int unknown_zone_rank = 1;
constexpr int other_zone_rank = 2;
constexpr int leader_rank = 3;

bool is_within(
    const std::optional<core::time_point>& event,
    core::duration period,
    core::time_point now)
{
    return event && now - *event <= period;
}

} // namespace

int document_sources::zone_rank(
    const core::host_id& member, const core::zone_id& own_zone) const
{
    const auto found = sources_.find(member);
    if (found == sources_.end() || found->second.zone_.empty())
    {
        return unknown_zone_rank;
    }
    return found->second.zone_ == own_zone ? own_zone_rank : other_zone_rank;
}

bool document_sources::leader_comes_first(
    const core::host_id& leader, core::time_point now) const
{
    const auto found = sources_.find(leader);
    const bool is_lost = found != sources_.end() &&
                         is_within(found->second.lost_at_, lost_retention, now);
    const bool has_failed_since =
        found != sources_.end() && last_slow_failure_at_ &&
        found->second.not_ready_at_ >= last_slow_failure_at_;
    return !is_lost && !has_failed_since &&
           is_within(last_slow_failure_at_, leader_first_period, now);
}

std::optional<core::time_point> document_sources::retry_time(
    const core::host_id& member, core::time_point now) const
{
    const auto found = sources_.find(member);
    if (found == sources_.end())
    {
        return std::nullopt;
    }
    const source& known = found->second;
    if (is_within(known.lost_at_, lost_retention, now))
    {
        return *known.lost_at_ + lost_penalty;
    }
    return is_within(known.not_ready_at_, not_ready_retention, now)
               ? known.not_ready_at_
               : std::nullopt;
}

document_sources::choice document_sources::choose(
    std::span<const core::host_id> members,
    const core::host_id& leader,
    const core::zone_id& own_zone,
    core::time_point now) const
{
    choice out{{}, now};
    std::tuple<core::time_point, int, std::uint64_t> least{};
    for (const core::host_id& member : members)
    {
        const std::optional<core::time_point> retry = retry_time(member, now);
        const bool leads = member == leader;
        const bool comes_first = leads && leader_comes_first(leader, now);
        const std::tuple order{
            comes_first ? core::time_point{}
                        : retry.value_or(core::time_point{}),
            comes_first ? first_rank
            : leads     ? leader_rank
                        : zone_rank(member, own_zone),
            core::stable_hash(member + "/" + std::to_string(seed_))};
        if (out.member_.empty() || order < least)
        {
            out.member_ = member;
            out.not_before_ =
                retry ? std::max(now, *last_failure_at_ + retry_interval) : now;
            least = order;
        }
    }
    return out;
}

void document_sources::record_reply(
    const core::host_id& member, const core::zone_id& zone)
{
    sources_[member] = {zone, std::nullopt, std::nullopt};
}

void document_sources::record_contact(const core::host_id& member)
{
    const auto found = sources_.find(member);
    if (found != sources_.end())
    {
        found->second.lost_at_.reset();
    }
}

void document_sources::record_announcement(const core::host_id& member)
{
    const auto found = sources_.find(member);
    if (found != sources_.end())
    {
        found->second.lost_at_.reset();
        found->second.not_ready_at_.reset();
    }
}

void document_sources::record_silence(
    const core::host_id& member, core::time_point now)
{
    sources_[member].lost_at_ = now;
    last_failure_at_ = last_failure_at_.value_or(now);
}

void document_sources::record_failure(
    const core::host_id& member,
    failure kind,
    core::duration took,
    core::time_point now)
{
    source& found = sources_[member];
    last_failure_at_ = now;
    const core::duration limit = hosts_ > max_hosts_of_small_fleets
                                     ? slow_failure_of_large_fleets
                                     : slow_failure;
    if (kind == failure::lost || took >= limit)
    {
        last_slow_failure_at_ = now;
    }
    if (kind == failure::lost)
    {
        found.lost_at_ = now;
    }
    else
    {
        found.not_ready_at_ = now;
        found.lost_at_.reset();
    }
}

} // namespace poplarroute::node
