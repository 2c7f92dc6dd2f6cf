#pragma once

#include <cstdint>
#include <map>
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
class document_sources
{
public:
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

    /// Records that a member does not have a document, or did not reply. Others
    /// come before it for a while.
    void record_failure(const core::host_id& member, core::time_point now);

private:
    struct source
    {
        core::zone_id zone_; ///< Empty: unknown.
        core::time_point failed_at_;
    };

    int rank(
        const core::host_id& member,
        const core::host_id& leader,
        const core::zone_id& own_zone,
        core::time_point now) const;

    std::uint64_t seed_;
    std::map<core::host_id, source> sources_;
};

} // namespace poplarroute::node
