#include "node/document_sources.hpp"

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

/// The same for a member that did not reply. Trying it again costs a timeout.
constexpr core::duration lost_retention{30'000};

/// Time after a loss in which the leader is asked first. It covers the transfer
/// of a document.
constexpr core::duration leader_first_period{3'000};

/// Ranks of members; the lowest is asked first.
constexpr int own_zone_rank = 0;
constexpr int unknown_zone_rank = 1;
constexpr int other_zone_rank = 2;
constexpr int leader_rank = 3;

/// Added to the rank of a member that has failed.
constexpr int not_ready_rank = 4;
constexpr int lost_rank = 8;

bool is_within(
    const std::optional<core::time_point>& event,
    core::duration period,
    core::time_point now)
{
    return event && now - *event <= period;
}

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
        out = is_within(last_loss_at_, leader_first_period, now)
                  ? own_zone_rank - 1
                  : leader_rank;
    }
    if (found == sources_.end())
    {
        return out;
    }
    if (is_within(found->second.lost_at_, lost_retention, now))
    {
        return out + lost_rank;
    }
    return is_within(found->second.not_ready_at_, not_ready_retention, now)
               ? out + not_ready_rank
               : out;
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
    sources_[member] = {zone, std::nullopt, std::nullopt};
}

void document_sources::record_failure(
    const core::host_id& member, failure kind, core::time_point now)
{
    source& found = sources_[member];
    if (kind == failure::lost)
    {
        found.lost_at_ = now;
        last_loss_at_ = now;
    }
    else
    {
        found.not_ready_at_ = now;
        found.lost_at_.reset();
    }
}

} // namespace poplarroute::node
