#include "policy/endpoint_limits.hpp"

#include <algorithm>

namespace poplarroute::policy
{

namespace
{

constexpr double ms_per_second = 1'000;

/// Requests that a ledger keeps for later: one, and what accrues in this time.
constexpr double burst_seconds = 0.5;

/// Lowest rate that is granted. An endpoint that gets nothing cannot say that
/// its limit is over.
constexpr double min_rate = 0.25;

/// Maximum random extension of the time after which hosts ask again, as a
/// fraction of it.
constexpr double max_wait_spread = 0.5;
constexpr core::duration min_wait{20};
constexpr core::duration max_wait{1'000};

/// Fraction of its share that a host uses without an answer of the leader,
/// which may still grant all of the limit to others.
constexpr double unconfirmed_fraction = 0.5;

/// Requests of a host's own share are drawn at random, since the share of many
/// hosts is far below one request. One that is not used within this time is
/// lost, so that all hosts together save none for later.
constexpr core::duration own_share_validity{1'000};

/// Longest time for which a host's own share accrues while it does not ask.
constexpr core::duration max_share_accrual{1'000};

/// How long a host leaves an endpoint alone whose own share is used up.
constexpr core::duration own_share_wait{50};

} // namespace

bool limit_statements::record(
    const core::endpoint_id& name, const limit_statement& statement)
{
    const auto found = statements_.find(name);
    if (found == statements_.end())
    {
        if (!statement.per_second_)
        {
            return false;
        }
        statements_.emplace(name, statement);
        return true;
    }
    if (statement.said_at_ < found->second.said_at_)
    {
        return false;
    }
    const bool was_limited = found->second.per_second_.has_value();
    found->second = statement;
    return was_limited != statement.per_second_.has_value();
}

std::optional<double> limit_statements::limit_of(
    const core::endpoint_id& name) const
{
    const auto found = statements_.find(name);
    return found == statements_.end() ? std::nullopt
                                      : found->second.per_second_;
}

void limit_statements::keep_only(const std::set<core::endpoint_id>& listed)
{
    std::erase_if(
        statements_,
        [&](const auto& item)
        {
            return listed.count(item.first) == 0;
        });
}

limit_grant limit_ledger::take(
    const core::endpoint_id& name, double per_second, core::time_point now)
{
    const double rate = std::max(per_second, min_rate);
    const auto [found, is_new] = buckets_.try_emplace(name);
    bucket& item = found->second;
    if (is_new)
    {
        item.filled_at_ = now;
    }
    const auto elapsed_ms = static_cast<double>((now - item.filled_at_).ms_);
    item.level_ = std::min(
        1 + rate * burst_seconds,
        item.level_ + rate * elapsed_ms / ms_per_second);
    item.filled_at_ = now;
    if (item.level_ >= 1)
    {
        item.level_ -= 1;
        return {true, {}};
    }
    return {
        false,
        core::duration{static_cast<std::int64_t>(
            (1 - item.level_) / rate * ms_per_second)}};
}

void limit_ledger::clear()
{
    buckets_.clear();
}

endpoint_allowance::endpoint_allowance(std::uint64_t seed) : random_(seed) {}

bool endpoint_allowance::record(
    const core::endpoint_id& name, const limit_statement& statement)
{
    const bool has_changed = statements_.record(name, statement);
    if (has_changed)
    {
        closed_until_.erase(name);
        shares_.erase(name);
    }
    return has_changed;
}

void endpoint_allowance::keep_only(const std::set<core::endpoint_id>& listed)
{
    const auto is_gone = [&](const auto& item)
    {
        return listed.count(item.first) == 0;
    };
    statements_.keep_only(listed);
    std::erase_if(closed_until_, is_gone);
    std::erase_if(shares_, is_gone);
}

bool endpoint_allowance::may_have_room(
    const core::endpoint_id& name, core::time_point now) const
{
    return !closed_until(name, now);
}

std::optional<core::time_point> endpoint_allowance::closed_until(
    const core::endpoint_id& name, core::time_point now) const
{
    const auto found = closed_until_.find(name);
    return found == closed_until_.end() || now >= found->second
               ? std::nullopt
               : std::optional(found->second);
}

void endpoint_allowance::record_refusal(
    const core::endpoint_id& name, core::duration wait, core::time_point now)
{
    const double spread =
        1 +
        max_wait_spread * std::uniform_real_distribution<double>(0, 1)(random_);
    const core::duration extended{static_cast<std::int64_t>(
        static_cast<double>(std::clamp(wait, min_wait, max_wait).ms_) *
        spread)};
    closed_until_[name] = now + extended;
}

bool endpoint_allowance::take_own_share(
    const core::endpoint_id& name,
    std::optional<std::int64_t> hosts,
    core::time_point now)
{
    const std::optional<double> limit = statements_.limit_of(name);
    if (!limit)
    {
        return true;
    }
    const auto [found, is_new] = shares_.try_emplace(name);
    own_share& share = found->second;
    if (is_new)
    {
        share.drawn_at_ = now;
    }
    if (hosts)
    {
        const core::duration accrued =
            std::min(now - share.drawn_at_, max_share_accrual);
        const double expected =
            std::max(*limit, min_rate) * unconfirmed_fraction *
            static_cast<double>(accrued.ms_) / ms_per_second /
            static_cast<double>(std::max<std::int64_t>(*hosts, 1));
        if (std::uniform_real_distribution<double>(0, 1)(random_) < expected)
        {
            share.valid_until_ = now + own_share_validity;
        }
    }
    share.drawn_at_ = now;
    if (now < share.valid_until_)
    {
        share.valid_until_ = {};
        return true;
    }
    closed_until_[name] = now + own_share_wait;
    return false;
}

} // namespace poplarroute::policy
