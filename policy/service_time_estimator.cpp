#include "policy/service_time_estimator.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t permille_scale = 1'000;

/// A new sample's weight in a moving average is one divided by this number.
constexpr std::int64_t smoothing_divisor = 8;

constexpr std::int64_t transfer_us_per_token = 5;

/// Duration of a decode step, which generates one token.
constexpr core::duration decode_step{30};

/// Prefills of fewer computed tokens are not evaluated.
constexpr std::int64_t min_sample_tokens = 64;

/// A cold engine takes this many times as long as the pool's average.
constexpr std::int64_t cold_slowdown_factor = 5;

/// Faster prefills and shorter outputs are not checked for a cold engine.
constexpr std::int64_t min_cold_prefill_ms = 50;
constexpr std::int64_t min_cold_output_tokens = 8;

} // namespace

void service_time_estimator::update_average(
    std::int64_t& smoothed, std::int64_t sample)
{
    smoothed += (sample - smoothed) / smoothing_divisor;
}

bool service_time_estimator::prefill_looks_cold(const ending& outcome) const
{
    return outcome.prefilled_tokens_ >= min_sample_tokens &&
           outcome.prefill_.ms_ > min_cold_prefill_ms &&
           outcome.prefill_.ms_ * us_per_ms > outcome.prefilled_tokens_ *
                                                  prefill_us_per_token_ *
                                                  cold_slowdown_factor;
}

bool service_time_estimator::decode_looks_cold(const ending& outcome) const
{
    return outcome.output_tokens_ >= min_cold_output_tokens &&
           outcome.decode_.ms_ * us_per_ms > outcome.output_tokens_ *
                                                 decode_us_per_token_ *
                                                 cold_slowdown_factor;
}

void service_time_estimator::update(
    const pool_request& request, const ending& outcome)
{
    if (outcome.prefilled_tokens_ >= min_sample_tokens)
    {
        update_average(
            prefill_us_per_token_,
            outcome.prefill_.ms_ * us_per_ms / outcome.prefilled_tokens_);
    }
    if (outcome.output_tokens_ > 1)
    {
        update_average(
            decode_us_per_token_,
            outcome.decode_.ms_ * us_per_ms / (outcome.output_tokens_ - 1));
    }
    if (outcome.completed_ && request.output_tokens_ > 0)
    {
        update_average(
            output_permille_,
            outcome.output_tokens_ * permille_scale / request.output_tokens_);
    }
}

core::duration service_time_estimator::prefill_time(std::int64_t tokens) const
{
    return {tokens * prefill_us_per_token_ / us_per_ms};
}

core::duration service_time_estimator::decode_time(
    std::int64_t output_tokens) const
{
    return {output_tokens * decode_us_per_token_ / us_per_ms};
}

core::duration service_time_estimator::transfer_time(
    std::int64_t prompt_tokens) const
{
    return core::duration{prompt_tokens * transfer_us_per_token / us_per_ms} +
           decode_step;
}

std::int64_t service_time_estimator::expected_output_tokens(
    std::int64_t max_output_tokens) const
{
    return std::max<std::int64_t>(
        max_output_tokens * output_permille_ / permille_scale, 1);
}

} // namespace poplarroute::policy
