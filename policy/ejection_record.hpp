#pragma once

#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Ejections of one endpoint, by the results of several hosts' calls.
///
/// Load: network partitions and crashes in which only some hosts lose an
/// endpoint. A failed call ejects the endpoint for that host, for a time that
/// doubles. Once calls of a second host fail and no host's call has succeeded
/// since, the endpoint is ejected for all hosts.
class ejection_record
{
public:
    /// Records that a host's call failed.
    void record_failure(const core::host_id& host, core::time_point now);

    /// Records that a host's call succeeded. This ends the host's ejection and
    /// that for all hosts.
    void record_success(const core::host_id& host, core::time_point now);

    /// Ejects the endpoint for all hosts, including those whose calls
    /// succeeded.
    void eject_for_all(core::time_point now);

    /// Ejects the endpoint for all hosts for at least the given time.
    void eject_for_all(core::time_point now, core::duration time);

    /// \return whether the host should send nothing to the endpoint.
    bool is_ejected_for(const core::host_id& host, core::time_point now) const;

private:
    struct ejection
    {
        core::time_point since_;
        core::time_point until_;
        core::duration length_;

        /// Starts a new ejection, twice as long as the last, if none is active.
        void extend(core::time_point now);
    };

    std::map<core::host_id, ejection> by_host_;
    ejection for_all_;
    core::time_point succeeded_at_;
};

} // namespace poplarroute::policy
