#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// A rate and a burst, in tokens.
struct rate_limit
{
    std::int64_t rate_ = 0;  ///< Tokens a second.
    std::int64_t burst_ = 0; ///< Tokens at once.

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// This host's share of one account's limit.
///
/// It starts empty, so that a restart cannot spend a burst twice. Whole
/// tokens only leave it: by a charge, or as a gift to another host.
/// Source: the token bucket of J. Turner, "New Directions in Communications"
/// (1986).
class token_bucket
{
public:
    explicit token_bucket(core::time_point now);

    /// Takes over a changed share; a smaller burst cuts the level at once.
    void set_limit(rate_limit limit, core::time_point now);

    /// Charges tokens if all of them are there.
    /// \return whether they were.
    bool take(std::int64_t tokens, core::time_point now);

    /// Takes as many tokens as are there, up to a number.
    std::int64_t take_some(std::int64_t most, core::time_point now);

    /// Adds tokens that were charged and not used, or received and left
    /// over. What exceeds the burst is lost.
    void put(std::int64_t tokens, core::time_point now);

    /// \return whole tokens that could be charged now.
    std::int64_t level(core::time_point now);

    /// \return tokens that would still fit under the burst.
    std::int64_t room(core::time_point now);

    /// \return how long until so many tokens have come by the rate alone; a
    /// day when they never fit.
    core::duration wait_for(std::int64_t tokens, core::time_point now);

    const rate_limit& limit() const
    {
        return limit_;
    }

private:
    void refill(core::time_point now);

    rate_limit limit_;
    std::int64_t millitokens_ = 0;
    core::time_point filled_at_;
};

} // namespace poplarroute::policy
