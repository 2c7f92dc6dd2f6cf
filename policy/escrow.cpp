#include "policy/escrow.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

/// Minimum interval between two updates of a usage rate.
constexpr core::duration usage_sample_interval{500};

/// All transfers for one request arrive well within this time.
constexpr core::duration max_gathering_time{100};
constexpr std::int64_t ms_per_second = 1'000;

/// A donor keeps what its own callers use in one second divided by this number.
constexpr std::int64_t donor_reserve_divisor = 4;

} // namespace

std::int64_t token_transfer::usable(core::time_point now) const
{
    const std::int64_t passed = (now - requested_at_).ms_ + 1;
    const std::int64_t refilled =
        (donor_rate_ * passed + ms_per_second - 1) / ms_per_second;
    return std::max<std::int64_t>(tokens_ - refilled, 0);
}

escrow::account_state& escrow::find_or_add(
    const core::account_id& account, core::time_point now)
{
    return accounts_.try_emplace(account, now).first->second;
}

void escrow::measure_usage(
    account_state& state, std::int64_t used, core::time_point now)
{
    state.used_ += used;
    const core::duration passed = now - state.measured_at_;
    if (passed < usage_sample_interval)
    {
        return;
    }
    const std::int64_t rate = state.used_ * ms_per_second / passed.ms_;
    state.usage_rate_ = (state.usage_rate_ + rate) / 2;
    state.used_ = 0;
    state.measured_at_ = now;
}

void escrow::set_share(
    const core::account_id& account, rate_limit share, core::time_point now)
{
    find_or_add(account, now).bucket_.set_limit(share, now);
}

void escrow::keep_only(const std::map<core::account_id, rate_limit>& shares)
{
    std::erase_if(
        accounts_,
        [&](const auto& item)
        {
            return shares.count(item.first) == 0;
        });
}

std::int64_t escrow::charge(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    account_state& state = find_or_add(account, now);
    if (state.bucket_.take(tokens, now))
    {
        measure_usage(state, tokens, now);
        return 0;
    }
    // A failed charge does not count as usage: otherwise a host that cannot pay
    // for its requests would keep its tokens and donate none.
    measure_usage(state, 0, now);
    return tokens - state.bucket_.level(now);
}

std::int64_t escrow::donate(
    const core::account_id& account,
    std::int64_t needed,
    std::int64_t wanted,
    core::time_point now)
{
    account_state& state = find_or_add(account, now);
    measure_usage(state, 0, now);
    const std::int64_t level = state.bucket_.level(now);
    const std::int64_t kept =
        std::min(level, state.usage_rate_ / donor_reserve_divisor);
    // Donor and recipient share evenly what exceeds the recipient's need.
    const std::int64_t spare = std::max<std::int64_t>(level - kept, 0);
    const std::int64_t extra =
        std::clamp<std::int64_t>((spare - needed) / 2, 0, wanted);
    return state.bucket_.take_up_to(std::min(spare, needed + extra), now);
}

std::int64_t escrow::pay_with_transfers(
    const core::account_id& account,
    std::span<const token_transfer> transfers,
    std::int64_t tokens,
    core::time_point now)
{
    std::int64_t usable = 0;
    for (const token_transfer& transfer : transfers)
    {
        usable += transfer.usable(now);
    }
    token_bucket& bucket = find_or_add(account, now).bucket_;
    const std::int64_t own = bucket.level(now);
    if (own + usable < tokens)
    {
        return tokens - own - usable;
    }
    // The transfers pay first, since they may exceed the share's burst.
    const std::int64_t from_transfers = std::min(usable, tokens);
    measure_usage(find_or_add(account, now), tokens, now);
    bucket.take_up_to(tokens - from_transfers, now);
    bucket.put(usable - from_transfers, now);
    return 0;
}

void escrow::refund(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    find_or_add(account, now).bucket_.put(tokens, now);
}

std::int64_t escrow::amount_to_request(
    const core::account_id& account, std::int64_t missing) const
{
    // Assumes that the donors' shares refill at the rate of this host's share.
    const std::int64_t refilled_in_transit =
        share(account).rate_ * max_gathering_time.ms_ / ms_per_second;
    return missing + refilled_in_transit + 1;
}

std::int64_t escrow::wish(const core::account_id& account, core::time_point now)
{
    return find_or_add(account, now).bucket_.headroom(now) / 2;
}

std::int64_t escrow::level(
    const core::account_id& account, core::time_point now)
{
    return find_or_add(account, now).bucket_.level(now);
}

core::duration escrow::wait_for(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    return find_or_add(account, now).bucket_.wait_for(tokens, now);
}

rate_limit escrow::share(const core::account_id& account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? rate_limit()
                                    : found->second.bucket_.limit();
}

} // namespace poplarroute::policy
