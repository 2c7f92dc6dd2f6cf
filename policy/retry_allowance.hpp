#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// The fleet's bound on sending requests a second time.
struct retry_bound
{
    double ratio_ = 0.2;            ///< Of the requests in the window.
    std::int64_t slack_ = 0;        ///< Besides, over all hosts together.
    core::duration window_{10'000}; ///< Any span of this length counts.
};

/// One process's part of a bound on second sends over all hosts: the requests
/// that it sees pay in, and the slack is divided evenly.
class retry_allowance
{
public:
    /// \param hosts how many processes share the bound in the same way.
    /// \param part the fraction of it that they use together.
    void set_bound(retry_bound bound, std::int64_t hosts, double part);

    /// Notes a request.
    void request(core::time_point now);

    /// \return whether so many second sends may go out; they are noted then.
    bool take(std::int64_t sends, core::time_point now);

private:
    void forget(core::time_point now);

    retry_bound bound_;
    std::int64_t hosts_ = 1;
    double share_ = 0;
    std::deque<core::time_point> requests_;
    std::deque<core::time_point> sends_;
};

} // namespace poplarroute::policy
