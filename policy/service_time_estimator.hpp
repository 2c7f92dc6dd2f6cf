#pragma once

#include <cstdint>

#include "core/clock.hpp"
#include "policy/pool_types.hpp"

namespace poplarroute::policy
{

/// What a pool's requests have lately taken, learned from how they ended.
class estimates
{
public:
    /// Learns from a completed request.
    void learn(const want& item, const ending& how);

    /// \return whether a prefill took as long as a cold engine's would.
    bool prefill_looks_cold(const ending& how) const;

    /// \return whether a decode took as long as a cold engine's would.
    bool decode_looks_cold(const ending& how) const;

    /// \return computing time for so many prompt tokens.
    core::duration prefill(std::int64_t tokens) const;

    /// \return time from the first to the last token.
    core::duration decode(std::int64_t output_tokens) const;

    /// \return time for the memory's way to the decode side and one step.
    core::duration hand_over(std::int64_t prompt_tokens) const;

    /// \return tokens a request is likely to generate of those it may.
    std::int64_t likely_output(std::int64_t most) const;

private:
    static void blend(std::int64_t& smoothed, std::int64_t sample);

    std::int64_t prefill_us_per_token_ = 50;
    std::int64_t decode_us_per_token_ = 30'000;
    std::int64_t output_permille_ = 700;
};

} // namespace poplarroute::policy
