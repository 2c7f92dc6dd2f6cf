#include "policy/account_meter.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr double ms_per_second = 1'000;

/// After this time without a settlement a host falls back to its own share of
/// each limit. Settlements come every 100 ms; three may be missed, since what
/// all hosts admit without them can exceed the limit.
constexpr core::duration word_valid{350};

/// Fraction of its share that a host uses while it may be partitioned from a
/// ledger that is still in use by others.
constexpr double cut_off_part = 0.5;

/// Fraction of the burst below which hosts share the level by chance.
constexpr double low_part = 0.5;

/// A settlement later than this is overdue; they come every 100 ms.
constexpr core::duration settlement_due{150};

/// Expected admissions of a full round of hosts between two settlements, as a
/// multiple of the level, since not every host has a request then.
constexpr double overbooking = 3;

/// Spread of the time after which refused callers return.
constexpr double retry_spread = 0.5;

/// Fraction of a lone host's share that it grants in whole requests, when the
/// share is less than one of them.
constexpr double ticket_part = 0.8;

/// Time during which a new ledger adds up the shares that hosts report.
constexpr core::duration settling{1'500};

std::string describe(std::int64_t tokens, double level, const rate_limit& limit)
{
    return "price " + std::to_string(tokens) + ", level " +
           std::to_string(static_cast<std::int64_t>(level)) + ", rate " +
           std::to_string(limit.rate_) + ", burst " +
           std::to_string(limit.burst_);
}

/// \return how long until the lacking tokens are there, spread by chance.
template <typename Random>
core::duration spread_wait(double lacking, double rate, Random& random)
{
    const double spread =
        1 + retry_spread * std::uniform_real_distribution<double>(0, 1)(random);
    return {static_cast<std::int64_t>(
        std::max(lacking, 0.0) * ms_per_second * spread / rate)};
}

} // namespace

void meter_ledger::refill(entry& of, core::time_point now)
{
    const auto passed = static_cast<double>((now - of.filled_at_).ms_);
    of.level_ = std::min(
        static_cast<double>(of.limit_.burst_),
        of.level_ +
            passed * static_cast<double>(of.limit_.rate_) / ms_per_second);
    of.filled_at_ = now;
}

void meter_ledger::set_limits(
    const std::map<core::account_id, rate_limit>& limits, core::time_point now)
{
    std::erase_if(
        entries_,
        [&](const auto& item)
        {
            return limits.count(item.first) == 0;
        });
    for (const auto& [account, limit] : limits)
    {
        const auto [found, fresh] = entries_.try_emplace(account);
        entry& of = found->second;
        if (fresh)
        {
            of.filled_at_ = now;
            of.began_ = now;
        }
        refill(of, now);
        of.limit_ = limit;
        of.level_ = std::min(of.level_, static_cast<double>(limit.burst_));
    }
}

bool meter_ledger::charge(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return true;
    }
    refill(found->second, now);
    if (found->second.level_ < static_cast<double>(tokens))
    {
        return false;
    }
    found->second.level_ -= static_cast<double>(tokens);
    return true;
}

void meter_ledger::refund(const core::account_id& account, std::int64_t tokens)
{
    const auto found = entries_.find(account);
    if (found != entries_.end())
    {
        found->second.level_ += static_cast<double>(tokens);
    }
}

core::duration meter_ledger::wait_for(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit_.rate_ == 0)
    {
        return {};
    }
    refill(found->second, now);
    return spread_wait(
        static_cast<double>(tokens) - found->second.level_,
        static_cast<double>(found->second.limit_.rate_),
        random_);
}

std::string meter_ledger::inputs(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return {};
    }
    refill(found->second, now);
    return describe(tokens, found->second.level_, found->second.limit_);
}

std::int64_t meter_ledger::settle(
    const core::account_id& account,
    const core::host_id& host,
    std::int64_t used,
    std::int64_t told_part,
    core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return told_part;
    }
    entry& of = found->second;
    refill(of, now);
    if (now - of.began_ < settling && of.told_.insert(host).second)
    {
        // The reported share already excludes what the host has used.
        of.level_ += static_cast<double>(told_part);
        used = 0;
    }
    of.level_ = std::min(
        of.level_ - static_cast<double>(used),
        static_cast<double>(of.limit_.burst_));
    return static_cast<std::int64_t>(of.level_);
}

void account_meter::set_limits(
    const std::map<core::account_id, rate_limit>& limits,
    std::int64_t hosts,
    core::time_point now)
{
    hosts_ = std::max<std::int64_t>(hosts, 1);
    std::erase_if(
        entries_,
        [&](const auto& item)
        {
            return limits.count(item.first) == 0;
        });
    for (const auto& [account, limit] : limits)
    {
        const auto [found, fresh] = entries_.try_emplace(account);
        entry& of = found->second;
        if (fresh)
        {
            of.limit_ = limit;
            of.level_ = static_cast<double>(limit.burst_);
            of.filled_at_ = now;
            of.told_at_ = now;
        }
        refill(of, now);
        of.limit_ = limit;
        of.level_ = std::min(of.level_, static_cast<double>(limit.burst_));
    }
}

/// A host's share of the last settled level, minus its usage since then.
double account_meter::part_of(const entry& of, double hosts)
{
    const auto used = static_cast<double>(of.unsettled_);
    return (of.level_ + used) / hosts - used;
}

