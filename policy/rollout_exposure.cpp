#include "policy/rollout_exposure.hpp"

#include <algorithm>
#include <cmath>

namespace poplarroute::policy
{

namespace
{

/// Smallest block that is reserved ahead of demand, in requests.
constexpr std::int64_t min_block = 16;
/// Blocks that the bound is divided into as it grows.
constexpr std::int64_t blocks_per_bound = 8;
/// Once all of the bound is reserved, an entry waits until the share's part of
/// it has grown by this fraction, so that fast services don't write an entry
/// for each request.
constexpr std::int64_t steps_per_growth = 12;

} // namespace

exposure_ledger::exposure_ledger(
    double share, std::int64_t slack, std::int64_t reserved_before)
    : share_(share),
      slack_(slack),
      reserved_(reserved_before),
      used_(reserved_before)
{
}

void exposure_ledger::set_total(std::int64_t total)
{
    total_ = std::max(total_, total);
}

std::int64_t exposure_ledger::bound() const
{
    return slack_ + static_cast<std::int64_t>(
                        std::floor(share_ * static_cast<double>(total_)));
}

std::int64_t exposure_ledger::available() const
{
    return std::max<std::int64_t>(reserved_ - used_, 0);
}

std::optional<std::int64_t> exposure_ledger::next_reservation() const
{
    const std::int64_t limit = bound();
    const std::int64_t block = std::max(min_block, limit / blocks_per_bound);
    if (available() * 2 >= block)
    {
        return std::nullopt;
    }
    const std::int64_t next = std::min(limit, reserved_ + block);
    const std::int64_t step =
        std::max<std::int64_t>((limit - slack_) / steps_per_growth, 1);
    if (next - reserved_ < step)
    {
        return std::nullopt;
    }
    return next;
}

void exposure_ledger::reserved(std::int64_t reserved)
{
    reserved_ = std::max(reserved_, reserved);
}

std::int64_t exposure_ledger::grant(std::int64_t wanted)
{
    const std::int64_t granted =
        std::clamp<std::int64_t>(wanted, 0, available());
    used_ += granted;
    return granted;
}

void exposure_ledger::set_returned(
    const core::host_id& host, std::uint64_t epoch, std::int64_t returned)
{
    const auto [known, is_first] =
        returned_.try_emplace({host, epoch}, returned);
    if (is_first || returned <= known->second)
    {
        return;
    }
    used_ = std::max<std::int64_t>(used_ - (returned - known->second), 0);
    known->second = returned;
}

void exposure_allotment::grant(
    std::int64_t requests, core::time_point expires_at)
{
    if (requests <= 0)
    {
        return;
    }
    const auto later = std::upper_bound(
        grants_.begin(),
        grants_.end(),
        expires_at,
        [](core::time_point at, const granted_requests& grant)
        {
            return at < grant.expires_at_;
        });
    grants_.insert(later, {requests, expires_at});
}

void exposure_allotment::expire(core::time_point now)
{
    while (!grants_.empty() && grants_.front().expires_at_ <= now)
    {
        returned_ += grants_.front().requests_;
        grants_.pop_front();
    }
}

bool exposure_allotment::take(core::time_point now)
{
    expire(now);
    if (grants_.empty())
    {
        return false;
    }
    --grants_.front().requests_;
    if (grants_.front().requests_ == 0)
    {
        grants_.pop_front();
    }
    return true;
}

std::int64_t exposure_allotment::wanted(
    std::int64_t expected_requests, double share, core::time_point now)
{
    expire(now);
    std::int64_t held = 0;
    for (const granted_requests& grant : grants_)
    {
        held += grant.requests_;
    }
    const auto needed = static_cast<std::int64_t>(
        std::ceil(share * static_cast<double>(expected_requests)));
    return std::max<std::int64_t>(needed - held, 0);
}

std::int64_t exposure_allotment::returned(core::time_point now)
{
    expire(now);
    return returned_;
}

} // namespace poplarroute::policy
