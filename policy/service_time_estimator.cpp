#include "policy/service_time_estimator.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t permille = 1'000;
constexpr std::int64_t smoothing = 8;
constexpr std::int64_t transfer_us_per_token = 5;
constexpr core::duration one_step{30};
constexpr std::int64_t least_sample_tokens = 64;

/// A cold engine takes this many times as long as the pool's others.
constexpr std::int64_t cold_factor = 5;

constexpr std::int64_t least_cold_ms = 50;
constexpr std::int64_t least_cold_output = 8;

} // namespace

void estimates::blend(std::int64_t& smoothed, std::int64_t sample)
{
    smoothed += (sample - smoothed) / smoothing;
}

bool estimates::prefill_looks_cold(const ending& how) const
{
    return how.prefilled_tokens_ >= least_sample_tokens &&
           how.prefill_.ms_ > least_cold_ms &&
           how.prefill_.ms_ * us_per_ms >
               how.prefilled_tokens_ * prefill_us_per_token_ * cold_factor;
}

bool estimates::decode_looks_cold(const ending& how) const
{
    return how.output_tokens_ >= least_cold_output &&
           how.decode_.ms_ * us_per_ms >
               how.output_tokens_ * decode_us_per_token_ * cold_factor;
}

void estimates::learn(const want& item, const ending& how)
{
    if (how.prefilled_tokens_ >= least_sample_tokens)
    {
        blend(
            prefill_us_per_token_,
            how.prefill_.ms_ * us_per_ms / how.prefilled_tokens_);
    }
    if (how.output_tokens_ > 1)
    {
        blend(
            decode_us_per_token_,
            how.decode_.ms_ * us_per_ms / (how.output_tokens_ - 1));
    }
    if (how.completed_ && item.output_tokens_ > 0)
    {
        blend(
            output_permille_,
            how.output_tokens_ * permille / item.output_tokens_);
    }
}

core::duration estimates::prefill(std::int64_t tokens) const
{
    return {tokens * prefill_us_per_token_ / us_per_ms};
}

core::duration estimates::decode(std::int64_t output_tokens) const
{
    return {output_tokens * decode_us_per_token_ / us_per_ms};
}

core::duration estimates::hand_over(std::int64_t prompt_tokens) const
{
    return core::duration{prompt_tokens * transfer_us_per_token / us_per_ms} +
           one_step;
}

std::int64_t estimates::likely_output(std::int64_t most) const
{
    return std::max<std::int64_t>(most * output_permille_ / permille, 1);
}

} // namespace poplarroute::policy
