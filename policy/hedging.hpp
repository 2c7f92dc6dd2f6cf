#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Why a call gets no second run.
enum class hedge_refusal
{
    off,             ///< The service allows no extra runs.
    unknown_latency, ///< Too few calls have been answered to tell a slow one.
    overload,        ///< Calls queue: extra runs would add to the load.
    no_room,         ///< No other endpoint is known to have room.
    over_share,      ///< The service's share of extra runs is used up.
};

/// \return the reason's stable name, for logs and metrics.
const char* name_of(hedge_refusal reason);

/// Decides when a call that may be repeated is sent to a second endpoint, whose
/// answer is taken if it comes first.
///
/// Load: single endpoints that are slow or silent for some hundred milliseconds
/// while others have room. A few slow answers then determine the highest
/// quantiles (J. Dean and L. Barroso, "The Tail at Scale", 2013). When many
/// calls are slow, the cause is load or a whole zone, and no second run is
/// sent.
///
/// Each process earns extra runs with the calls that it sends and starts with
/// none, so all processes together stay within the share, whatever restarts.
class hedging
{
public:
    /// \param share extra runs per call; 0: none.
    void set_share(double share);

    /// Records that a call is sent for the first time.
    void record_call();

    /// Records how long a call took from its first send to its answer, or that
    /// it got none in this time.
    void record_latency(core::duration latency);

    /// \return the time after which a call counts as slow; nothing while it is
    /// unknown or extra runs are off.
    std::optional<core::duration> delay() const;

    /// Takes one extra run for a call that has become slow.
    /// \return nothing if the run may be sent, else why not.
    std::optional<hedge_refusal> take();

    /// Returns an extra run that was taken but not sent.
    void give_back();

private:
    void update_quantile();

    double share_ = 0;
    double earned_ = 0; ///< Extra runs that may be sent now.
    std::deque<core::duration> latencies_;
    std::size_t unsorted_latencies_ = 0; ///< Since the last update of delay_.
    std::optional<core::duration> delay_;
    core::duration median_;
    /// Lowest median so far, which rises slowly towards the present one.
    double usual_median_ms_ = 0;
};

} // namespace poplarroute::policy
