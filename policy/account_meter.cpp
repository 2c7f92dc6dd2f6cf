#include "policy/account_meter.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr double ms_per_second = 1'000;

/// After this time without a settlement a host falls back to its own share of
/// each limit. Settlements come every 100 ms near the limit, where three may be
/// missed, and at most every 300 ms far from it, since what all hosts admit
/// without them can exceed the limit.
constexpr core::duration settlement_validity{350};

/// Fraction of its share that a host uses while it may be partitioned from a
/// ledger that is still in use by others.
constexpr double partitioned_fraction = 0.5;

/// Fraction of the burst below which hosts admit requests at random, so that
/// they share the level.
constexpr double low_level_fraction = 0.5;

/// Age of the last settlement above which it alone admits no request;
/// near the limit settlements come every 100 ms.
constexpr core::duration settlement_overdue_after{150};

/// Age of the last settlement above which an account that is far from its limit
/// is settled again. With a check each 100 ms, settlements come every 200 ms,
/// and at most every 300 ms, within their validity.
constexpr core::duration far_settlement_age{180};

/// Fraction of its share of the level that a host may use before it settles at
/// the next check. What all hosts have used unsettled then stays below the
/// level, apart from what arrives within one check's interval.
constexpr double early_settlement_fraction = 0.5;

