#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Expected time of one unit of work: a call, or a token.
struct work_time
{
    double ms_ = 0;
    double error_ms_ = 0; ///< Standard error.
};

/// Time that work takes at one endpoint, in one stage.
///
/// Load: endpoints that differ by a constant factor of up to 2.5 and that share
/// their machines with others, so that each is at times 2.5 times slower for
/// some hundred milliseconds. A host observes one of them as rarely as every
/// ten seconds or as often as many times per second.
///
/// Durations are divided by the pace at their time, so that they show what is
/// lasting about the endpoint, whether its reported pace contains that or not.
/// Older durations count less. What is known of all endpoints fills in for what
/// is not known of this one.
class endpoint_speed
{
public:
    /// Records how long a unit of work took that ended now.
    /// \param span time over which it was measured; over a long one, the mean
    /// pace counts instead of the present one.
    void record(
        double ms_per_unit, core::time_point now, core::duration span = {});

    /// Records a reported pace, in percent of the usual time.
    void record_pace(std::int64_t percent, core::time_point now);

    /// \return the expected pace now; 1: as usual. A report is worth less the
    /// older it is; the mean of the reports replaces it. 1 without reports.
    /// \param span the mean over so long a time from now on.
    double pace(core::time_point now, core::duration span = {}) const;

    /// \return whether a report is recent enough to show the present pace.
    bool is_pace_fresh(core::time_point now) const;

    /// \return the mean time of a unit at the usual pace, and its standard
    /// error; nothing until a duration was recorded.
    std::optional<work_time> usual() const;

    /// \param common_ms usual time of a unit at all endpoints of the service.
    /// \return the expected time of a unit at the present pace.
    work_time expected(double common_ms, core::time_point now) const;

    /// \return how many times the common time a unit takes here at the present
    /// pace. What is lasting counts only when it differs by more than its
    /// uncertainty explains; 1 for an endpoint like the others.
    /// \param span time that the work takes.
    double factor(
        double common_ms, core::time_point now, core::duration span = {}) const;

private:
    double weight_at(core::time_point now) const;
    double mean_pace(core::time_point now) const;

    double weight_ = 0; ///< Sum of the durations' weights at recorded_at_.
    double mean_ms_ = 0;
    double squares_ = 0; ///< Weighted sum of squared deviations.
    core::time_point recorded_at_;
    double last_pace_ = 1;
    double mean_pace_ = 1;
    double pace_weight_ = 0;
    std::optional<core::time_point> pace_reported_at_;
};

} // namespace poplarroute::policy
