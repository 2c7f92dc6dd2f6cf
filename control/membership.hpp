#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::control
{

/// State of a host as the failure detector sees it.
enum class liveness : std::uint8_t
{
    alive,
    suspect, ///< It did not answer a probe; it can still refute the suspicion.
    dead,    ///< It did not refute the suspicion in time.
};

/// State of a host that is gossiped along with probes. Among the updates of one
/// incarnation the one with the highest revision wins; only the host itself
/// increments it, to refute a suspicion or to announce that it is draining.
struct membership_update
{
    core::host_id host_;
    std::uint64_t incarnation_ = 0; ///< Grows with each process of the host.
    std::uint64_t revision_ = 0;
    liveness state_ = liveness::alive;
    bool draining_ = false;
};

/// Probe of a host, and also the answer to one.
struct probe
{
    membership_update sender_;
    std::uint64_t version_ = 0;       ///< The sender's directory version.
    std::int64_t control_age_ms_ = 0; ///< Time since the sender's state was
                                      ///< known to be current.
    core::host_id leader_; ///< Control group's leader that the sender knows.
    std::vector<membership_update> rumours_; ///< Updates to disseminate.
};

/// State of another host as this host knows it.
struct peer_record
{
    core::host_id host_;
    core::zone_id zone_;
    std::string peer_; ///< "ip:port" for peers.
    std::uint64_t incarnation_ = 0;
    std::uint64_t revision_ = 0;
    liveness state_ = liveness::dead;
    bool draining_ = false;
    std::uint64_t version_ = 0;   ///< Its directory version.
    core::time_point changed_at_; ///< Last change of state_.
};

/// Failure detector and gossiped membership of the fleet.
///
/// In each period a host probes one host of its own availability zone and one
/// of another zone, so that the cost per host does not grow with the fleet.
/// Updates are piggybacked on the probes.
/// Source: A. Das, I. Gupta, A. Motivala, "SWIM" (2002), with suspicion but
/// without indirect probes.
class membership
{
public:
    membership(
        core::host_id self,
        core::zone_id zone,
        std::uint64_t incarnation,
        std::uint64_t seed);

    /// Replaces the list of hosts that belong to the fleet.
    void set_hosts(std::span<const peer_record> hosts, core::time_point now);

    /// \return the hosts to probe in this period.
    std::vector<core::host_id> probe_targets();

    /// \param to the receiver. If this host considers it suspect or dead, the
    /// probe tells it, so that it can refute this.
    /// \return the probe, or the answer to one.
    probe make_probe(
        const core::host_id& to,
        std::uint64_t version,
        std::int64_t control_age_ms,
        const core::host_id& leader);

    /// Processes a received probe or answer.
    void heard(const probe& from, core::time_point now);

    /// Records that a probed host did not answer.
    void no_answer(const core::host_id& host, core::time_point now);

    /// Declares hosts dead that have not refuted a suspicion in time.
    void tick(core::time_point now);

    /// Announces that this host accepts no new work.
    void start_draining();

    const std::map<core::host_id, peer_record>& peers() const
    {
        return peers_;
    }

    /// \return the hosts of a zone that may own pools, including this one if
    /// it is in that zone.
    std::vector<core::host_id> serving_hosts_in(
        const core::zone_id& zone) const;

    /// \return the hosts found dead since the last call, with their
    /// incarnation.
    std::vector<membership_update> take_dead_hosts();

private:
    void enqueue_update(const membership_update& update);
    void apply_update(const membership_update& update, core::time_point now);
    void set_state(
        peer_record& peer,
        const membership_update& update,
        core::time_point now);
    core::host_id next_target(bool own_zone);

    core::host_id self_;
    core::zone_id zone_;
    membership_update own_state_;
    std::mt19937_64 random_;
    std::map<core::host_id, peer_record> peers_;

    /// Updates to disseminate, each with its number of transmissions left.
    std::deque<std::pair<membership_update, int>> pending_updates_;

    /// Hosts still to be probed in the current round.
    std::deque<core::host_id> own_zone_round_;
    std::deque<core::host_id> other_zones_round_;
    std::vector<membership_update> dead_hosts_;
};

} // namespace poplarroute::control