/// How long after its last use at a host an account has a share of the level
/// there. A new ledger adds up these shares.
constexpr core::duration recent_use_time{10'000};

/// How long after its last use at a host an account's level is kept up to date
/// there. A host that uses it less often asks for the level of each request,
/// which costs the leader less.
constexpr core::duration frequent_use_time{500};

/// Expected tokens admitted between two settlements if every host has a
/// request, as a multiple of the level. Above 1, since not every host has one.
constexpr double overbooking_factor = 3;

/// Maximum random extension of the time after which refused callers return, as
/// a fraction of it.
constexpr double retry_jitter = 0.5;

/// Fraction of an isolated host's share that it grants as tickets for one whole
/// request each, when the share is smaller than such a request.
constexpr double ticket_fraction = 0.8;

/// How long a caller waits if the host does not know its share. It learns it
/// with the first reply of a member that knows.
constexpr core::duration unknown_hosts_wait{400};

/// Fraction of the burst from which on an account counts as far from its limit.
constexpr double plenty_fraction = 0.5;

/// How long an account counts as far from its limit after the leader has said
/// so. Leaders say it each 0.8 s; a new one is known within this time.
constexpr core::duration plenty_validity{2'000};

/// Fraction of the burst that all hosts together may use unasked between two
/// statements of the leader, apart from random single requests.
constexpr double unasked_fraction = 0.25;

/// Age from which on usage that was admitted unasked is settled.
constexpr core::duration unasked_settlement_age{180};

/// Time during which a new ledger adds up the shares that hosts report.
constexpr core::duration report_collection_time{1'500};

std::string describe(std::int64_t tokens, double level, const rate_limit& limit)
{
    return "price " + std::to_string(tokens) + ", level " +
           std::to_string(static_cast<std::int64_t>(level)) + ", rate " +
           std::to_string(limit.rate_) + ", burst " +
           std::to_string(limit.burst_);
}

/// \return how long until the lacking tokens have accrued, with random jitter.
template <typename Random>
core::duration wait_with_jitter(double lacking, double rate, Random& random)
{
    const double spread =
        1 + retry_jitter * std::uniform_real_distribution<double>(0, 1)(random);
    return {static_cast<std::int64_t>(
        std::max(lacking, 0.0) * ms_per_second * spread / rate)};
}

} // namespace

void meter_ledger::refill(entry& item, core::time_point now)
{
    const auto elapsed_ms = static_cast<double>((now - item.filled_at_).ms_);
    item.level_ = std::min(
        static_cast<double>(item.limit_.burst_),
        item.level_ + elapsed_ms * static_cast<double>(item.limit_.rate_) /
                          ms_per_second);
    item.filled_at_ = now;
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
        created_at_ = created_at_.value_or(now);
        const auto [found, is_new] = entries_.try_emplace(account);
        entry& item = found->second;
        if (is_new)
        {
            item.filled_at_ = now;
            item.created_at_ = now;
        }
        refill(item, now);
        item.limit_ = limit;
        item.level_ = std::min(item.level_, static_cast<double>(limit.burst_));
    }
}

std::optional<std::vector<core::account_id>> meter_ledger::scarce_accounts(
    core::time_point now)
{
    if (!created_at_ || now - *created_at_ < report_collection_time)
    {
        return std::nullopt;
    }
    std::vector<core::account_id> out;
    for (auto& [account, item] : entries_)
    {
        if (item.limit_.rate_ == 0)
        {
            continue;
        }
        refill(item, now);
        const bool is_scarce =
            now - item.created_at_ < report_collection_time ||
            item.level_ <
                plenty_fraction * static_cast<double>(item.limit_.burst_);
        if (is_scarce)
        {
            out.push_back(account);
        }
    }
    return out;
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
    return wait_with_jitter(
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
    std::int64_t reported_share,
    core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return reported_share;
    }
    entry& item = found->second;
    refill(item, now);
    if (now - item.created_at_ < report_collection_time &&
        item.reported_hosts_.insert(host).second)
    {
        // The reported share already excludes what the host has used.
        item.level_ += static_cast<double>(reported_share);
        used = 0;
    }
    item.level_ = std::min(
        item.level_ - static_cast<double>(used),
        static_cast<double>(item.limit_.burst_));
    return static_cast<std::int64_t>(item.level_);
}

void account_meter::set_limits(
    const std::map<core::account_id, rate_limit>& limits,
    std::optional<std::int64_t> hosts,
    core::time_point now)
{
    hosts_ = hosts;
    const bool empty = starts_empty_ && !has_limits_;
    has_limits_ = true;
    std::erase_if(
        entries_,
        [&](const auto& item)
        {
            return limits.count(item.first) == 0;
        });
    for (const auto& [account, limit] : limits)
    {
        const auto [found, is_new] = entries_.try_emplace(account);
        entry& item = found->second;
        if (is_new)
        {
            item.limit_ = limit;
            item.level_ =
                empty ? 0 : static_cast<double>(limit.burst_) * own_fraction();
            item.filled_at_ = now;
            item.settled_at_ = now;
        }
        refill(item, now);
        item.limit_ = limit;
        item.level_ = std::min(item.level_, static_cast<double>(limit.burst_));
    }
}

/// \return the fraction of each limit that is this host's own; 0 while the
/// number of hosts is unknown.
double account_meter::own_fraction() const
{
    return hosts_ ? 1 / static_cast<double>(std::max<std::int64_t>(*hosts_, 1))
                  : 0;
}

/// \return the host's share of the last settled level, minus its usage since
/// then. A level that no ledger has told is its own already.
double account_meter::share_of(const entry& item) const
{
    if (item.isolated_ || !item.was_settled_)
    {
        return item.level_;
    }
    const auto used = static_cast<double>(item.unsettled_);
    return (item.level_ + used) * own_fraction() - used;
}

bool account_meter::draw_with_probability(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void account_meter::refill_isolated(
    entry& item, double burst, double gain, core::time_point now)
{
    const auto largest = static_cast<double>(item.largest_price_);
    const bool uses_tickets = largest > burst;
    if (uses_tickets && draw_with_probability(gain * ticket_fraction / largest))
    {
        // Valid for the time in which the whole burst refills: the unused
        // tickets of all hosts then add up to no more than a burst.
        item.ticket_expires_at_ =
            now + core::duration{static_cast<std::int64_t>(
                      static_cast<double>(item.limit_.burst_) * ms_per_second /
                      static_cast<double>(item.limit_.rate_))};
    }
    item.level_ = std::min(
        burst, item.level_ + gain * (uses_tickets ? 1 - ticket_fraction : 1.0));
}

void account_meter::refill(entry& item, core::time_point now)
{
    const bool isolated = now - item.settled_at_ > settlement_validity;
    double share = item.was_settled_ ? 1 : own_fraction();
    if (isolated)
    {
        share = own_fraction() * (no_ledger_ ? 1 : partitioned_fraction);
    }
    const double burst = static_cast<double>(item.limit_.burst_) * share;
    const auto elapsed_ms = static_cast<double>((now - item.filled_at_).ms_);
    double gain = elapsed_ms * static_cast<double>(item.limit_.rate_) * share /
                  ms_per_second;
    if (isolated && !item.isolated_)
    {
        const double own_share = std::min(share_of(item), burst);
        item.level_ = std::min(own_share, 0.0);
        gain += std::max(own_share, 0.0);
        item.ticket_expires_at_ = {};
    }
    item.isolated_ = isolated;
    item.filled_at_ = now;
    if (!isolated)
    {
        item.level_ = std::min(burst, item.level_ + gain);
        return;
    }
    // Usage within this host's own share needs no settlement.
    item.unsettled_ = 0;
    refill_isolated(item, burst, gain, now);
}

/// Admits a request at random while the level is low or its settlement overdue:
/// all hosts see the same level until the next settlement, and callers that
/// were refused return at the same time.
bool account_meter::passes_random_admission(
    const entry& item, double tokens, core::time_point now)
{
    const bool low = item.level_ < low_level_fraction *
                                       static_cast<double>(item.limit_.burst_);
    const bool overdue = now - item.settled_at_ > settlement_overdue_after;
    if (item.isolated_ || (!low && !overdue))
    {
        return true;
    }
    // Usage since an overdue settlement is not part of the level, so requests
    // of more than one interval share it.
    const double overbooking = low && overdue ? 1 : overbooking_factor;
    return draw_with_probability(
        item.level_ * overbooking * own_fraction() / tokens);
}

bool account_meter::admit(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit_.rate_ == 0)
    {
        return true;
    }
    entry& item = found->second;
    refill(item, now);
    item.used_at_ = now;
    item.largest_price_ = std::max(item.largest_price_, tokens);
    const auto price = static_cast<double>(tokens);
    const bool large = tokens * 2 > item.largest_price_;
    if (item.isolated_ && now < item.ticket_expires_at_ && large &&
        item.level_ < price)
    {
        item.ticket_expires_at_ = {};
        return true;
    }
    if (item.level_ < price || !passes_random_admission(item, price, now))
    {
        return false;
    }
    item.level_ -= static_cast<double>(tokens);
    item.unsettled_ += tokens;
    return true;
}

void account_meter::refund(const core::account_id& account, std::int64_t tokens)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return;
    }
    entry& item = found->second;
    if (item.unasked_used_ >= tokens)
    {
        item.unasked_used_ -= tokens;
        item.unasked_left_ += static_cast<double>(tokens);
        return;
    }
    item.level_ += static_cast<double>(tokens);
    item.unsettled_ -= tokens;
}

