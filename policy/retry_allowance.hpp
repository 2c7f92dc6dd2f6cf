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

    /// Records a request.
    void request(core::time_point now);

    /// Takes a number of retries from the allowance if it suffices.
    /// \return whether they were taken.
    bool take(std::int64_t retries, core::time_point now);

private:
    void expire_old(core::time_point now);

    retry_bound bound_;
    std::optional<std::int64_t> hosts_;
    double share_ = 0;
    std::deque<core::time_point> requests_;
    std::deque<core::time_point> retries_;
};

} // namespace poplarroute::policy
