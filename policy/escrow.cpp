#include "policy/escrow.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr core::duration measure_every{500};

/// Gifts for one request arrive well within this time.
constexpr core::duration longest_gathering{100};
constexpr std::int64_t ms_per_second = 1'000;

/// A giver keeps what its own callers use in this part of a second.
constexpr std::int64_t kept_fraction = 4;

} // namespace

std::int64_t gift::usable(core::time_point now) const
{
    const std::int64_t passed = (now - asked_at_).ms_ + 1;
    const std::int64_t refilled =
        (giver_rate_ * passed + ms_per_second - 1) / ms_per_second;
    return std::max<std::int64_t>(tokens_ - refilled, 0);
}

escrow::entry& escrow::find(
    const core::account_id& account, core::time_point now)
{
    return entries_.try_emplace(account, now).first->second;
}

void escrow::measure(entry& of, std::int64_t used, core::time_point now)
{
    of.used_ += used;
    const core::duration passed = now - of.measured_at_;
    if (passed < measure_every)
    {
        return;
    }
    const std::int64_t rate = of.used_ * ms_per_second / passed.ms_;
    of.use_rate_ = (of.use_rate_ + rate) / 2;
    of.used_ = 0;
    of.measured_at_ = now;
}

void escrow::set_share(
    const core::account_id& account, rate_limit share, core::time_point now)
{
    find(account, now).bucket_.set_limit(share, now);
}

void escrow::keep_only(const std::map<core::account_id, rate_limit>& shares)
{
    std::erase_if(
        entries_,
        [&](const auto& item)
        {
            return shares.count(item.first) == 0;
        });
}

std::int64_t escrow::charge(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    entry& of = find(account, now);
    if (of.bucket_.take(tokens, now))
    {
        measure(of, tokens, now);
        return 0;
    }
    // What could not be paid is no use: a host that fails to pay must not
    // look like one that needs its tokens itself.
    measure(of, 0, now);
    return tokens - of.bucket_.level(now);
}

std::int64_t escrow::give(
    const core::account_id& account,
    std::int64_t needed,
    std::int64_t wanted,
    core::time_point now)
{
    entry& of = find(account, now);
    measure(of, 0, now);
    const std::int64_t level = of.bucket_.level(now);
    const std::int64_t kept = std::min(level, of.use_rate_ / kept_fraction);
    // What goes beyond the need is shared evenly between giver and receiver.
    const std::int64_t spare = std::max<std::int64_t>(level - kept, 0);
    const std::int64_t extra =
        std::clamp<std::int64_t>((spare - needed) / 2, 0, wanted);
    return of.bucket_.take_some(std::min(spare, needed + extra), now);
}

std::int64_t escrow::pay_with(
    const core::account_id& account,
    std::span<const gift> gifts,
    std::int64_t tokens,
    core::time_point now)
{
    std::int64_t usable = 0;
    for (const gift& item : gifts)
    {
        usable += item.usable(now);
    }
    token_bucket& bucket = find(account, now).bucket_;
    const std::int64_t own = bucket.level(now);
    if (own + usable < tokens)
    {
        return tokens - own - usable;
    }
    // The gifts pay first; they may be larger than what the share can hold.
    const std::int64_t from_gifts = std::min(usable, tokens);
    measure(find(account, now), tokens, now);
    bucket.take_some(tokens - from_gifts, now);
    bucket.put(usable - from_gifts, now);
    return 0;
}

void escrow::refund(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    find(account, now).bucket_.put(tokens, now);
}

std::int64_t escrow::need(
    const core::account_id& account, std::int64_t missing) const
{
    // All holders' shares refill alike.
    const std::int64_t on_the_way =
        share(account).rate_ * longest_gathering.ms_ / ms_per_second;
    return missing + on_the_way + 1;
}

std::int64_t escrow::wish(const core::account_id& account, core::time_point now)
{
    return find(account, now).bucket_.room(now) / 2;
}

std::int64_t escrow::level(
    const core::account_id& account, core::time_point now)
{
    return find(account, now).bucket_.level(now);
}

core::duration escrow::wait_for(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    return find(account, now).bucket_.wait_for(tokens, now);
}

rate_limit escrow::share(const core::account_id& account) const
{
    const auto found = entries_.find(account);
    return found == entries_.end() ? rate_limit()
                                   : found->second.bucket_.limit();
}

} // namespace poplarroute::policy
