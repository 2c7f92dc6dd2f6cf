#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/stream_scheduler.hpp"

namespace poplarroute::policy
{

/// Streams of one account and priority.
struct stream_class
{
    std::string account_;
    int priority_ = 0;
    core::duration objective_{2'000}; ///< Of the first event.
    double streams_per_second_ = 1;
    std::int64_t rate_ = 1; ///< Of the account.
    /// Fraction of the refused callers that return.
    double returning_ = 0.7;
    /// Returns after this fraction of the stated Retry-After.
    double return_fraction_ = 1;
    core::time_point begins_at_; ///< No stream is requested before.
    /// Multiple of the rate during one second in five; the other four have
    /// less.
    double burst_ = 1;
    /// Longest time that a request takes to reach the scheduler.
    core::duration longest_way_;
};

/// What the callers of a class got.
struct class_result
{
    std::int64_t asked_ = 0;
    std::int64_t on_time_ = 0;
    std::int64_t late_ = 0;
    std::int64_t refused_ = 0;  ///< For good.
    std::int64_t refusals_ = 0; ///< Those of callers that returned included.
    std::int64_t output_ = 0;   ///< Tokens.
    std::vector<std::int64_t> waits_ms_; ///< In the queue, of those placed.

    double served() const
    {
        return asked_ == 0 ? 0
                           : static_cast<double>(on_time_) /
                                 static_cast<double>(asked_);
    }

    std::int64_t wait_quantile(double fraction) const;
};

/// Load on a stream scheduler and its engines, without a network.
struct stream_load
{
    int prefill_engines_ = 4;
    int decode_engines_ = 8;
    std::int64_t slots_ = 12;
    std::int64_t memory_tokens_ = 80'000;
    double slowest_ = 1; ///< Speed of the slowest engine of each stage.
    double fastest_ = 1;
    bool slow_periods_ = false; ///< Each is at times 2.5 times slower.
    /// Whether the scheduler learns the engines' durations and paces. Without,
    /// it is told the same durations for all, and decides as before it knew of
    /// different engines.
    bool reports_speed_ = true;
    /// Whether the scheduler learns of the accounts.
    bool reports_accounts_ = true;
    core::duration length_{40'000};
    std::vector<stream_class> classes_;
};

/// Applies a load. \return the results, one for each class.
std::vector<class_result> apply(const stream_load& load);

/// Prints a result under a name.
void print(const std::string& name, const class_result& result);

} // namespace poplarroute::policy
