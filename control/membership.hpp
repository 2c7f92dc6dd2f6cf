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

enum class liveness : std::uint8_t
{
    alive,
    suspect, ///< It did not answer; it may still say that it is there.
    dead,
};

/// News of a host, spread along with probes. Among news of one incarnation
/// the higher revision wins; only the host itself raises it, to deny a
/// suspicion.
struct rumour
{
    core::host_id host_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t revision_ = 0;
    liveness state_ = liveness::alive;
    bool draining_ = false;
};

/// A question whether a host is there, and its answer.
struct probe
{
    rumour sender_;
    std::uint64_t version_ = 0;       ///< The sender's directory version.
    std::int64_t control_age_ms_ = 0; ///< Since the sender's state was known
                                      ///< to be current.
    core::host_id leader_;
    std::vector<rumour> rumours_;
};

/// What a host knows of another.
struct peer_record
{
    core::host_id host_;
    core::zone_id zone_;
    std::string peer_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t revision_ = 0;
    liveness state_ = liveness::dead;
    bool draining_ = false;
    std::uint64_t version_ = 0;
    core::time_point changed_at_;
};

/// Who is there, kept by probing a few hosts at a time.
///
/// Each period a host probes one host of its own availability zone and one of
/// another, so its cost does not grow with the fleet; news travels with the
/// probes.
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

    /// Takes over which hosts there should be.
    void set_hosts(std::span<const peer_record> hosts, core::time_point now);

    /// \return whom to probe in this period.
    std::vector<core::host_id> targets();

    /// \param to the host it goes to, which is told of any doubt about it.
    /// \return what to send with a probe or an answer.
    probe make_probe(
        const core::host_id& to,
        std::uint64_t version,
        std::int64_t control_age_ms,
        const core::host_id& leader);

    /// Takes in a probe or an answer.
    void heard(const probe& from, core::time_point now);

    /// Notes that a probed host did not answer.
    void no_answer(const core::host_id& host, core::time_point now);

    /// Turns suspicions that nobody denied into deaths.
    void tick(core::time_point now);

    /// Says that this host takes no new work any more.
    void start_draining();

    const std::map<core::host_id, peer_record>& peers() const
    {
        return peers_;
    }

    /// \return hosts of a zone that may own pools, this one included if it
    /// is of that zone.
    std::vector<core::host_id> serving_in(const core::zone_id& zone) const;

    /// \return hosts that died since the last call, with their incarnation.
    std::vector<rumour> take_deaths();

private:
    void spread(const rumour& news);
    void take(const rumour& news, core::time_point now);
    void set_state(peer_record& of, const rumour& news, core::time_point now);
    core::host_id next_target(bool own_zone);

    core::host_id self_;
    core::zone_id zone_;
    rumour own_;
    std::mt19937_64 random_;
    std::map<core::host_id, peer_record> peers_;
    std::deque<std::pair<rumour, int>> news_;
    std::deque<core::host_id> zone_round_;
    std::deque<core::host_id> other_round_;
    std::vector<rumour> deaths_;
};

} // namespace poplarroute::control
