#pragma once

#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Whether an endpoint is left out, as several hosts' experience says.
///
/// Load: cuts and crashes in which only some hosts lose an endpoint. Each host
/// leaves out what failed for itself, for a time that doubles; once a second
/// host agrees and no host has been served since, the endpoint is left out for
/// all of them.
class ejection_record
{
public:
    /// A host's call failed.
    void failed(const core::host_id& host, core::time_point now);

    /// A host's call was served.
    void record_success(const core::host_id& host, core::time_point now);

    /// Leaves the endpoint out for all hosts, whoever is served by it.
    void eject_for_all(core::time_point now);

    /// The same, for a given time.
    void eject_for_all(core::time_point now, core::duration time);

    /// \return whether the host should send nothing to the endpoint.
    bool is_ejected_for(const core::host_id& host, core::time_point now) const;

private:
    struct ejection
    {
        core::time_point since_;
        core::time_point until_;
        core::duration for_;

        void extend(core::time_point now);
    };

    std::map<core::host_id, ejection> by_host_;
    ejection for_all_;
    core::time_point worked_at_;
};

} // namespace poplarroute::policy
