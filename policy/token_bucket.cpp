#include "policy/token_bucket.hpp"

#include <algorithm>

#include "core/invariant.hpp"

namespace poplarroute::policy
{

namespace
{

constexpr std::int64_t millitokens_per_token = 1'000;

/// Returned by wait_for() if the rate is zero, so that the level never rises.
constexpr core::duration zero_rate_wait{24LL * 3'600'000};

} // namespace

token_bucket::token_bucket(core::time_point now) : refilled_at_(now) {}

void token_bucket::refill(core::time_point now)
{
    const std::int64_t passed =
        std::max<std::int64_t>((now - refilled_at_).ms_, 0);
    refilled_at_ = std::max(refilled_at_, now);
    // A rate of r tokens a second is r millitokens a millisecond.
    const std::int64_t full = limit_.burst_ * millitokens_per_token;
    const std::int64_t ms_to_full =
        limit_.rate_ > 0 ? full / limit_.rate_ + 1 : 0;
    millitokens_ += std::min(passed, ms_to_full) * limit_.rate_;
    millitokens_ = std::min(millitokens_, full);
    core::check_invariant(
        millitokens_ >= 0 && millitokens_ <= full,
        "a token bucket's level is between zero and its burst");
}

void token_bucket::set_limit(rate_limit limit, core::time_point now)
{
    refill(now);
    limit_ = limit;
    millitokens_ =
        std::min(millitokens_, limit_.burst_ * millitokens_per_token);
}

bool token_bucket::take(std::int64_t tokens, core::time_point now)
{
    refill(now);
    if (millitokens_ < tokens * millitokens_per_token)
    {
        return false;
    }
    millitokens_ -= tokens * millitokens_per_token;
    return true;
}

std::int64_t token_bucket::take_up_to(
    std::int64_t max_tokens, core::time_point now)
{
    const std::int64_t taken =
        std::clamp<std::int64_t>(max_tokens, 0, level(now));
    millitokens_ -= taken * millitokens_per_token;
    return taken;
}

void token_bucket::put(std::int64_t tokens, core::time_point now)
{
    refill(now);
    millitokens_ = std::min(
        millitokens_ +
            std::max<std::int64_t>(tokens, 0) * millitokens_per_token,
        limit_.burst_ * millitokens_per_token);
}

std::int64_t token_bucket::level(core::time_point now)
{
    refill(now);
    return millitokens_ / millitokens_per_token;
}

std::int64_t token_bucket::headroom(core::time_point now)
{
    refill(now);
    return (limit_.burst_ * millitokens_per_token - millitokens_) /
           millitokens_per_token;
}

core::duration token_bucket::wait_for(std::int64_t tokens, core::time_point now)
{
    refill(now);
    const std::int64_t missing = tokens * millitokens_per_token - millitokens_;
    if (missing <= 0)
    {
        return {0};
    }
    if (limit_.rate_ == 0)
    {
        return zero_rate_wait;
    }
    return {(missing + limit_.rate_ - 1) / limit_.rate_};
}

} // namespace poplarroute::policy
