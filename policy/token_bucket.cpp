#include "policy/token_bucket.hpp"

#include <algorithm>

#include "core/invariant.hpp"

namespace poplarroute::policy
{

namespace
{

constexpr std::int64_t milli = 1'000;
constexpr core::duration never{24LL * 3'600'000};

} // namespace

token_bucket::token_bucket(core::time_point now) : filled_at_(now) {}

void token_bucket::refill(core::time_point now)
{
    const std::int64_t passed =
        std::max<std::int64_t>((now - filled_at_).ms_, 0);
    filled_at_ = std::max(filled_at_, now);
    // A rate of r tokens a second is r millitokens a millisecond.
    const std::int64_t full = limit_.burst_ * milli;
    const std::int64_t enough = limit_.rate_ > 0 ? full / limit_.rate_ + 1 : 0;
    millitokens_ += std::min(passed, enough) * limit_.rate_;
    millitokens_ = std::min(millitokens_, full);
    core::check_invariant(
        millitokens_ >= 0 && millitokens_ <= full,
        "a bucket holds between nothing and its burst");
}

void token_bucket::set_limit(rate_limit limit, core::time_point now)
{
    refill(now);
    limit_ = limit;
    millitokens_ = std::min(millitokens_, limit_.burst_ * milli);
}

bool token_bucket::take(std::int64_t tokens, core::time_point now)
{
    refill(now);
    if (millitokens_ < tokens * milli)
    {
        return false;
    }
    millitokens_ -= tokens * milli;
    return true;
}

std::int64_t token_bucket::take_some(std::int64_t most, core::time_point now)
{
    const std::int64_t taken = std::clamp<std::int64_t>(most, 0, level(now));
    millitokens_ -= taken * milli;
    return taken;
}

void token_bucket::put(std::int64_t tokens, core::time_point now)
{
    refill(now);
    millitokens_ = std::min(
        millitokens_ + std::max<std::int64_t>(tokens, 0) * milli,
        limit_.burst_ * milli);
}

std::int64_t token_bucket::level(core::time_point now)
{
    refill(now);
    return millitokens_ / milli;
}

std::int64_t token_bucket::room(core::time_point now)
{
    refill(now);
    return (limit_.burst_ * milli - millitokens_) / milli;
}

core::duration token_bucket::wait_for(std::int64_t tokens, core::time_point now)
{
    refill(now);
    const std::int64_t missing = tokens * milli - millitokens_;
    if (missing <= 0)
    {
        return {0};
    }
    if (limit_.rate_ == 0)
    {
        return never;
    }
    return {(missing + limit_.rate_ - 1) / limit_.rate_};
}

} // namespace poplarroute::policy
