#include "node/document_sources.hpp"

#include <string>
#include <tuple>

#include "core/digest.hpp"

namespace poplarroute::node
{

namespace
{

/// Time after a failure for which other members are asked first.
constexpr core::duration failure_retention{3'000};

/// Ranks of members; the lowest is asked first.
constexpr int own_zone_rank = 0;
constexpr int unknown_zone_rank = 1;
constexpr int other_zone_rank = 2;
constexpr int leader_rank = 3;

/// Added to the rank of a member that has failed.
constexpr int failed_rank = 4;

} // namespace

int document_sources::rank(
    const core::host_id& member,
    const core::host_id& leader,
    const core::zone_id& own_zone,
    core::time_point now) const
{
    const auto found = sources_.find(member);
    int out = unknown_zone_rank;
    if (found != sources_.end() && !found->second.zone_.empty())
    {
        out = found->second.zone_ == own_zone ? own_zone_rank : other_zone_rank;
    }
    if (member == leader)
    {
        out = leader_rank;
    }
    const bool failed = found != sources_.end() &&
                        found->second.failed_at_.ms_ > 0 &&
                        now - found->second.failed_at_ <= failure_retention;
    return out + (failed ? failed_rank : 0);
}

core::host_id document_sources::choose(
    std::span<const core::host_id> members,
    const core::host_id& leader,
    const core::zone_id& own_zone,
    core::time_point now) const
{
    core::host_id out;
    std::pair<int, std::uint64_t> least{};
    for (const core::host_id& member : members)
    {
        const std::pair order{
            rank(member, leader, own_zone, now),
            core::stable_hash(member + "/" + std::to_string(seed_))};
        if (out.empty() || order < least)
        {
            out = member;
            least = order;
        }
    }
    return out;
}

void document_sources::record_reply(
    const core::host_id& member, const core::zone_id& zone)
{
    sources_[member] = {zone, {}};
}

void document_sources::record_failure(
    const core::host_id& member, core::time_point now)
{
    sources_[member].failed_at_ = now;
}

} // namespace poplarroute::node