bool account_meter::chance(double part)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < part;
}

void account_meter::refill_alone(
    entry& of, double burst, double gain, core::time_point now)
{
    const auto largest = static_cast<double>(of.largest_);
    const bool by_chance = largest > burst;
    if (by_chance && chance(gain * ticket_part / largest))
    {
        // Valid while the whole burst refills: hosts that wait with tickets
        // then add no more than a burst.
        of.ticket_until_ =
            now + core::duration{static_cast<std::int64_t>(
                      static_cast<double>(of.limit_.burst_) * ms_per_second /
                      static_cast<double>(of.limit_.rate_))};
    }
    of.level_ =
        std::min(burst, of.level_ + gain * (by_chance ? 1 - ticket_part : 1.0));
}

void account_meter::refill(entry& of, core::time_point now)
{
    const bool alone = now - of.told_at_ > word_valid;
    const auto hosts = static_cast<double>(hosts_);
    const double part = !alone       ? 1
                        : no_ledger_ ? 1 / hosts
                                     : cut_off_part / hosts;
    const double burst = static_cast<double>(of.limit_.burst_) * part;
    const auto passed = static_cast<double>((now - of.filled_at_).ms_);
    double gain =
        passed * static_cast<double>(of.limit_.rate_) * part / ms_per_second;
    if (alone && !of.alone_)
    {
        const double own = std::min(part_of(of, hosts), burst);
        of.level_ = std::min(own, 0.0);
        gain += std::max(own, 0.0);
        of.ticket_until_ = {};
    }
    of.alone_ = alone;
    of.filled_at_ = now;
    if (!alone)
    {
        of.level_ = std::min(burst, of.level_ + gain);
        return;
    }
    // Usage within this host's own share needs no settlement.
    of.unsettled_ = 0;
    refill_alone(of, burst, gain, now);
}

/// Draws whether a request is admitted while the level is low or its settlement
/// overdue: all hosts see the same level until the next settlement, and callers
/// that were refused return at the same time.
bool account_meter::drawn(const entry& of, double tokens, core::time_point now)
{
    const bool low =
        of.level_ < low_part * static_cast<double>(of.limit_.burst_);
    const bool overdue = now - of.told_at_ > settlement_due;
    if (of.alone_ || (!low && !overdue))
    {
        return true;
    }
    const double part =
        of.level_ * overbooking / (static_cast<double>(hosts_) * tokens);
    return chance(part);
}

bool account_meter::admit(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit_.rate_ == 0)
    {
        return true;
    }
    entry& of = found->second;
    refill(of, now);
    of.largest_ = std::max(of.largest_, tokens);
    const auto price = static_cast<double>(tokens);
    const bool large = tokens * 2 > of.largest_;
    if (of.alone_ && now < of.ticket_until_ && large && of.level_ < price)
    {
        of.ticket_until_ = {};
        return true;
    }
    if (of.level_ < price || !drawn(of, price, now))
    {
        return false;
    }
    of.level_ -= static_cast<double>(tokens);
    of.unsettled_ += tokens;
    return true;
}

void account_meter::refund(const core::account_id& account, std::int64_t tokens)
{
    const auto found = entries_.find(account);
    if (found != entries_.end())
    {
        found->second.level_ += static_cast<double>(tokens);
        found->second.unsettled_ -= tokens;
    }
}

core::duration account_meter::wait_for(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit_.rate_ == 0)
    {
        return {};
    }
    entry& of = found->second;
    refill(of, now);
    const double lacking = static_cast<double>(tokens) - of.level_;
    const auto parts = static_cast<double>(of.alone_ ? hosts_ : 1);
    return spread_wait(
        lacking * parts, static_cast<double>(of.limit_.rate_), random_);
}

std::vector<unsettled_usage> account_meter::take_unsettled(core::time_point now)
{
    std::vector<unsettled_usage> out;
    for (auto& [account, of] : entries_)
    {
        if (of.limit_.rate_ == 0)
        {
            continue;
        }
        refill(of, now);
        const double part =
            of.alone_ ? of.level_ : part_of(of, static_cast<double>(hosts_));
        out.push_back(
            {account, of.unsettled_, static_cast<std::int64_t>(part)});
        of.unsettled_ = 0;
    }
    return out;
}

void account_meter::settled(
    const core::account_id& account, std::int64_t level, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return;
    }
    entry& of = found->second;
    of.level_ = static_cast<double>(level - of.unsettled_);
    of.filled_at_ = now;
    of.told_at_ = now;
    of.alone_ = false;
}

void account_meter::restore_unsettled(std::span<const unsettled_usage> uses)
{
    for (const unsettled_usage& use : uses)
    {
        const auto found = entries_.find(use.account_);
        if (found != entries_.end())
        {
            found->second.unsettled_ += use.used_;
        }
    }
}

std::int64_t account_meter::level(
    const core::account_id& account, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return 0;
    }
    refill(found->second, now);
    return static_cast<std::int64_t>(found->second.level_);
}

std::string account_meter::inputs(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return {};
    }
    entry& of = found->second;
    refill(of, now);
    return describe(tokens, of.level_, of.limit_) + ", last settled " +
           std::to_string((now - of.told_at_).ms_) + " ms ago, hosts " +
           std::to_string(hosts_) + (of.alone_ ? ", alone" : "");
}

} // namespace poplarroute::policy
