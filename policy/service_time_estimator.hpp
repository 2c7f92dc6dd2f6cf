#pragma once

#include <cstdint>

#include "core/clock.hpp"
#include "policy/pool_types.hpp"

namespace poplarroute::policy
{

/// Estimates how long the requests of a pool take, as moving averages over
/// ended requests.
class service_time_estimator
{
public:
    /// Updates the averages from an ended request.
    void update(const pool_request& request, const ending& outcome);

    /// \return whether the prefill took as long as at a cold engine.
    bool prefill_looks_cold(const ending& outcome) const;

    /// \return whether decoding took as long as at a cold engine.
    bool decode_looks_cold(const ending& outcome) const;

    /// \return time to compute this many prompt tokens.
    core::duration prefill_time(std::int64_t tokens) const;

    /// \return time from the first to the last token.
    core::duration decode_time(std::int64_t output_tokens) const;

    /// \return time to transfer a prompt's KV cache to the decode endpoint and
    /// generate the first token there.
    core::duration transfer_time(std::int64_t prompt_tokens) const;

    /// \return tokens that a request is likely to generate, given its maximum.
    std::int64_t expected_output_tokens(std::int64_t max_output_tokens) const;

private:
    /// Moves an exponential moving average towards a sample.
    static void update_average(std::int64_t& smoothed, std::int64_t sample);

    std::int64_t prefill_us_per_token_ = 50;
    std::int64_t decode_us_per_token_ = 30'000;
    /// Generated tokens per thousand of a request's maximum.
    std::int64_t output_permille_ = 700;
};

} // namespace poplarroute::policy
