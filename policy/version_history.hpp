#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// The versions that an endpoint list has shown of each service, and when last.
/// While a service had only one, any of its streams began at that one.
class version_history
{
public:
    /// \param is_first_start whether no stream can have begun before, since the
    /// whole system starts for the first time.
    explicit version_history(bool is_first_start = false)
        : is_first_start_(is_first_start)
    {
    }

    /// Records a list.
    /// \param listed the versions of each service's endpoints.
    /// \param read_at when the list was read. A long time since the last one
    /// may hide versions that came and went, so that the history begins anew.
    void observe(
        const std::map<core::service_id, std::set<std::string>>& listed,
        core::time_point read_at);

    /// \param since start of the time that counts.
    /// \param until its end. A list that was read before may lack a version
    /// that other hosts have used since.
    /// \return the one version that a service had in all of that time; nothing
    /// when it had several, or none, or the history is shorter.
    std::optional<std::string> only_version(
        const core::service_id& service,
        core::time_point since,
        core::time_point until) const;

    void expire(core::time_point before);

    /// What a history contains, for the process that goes on with it.
    struct contents
    {
        core::time_point began_at_;
        core::time_point read_at_; ///< When the last list was read.
        std::map<core::service_id, std::map<std::string, core::time_point>>
            last_listed_;
    };

    /// \return nothing before the first list.
    std::optional<contents> known() const;

    /// Replaces the history by one that another process observed.
    void adopt(contents other);

private:
    bool is_first_start_;
    std::optional<contents> known_;
};

} // namespace poplarroute::policy