core::duration account_meter::wait_for(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit_.rate_ == 0)
    {
        return {};
    }
    entry& item = found->second;
    refill(item, now);
    if (!hosts_)
    {
        return unknown_hosts_wait;
    }
    const double lacking = static_cast<double>(tokens) - item.level_;
    const double share = item.isolated_ ? own_fraction() : 1;
    return wait_with_jitter(
        lacking, static_cast<double>(item.limit_.rate_) * share, random_);
}

unsettled_usage account_meter::take_usage(
    const core::account_id& account, entry& item, core::time_point now)
{
    refill(item, now);
    double share = share_of(item);
    if (item.reports_share_ && now < item.plenty_until_)
    {
        share = static_cast<double>(item.limit_.burst_) * plenty_fraction *
                    own_fraction() -
                static_cast<double>(item.unasked_used_);
    }
    const unsettled_usage out{
        account,
        item.unsettled_ + item.unasked_used_,
        static_cast<std::int64_t>(share),
        item.unasked_used_};
    item.unsettled_ = 0;
    item.unasked_used_ = 0;
    item.taken_at_ = now;
    item.reports_share_ = false;
    return out;
}

void account_meter::set_scarce(
    std::span<const core::account_id> scarce, core::time_point now)
{
    for (auto& [account, item] : entries_)
    {
        const bool is_scarce =
            std::find(scarce.begin(), scarce.end(), account) != scarce.end();
        if (is_scarce || !hosts_)
        {
            item.plenty_until_ = {};
            continue;
        }
        item.plenty_until_ = now + plenty_validity;
        item.unasked_left_ = static_cast<double>(item.limit_.burst_) *
                             unasked_fraction * own_fraction();
    }
}

void account_meter::begin_ledger()
{
    for (auto& [account, item] : entries_)
    {
        item.reports_share_ = true;
    }
}

bool account_meter::needs_no_level(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end() || now >= found->second.plenty_until_ ||
        found->second.limit_.rate_ == 0)
    {
        return false;
    }
    entry& item = found->second;
    const auto price = static_cast<double>(tokens);
    if (item.unasked_left_ < price && item.unasked_left_ > 0)
    {
        const bool is_drawn = draw_with_probability(
            overbooking_factor * item.unasked_left_ / price);
        item.unasked_left_ = is_drawn ? price : 0;
    }
    return item.unasked_left_ >= price;
}

bool account_meter::admit_unasked(
    const core::account_id& account, std::int64_t tokens, core::time_point now)
{
    const auto found = entries_.find(account);
    const auto price = static_cast<double>(tokens);
    if (found == entries_.end() || now >= found->second.plenty_until_ ||
        found->second.unasked_left_ < price || found->second.limit_.rate_ == 0)
    {
        return false;
    }
    entry& item = found->second;
    item.used_at_ = now;
    item.largest_price_ = std::max(item.largest_price_, tokens);
    item.unasked_left_ -= price;
    item.unasked_used_ += tokens;
    return true;
}

