#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Counts of latencies in buckets whose upper limits grow by a constant ratio,
/// the fourth root of two, from 1 ms to about five hours.
class latency_histogram
{
public:
    /// Buckets in which an upper limit doubles.
    static constexpr std::size_t buckets_per_doubling_ = 4;

    /// Counts one latency.
    /// \param latency a negative one counts as zero.
    void add(core::duration latency);

    /// Adds the counts of another histogram.
    void merge(const latency_histogram& other);

    /// Takes off the counts of an earlier state of this histogram. No count
    /// falls below zero.
    void subtract(const latency_histogram& earlier);

    /// \return the number of latencies.
    std::int64_t count() const;

    /// \param fraction between 0 and 1.
    /// \return the upper limit of the bucket that holds this quantile; zero
    /// without latencies.
    core::duration quantile(double fraction) const;

    /// \param fraction between 0 and 1.
    /// \return the bucket that holds this quantile; 0 without latencies.
    std::size_t quantile_bucket(double fraction) const;

    /// \return the number of latencies in buckets above the given one.
    std::int64_t count_above(std::size_t bucket) const;

    /// \return the counts by bucket, without the zeros at the end.
    const std::vector<std::int64_t>& counts() const
    {
        return counts_;
    }

    /// Builds a histogram from the counts of a message.
    /// \param counts by bucket. Negative ones count as zero, and those past the
    /// last bucket are added to it.
    static latency_histogram from_counts(std::span<const std::int64_t> counts);

    friend bool operator==(const latency_histogram&, const latency_histogram&) =
        default;

private:
    std::vector<std::int64_t> counts_; ///< Without zeros at the end.
};

} // namespace poplarroute::policy
