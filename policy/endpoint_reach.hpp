#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Which endpoints of a service this host can reach, by what its connections
/// showed last.
///
/// An endpoint that accepts a connection, or answers on one, is reached however
/// long it is silent: only a connection that cannot be made counts against it.
class endpoint_reach
{
public:
    explicit endpoint_reach(std::uint64_t seed = 0) : random_(seed) {}

    /// Records that an endpoint answered or accepted a connection.
    void record_reached(const core::endpoint_id& name, core::time_point now);

    /// Records that no connection could be made.
    void record_unreached(const core::endpoint_id& name, core::time_point now);

    /// Records a connection that broke or stayed silent, which shows nothing,
    /// but is a reason to probe.
    void record_doubt(core::time_point now);

    /// \return the endpoints that were not reached, a short while ago.
    std::set<core::endpoint_id> unreached(core::time_point now) const;

    /// \param listed the service's usable endpoints.
    /// \return whether this host has lost the service: it reached none for a
    /// while, and not one of a sample.
    bool is_lost(
        const std::set<core::endpoint_id>& listed, core::time_point now) const;

    /// \return whether endpoints have to be probed.
    bool needs_probes(core::time_point now) const;

    /// \return the endpoints to probe now, a small sample at random: those
    /// first of which least is known.
    std::vector<core::endpoint_id> choose_probes(
        const std::set<core::endpoint_id>& listed, core::time_point now);

    /// Forgets endpoints that are not listed any more.
    void keep_only(const std::set<core::endpoint_id>& listed);

private:
    struct state
    {
        core::time_point reached_at_;
        core::time_point unreached_at_;

        bool is_unreached() const
        {
            return unreached_at_ > reached_at_;
        }
    };

    std::map<core::endpoint_id, state> endpoints_;
    core::time_point doubted_at_;
    std::minstd_rand random_;
};

} // namespace poplarroute::policy
