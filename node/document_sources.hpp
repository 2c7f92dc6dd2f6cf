#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::node
{

/// Hosts of a larger fleet wait longer for members that do not lead, since all
/// that ask the leader at once would overload it.
inline constexpr std::int64_t max_hosts_of_small_fleets = 100;

/// Chooses the group member from which a host downloads a document.
///
/// Load: hundreds of hosts that start at the same time, and members that are
/// lost, cut off or of an older program. A member of the host's own zone comes
/// first, then one whose zone is not known yet, then one of another zone, and
/// the leader last. Hosts go through members of equal rank in different orders.
/// Several members may be lost at once, and each costs its timeout: after one
/// loss the leader is asked, which is known to live.
///
/// Members that failed come after all others, the one whose failure is the
/// longest ago first, so none is asked again before the others were. Such calls
/// keep a distance, whatever the members reply.
class document_sources
{
public:
    /// The member to ask next.
    struct choice
    {
        core::host_id member_; ///< Empty: there is none.

        /// Earliest time of the call.
        core::time_point not_before_;
    };

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
    choice choose(
        std::span<const core::host_id> members,
        const core::host_id& leader,
        const core::zone_id& own_zone,
        core::time_point now) const;

    /// \param hosts number of hosts that download from the same members.
    void set_fleet_size(std::int64_t hosts)
    {
        hosts_ = hosts;
    }

    /// Records a member's reply.
    /// \param zone its zone; empty: it did not state it.
    void record_reply(const core::host_id& member, const core::zone_id& zone);

    /// Records that a member replied to a call of another kind: it is not lost.
    void record_contact(const core::host_id& member);

    /// Records that a member has announced a newer document: that it did not
    /// have an earlier one says nothing.
    void record_announcement(const core::host_id& member);

    /// Records that a member did not reply to a call of another kind.
    void record_silence(const core::host_id& member, core::time_point now);

    /// Records that a member did not send a part. Others come before it for a
    /// while; for longer if it is lost.
    /// \param took time that the call took.
    void record_failure(
        const core::host_id& member,
        failure kind,
        core::duration took,
        core::time_point now);

private:
    struct source
    {
        core::zone_id zone_; ///< Empty: unknown.
        std::optional<core::time_point> not_ready_at_;
        std::optional<core::time_point> lost_at_;
    };

    /// \return the time from which a member that failed lately may be asked
    /// again; nothing when it did not fail.
    std::optional<core::time_point> retry_time(
        const core::host_id& member, core::time_point now) const;

    /// \return whether members that fail slowly have cost enough time. The
    /// leader is known to live, unless it has failed since.
    bool leader_comes_first(
        const core::host_id& leader, core::time_point now) const;

    int zone_rank(
        const core::host_id& member, const core::zone_id& own_zone) const;

    std::uint64_t seed_;
    std::int64_t hosts_ = 0; ///< 0: unknown.
    std::map<core::host_id, source> sources_;
    std::optional<core::time_point> last_failure_at_; ///< Of any member.

    /// Last failure of any member that cost much time.
    std::optional<core::time_point> last_slow_failure_at_;
};

} // namespace poplarroute::node
