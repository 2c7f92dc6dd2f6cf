#include "policy/latency_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace poplarroute::policy
{

namespace
{

/// Upper limit of the last bucket: 2^24 ms.
constexpr std::size_t max_doublings = 24;
constexpr std::size_t bucket_count =
    max_doublings * latency_histogram::buckets_per_doubling_ + 1;

std::size_t bucket_of(core::duration latency)
{
    if (latency.ms_ <= 1)
    {
        return 0;
    }
    const double bucket = std::ceil(
        std::log2(static_cast<double>(latency.ms_)) *
        latency_histogram::buckets_per_doubling_);
    return std::min(static_cast<std::size_t>(bucket), bucket_count - 1);
}

core::duration upper_limit(std::size_t bucket)
{
    return {static_cast<std::int64_t>(std::ceil(std::exp2(
        static_cast<double>(bucket) /
        latency_histogram::buckets_per_doubling_)))};
}

void drop_zeros_at_end(std::vector<std::int64_t>& counts)
{
    while (!counts.empty() && counts.back() == 0)
    {
        counts.pop_back();
    }
}

} // namespace

void latency_histogram::add(core::duration latency)
{
    const std::size_t bucket = bucket_of(latency);
    if (counts_.size() <= bucket)
    {
        counts_.resize(bucket + 1);
    }
    ++counts_[bucket];
}

void latency_histogram::merge(const latency_histogram& other)
{
    if (counts_.size() < other.counts_.size())
    {
        counts_.resize(other.counts_.size());
    }
    for (std::size_t i = 0; i < other.counts_.size(); ++i)
    {
        counts_[i] += other.counts_[i];
    }
}

void latency_histogram::subtract(const latency_histogram& earlier)
{
    const std::size_t common = std::min(counts_.size(), earlier.counts_.size());
    for (std::size_t i = 0; i < common; ++i)
    {
        counts_[i] = std::max<std::int64_t>(counts_[i] - earlier.counts_[i], 0);
    }
    drop_zeros_at_end(counts_);
}

std::int64_t latency_histogram::count() const
{
    return std::accumulate(counts_.begin(), counts_.end(), std::int64_t{0});
}

std::size_t latency_histogram::quantile_bucket(double fraction) const
{
    const double rank = fraction * static_cast<double>(count());
    std::int64_t below = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i)
    {
        below += counts_[i];
        if (counts_[i] > 0 && static_cast<double>(below) >= rank)
        {
            return i;
        }
    }
    return counts_.empty() ? 0 : counts_.size() - 1;
}

core::duration latency_histogram::quantile(double fraction) const
{
    return counts_.empty() ? core::duration{}
                           : upper_limit(quantile_bucket(fraction));
}

std::int64_t latency_histogram::count_above(std::size_t bucket) const
{
    if (bucket + 1 >= counts_.size())
    {
        return 0;
    }
    return std::accumulate(
        counts_.begin() + static_cast<std::ptrdiff_t>(bucket) + 1,
        counts_.end(),
        std::int64_t{0});
}

latency_histogram latency_histogram::from_counts(
    std::span<const std::int64_t> counts)
{
    latency_histogram histogram;
    histogram.counts_.resize(std::min(counts.size(), bucket_count));
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        histogram.counts_[std::min(i, bucket_count - 1)] +=
            std::max<std::int64_t>(counts[i], 0);
    }
    drop_zeros_at_end(histogram.counts_);
    return histogram;
}

} // namespace poplarroute::policy
