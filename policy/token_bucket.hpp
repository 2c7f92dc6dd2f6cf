#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// A limit on the consumption of tokens.
struct rate_limit
{
    std::int64_t rate_ = 0;  ///< Refill rate, tokens a second.
    std::int64_t burst_ = 0; ///< Maximum level, tokens.

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// A token bucket that holds this host's share of one account's limit.
///
/// It starts empty, so that a burst cannot be spent again after a restart.
/// Tokens are taken only as whole numbers, by a charge or by a transfer to
/// another host.
/// Source: the token bucket of J. Turner, "New Directions in Communications"
/// (1986).
class token_bucket
{
public:
    explicit token_bucket(core::time_point now);

    /// Sets the share; a smaller burst limits the level at once.
    void set_limit(rate_limit limit, core::time_point now);

    /// Takes tokens if the level covers all of them.
    /// \return whether they were taken.
    bool take(std::int64_t tokens, core::time_point now);

    /// Takes as many tokens as the level covers, up to a maximum.
    /// \return the number of tokens taken.
    std::int64_t take_up_to(std::int64_t max_tokens, core::time_point now);

    /// Adds tokens that were charged and not used, or that are left of a
    /// transfer. Tokens beyond the burst are discarded.
    void put(std::int64_t tokens, core::time_point now);

    /// \return number of whole tokens that can be taken now.
    std::int64_t level(core::time_point now);

    /// \return number of whole tokens between the level and the burst.
    std::int64_t headroom(core::time_point now);

    /// \return how long until the rate alone raises the level to this
    /// many tokens; a day if the rate is zero.
    core::duration wait_for(std::int64_t tokens, core::time_point now);

    const rate_limit& limit() const
    {
        return limit_;
    }

private:
    void refill(core::time_point now);

    rate_limit limit_;
    std::int64_t millitokens_ = 0;
    core::time_point refilled_at_;
};

} // namespace poplarroute::policy