std::vector<unsettled_usage> account_meter::take_unsettled(core::time_point now)
{
    std::vector<unsettled_usage> out;
    for (auto& [account, item] : entries_)
    {
        if (item.limit_.rate_ != 0)
        {
            out.push_back(take_usage(account, item, now));
        }
    }
    return out;
}

bool account_meter::is_settlement_due(
    const entry& item, core::time_point now) const
{
    const bool is_old = now - item.settled_at_ >= far_settlement_age;
    const bool is_near =
        item.level_ <
        low_level_fraction * static_cast<double>(item.limit_.burst_);
    const auto used = static_cast<double>(item.unsettled_);
    const double share = (item.level_ + used) * own_fraction();
    return !item.was_settled_ || is_old || is_near ||
           (used > 0 && used >= share * early_settlement_fraction);
}

/// \return whether an account that is far from its limit is settled now, which
/// its use alone requires.
bool account_meter::is_unasked_use_due(
    const entry& item, core::time_point now) const
{
    const std::int64_t used = item.unsettled_ + item.unasked_used_;
    const double part = static_cast<double>(item.limit_.burst_) *
                        unasked_fraction * own_fraction();
    return item.reports_share_ ||
           (used > 0 &&
            (now - item.taken_at_ >= unasked_settlement_age ||
             static_cast<double>(used) >= part * early_settlement_fraction));
}

std::vector<unsettled_usage> account_meter::take_due(core::time_point now)
{
    std::vector<unsettled_usage> out;
    for (auto& [account, item] : entries_)
    {
        if (item.limit_.rate_ == 0)
        {
            continue;
        }
        const bool has_plenty = item.was_settled_ && now < item.plenty_until_;
        if (has_plenty && !is_unasked_use_due(item, now))
        {
            continue;
        }
        const bool is_recent =
            item.used_at_.ms_ > 0 && now - item.used_at_ <= recent_use_time;
        const bool is_idle = !is_recent && item.unsettled_ == 0 &&
                             item.unasked_used_ == 0 && !item.reports_share_;
        if (is_idle && item.was_settled_)
        {
            // Others may have used the whole level meanwhile. The host's own
            // share begins to accrue when the leader is lost.
            refill(item, now);
            item.level_ = std::min(item.level_, 0.0);
            item.ticket_expires_at_ = {};
            continue;
        }
        const bool is_frequent =
            item.unsettled_ != 0 || now - item.used_at_ <= frequent_use_time;
        const bool is_wanted =
            is_frequent || !item.was_settled_ || item.reports_share_;
        if (has_plenty || (is_wanted && is_settlement_due(item, now)))
        {
            out.push_back(take_usage(account, item, now));
        }
    }
    return out;
}

std::vector<unsettled_usage> account_meter::take(
    const core::account_id& account, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return {};
    }
    return {take_usage(account, found->second, now)};
}

bool account_meter::needs_level(
    const core::account_id& account, core::time_point now) const
{
    const auto found = entries_.find(account);
    return found != entries_.end() && found->second.limit_.rate_ != 0 &&
           now - found->second.settled_at_ > settlement_overdue_after;
}

void account_meter::record_use(
    const core::account_id& account, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found != entries_.end())
    {
        found->second.used_at_ = now;
    }
}

void account_meter::settled(
    const core::account_id& account, std::int64_t level, core::time_point now)
{
    const auto found = entries_.find(account);
    if (found == entries_.end())
    {
        return;
    }
    entry& item = found->second;
    item.level_ =
        static_cast<double>(level - item.unsettled_ - item.unasked_used_);
    item.filled_at_ = now;
    item.settled_at_ = now;
    item.was_settled_ = true;
    item.isolated_ = false;
}

void account_meter::restore_unsettled(std::span<const unsettled_usage> usages)
{
    for (const unsettled_usage& usage : usages)
    {
        const auto found = entries_.find(usage.account_);
        if (found != entries_.end())
        {
            found->second.unsettled_ += usage.used_ - usage.unasked_;
            found->second.unasked_used_ += usage.unasked_;
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
    entry& item = found->second;
    refill(item, now);
    return describe(tokens, item.level_, item.limit_) + ", last settled " +
           std::to_string((now - item.settled_at_).ms_) + " ms ago, hosts " +
           (hosts_ ? std::to_string(*hosts_) : "unknown") +
           (item.isolated_ ? ", alone" : "");
}

} // namespace poplarroute::policy
