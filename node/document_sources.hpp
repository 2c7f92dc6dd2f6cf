#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

/// Chooses the group member from which a host downloads a document.
///
/// Load: hundreds of hosts that start at the same time, and members that are
/// lost, cut off or of an older program. A member of the host's own zone comes
/// first, then one whose zone is not known yet, then one of another zone, and
/// the leader last. Hosts go through members of equal rank in different orders.
/// Several members may be lost at once, and each costs its timeout: after one
/// loss the leader is asked, which is known to live.
class document_sources
{
public:
    /// Why a member did not send what it was asked for.
    enum class failure
    {
        lost,      ///< It did not reply.
        not_ready, ///< It does not have the document, or a damaged one.
    };

    /// \param seed must differ between hosts.
    explicit document_sources(std::uint64_t seed = 0) : seed_(seed) {}

    /// \param members that may be asked, the leader among them.
    /// \param own_zone the host's zone.
    /// \return the member to ask next; empty if there is none.
    core::host_id choose(
        std::span<const core::host_id> members,
        const core::host_id& leader,
        const core::zone_id& own_zone,
        core::time_point now) const;

    /// Records a member's reply.
    /// \param zone its zone; empty: it did not state it.
    void record_reply(const core::host_id& member, const core::zone_id& zone);

    /// Records that a member did not send a part. Others come before it for a
    /// while; for longer if it is lost.
    void record_failure(
        const core::host_id& member, failure kind, core::time_point now);

private:
    struct source
    {
        core::zone_id zone_; ///< Empty: unknown.
        std::optional<core::time_point> not_ready_at_;
        std::optional<core::time_point> lost_at_;
    };

    int rank(
        const core::host_id& member,
        const core::host_id& leader,
        const core::zone_id& own_zone,
        core::time_point now) const;

    std::uint64_t seed_;
    std::map<core::host_id, source> sources_;
    std::optional<core::time_point> last_loss_at_; ///< Of any member.
};

} // namespace poplarroute::node
