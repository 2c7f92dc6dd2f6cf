#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Fleet-wide bound on the number of retries.
struct retry_bound
{
    double ratio_ = 0.2;            ///< Retries per request in the window.
    std::int64_t slack_ = 0;        ///< Further retries, of all hosts together.
    core::duration window_{10'000}; ///< The bound holds in any such window.
};

/// One process's share of the fleet-wide bound on retries. Each request that
/// the process sees raises its allowance, and the slack is divided evenly.
class retry_allowance
{
public:
    /// \param hosts number of processes that share the slack evenly; nothing
    /// when unknown. The process then has no part of it.
    /// \param share fraction of the bound that they may use together.
    void set_bound(
        retry_bound bound, std::optional<std::int64_t> hosts, double share);

    /// Lets the slack accrue evenly over one window. What an earlier process or
    /// leader took of it within the window is not known here.
    /// \param begin when this process began to grant retries.
    void accrue_from(core::time_point begin)
    {
        accrues_from_ = begin;
    }

    /// Records a request.
    void request(core::time_point now);

    /// Takes a number of retries from the allowance if it suffices.
    /// \return whether they were taken.
    bool take(std::int64_t retries, core::time_point now);

private:
    void expire_old(core::time_point now);
    double own_slack(core::time_point now) const;

    retry_bound bound_;
    std::optional<std::int64_t> hosts_;
    double share_ = 0;
    std::optional<core::time_point> accrues_from_;
    std::deque<core::time_point> requests_;
    std::deque<core::time_point> retries_;
};

} // namespace poplarroute::policy
