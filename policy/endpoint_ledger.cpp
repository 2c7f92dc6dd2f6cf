#include "policy/endpoint_ledger.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"

namespace poplarroute::policy
{

namespace
{

/// A report may still list memory that was released this long before it
/// arrived.
constexpr core::duration max_report_delay{2'000};

/// Entry hosts renew the grants of their running attempts well within this
/// time.
constexpr core::duration claim_grace_period{5'000};

/// Without a newer report, an endpoint is unusable after this time.
constexpr core::duration report_timeout{3'000};
constexpr core::duration pause_after_failure{500};

} // namespace

core::time_point expected_end::as_of(core::time_point now) const
{
    if (now <= likely_)
    {
        return likely_;
    }
    // The request runs longer than estimated and may stop at any token up to
    // its maximum, so half of the remaining time is assumed.
    const core::duration rest = latest_ - now;
    return now + core::duration{std::max<std::int64_t>(rest.ms_ / 2, 0)};
}

endpoint_ledger::endpoint_ledger(endpoint_config config, core::time_point now)
    : config_(std::move(config)), slow_start_(config_.requests_, now)
{
}

void endpoint_ledger::set_config(endpoint_config config)
{
    config_ = std::move(config);
    slow_start_.set_max_window(config_.requests_);
}

std::int64_t endpoint_ledger::used_pieces() const
{
    std::int64_t used = 0;
    for (const auto& [attempt, held] : reserved_)
    {
        used += held.pieces_;
    }
    for (const auto& [attempt, held] : unclaimed_)
    {
        used += held.pieces_;
    }
    return used;
}

std::int64_t endpoint_ledger::running() const
{
    return static_cast<std::int64_t>(reserved_.size() + unclaimed_.size());
}

std::int64_t endpoint_ledger::promised_pieces() const
{
    std::int64_t sum = 0;
    for (const promised_reservation& item : promised_)
    {
        sum += item.reservation_.pieces_;
    }
    return sum;
}

bool endpoint_ledger::has_room(std::int64_t pieces) const
{
    const std::int64_t max_running =
        connection_lost_ ? 1 : slow_start_.window();
    return running() < max_running && used_pieces() + pieces <= config_.pieces_;
}

bool endpoint_ledger::fits(std::int64_t pieces, bool alone) const
{
    if (exclusive_attempt_ || (alone && running() > 0) || !promised_.empty())
    {
        return false;
    }
    return has_room(pieces);
}

void endpoint_ledger::promise(
    const core::attempt_id& attempt, std::int64_t pieces, expected_end until)
{
    promised_.push_back({attempt, {pieces, until}});
}

std::vector<core::attempt_id> endpoint_ledger::confirm_promises(
    core::time_point now)
{
    std::vector<core::attempt_id> confirmed;
    while (!promised_.empty() && !exclusive_attempt_ && usable(now) &&
           has_room(promised_.front().reservation_.pieces_))
    {
        const promised_reservation next = promised_.front();
        promised_.pop_front();
        reserved_[next.attempt_] = next.reservation_;
        confirmed.push_back(next.attempt_);
    }
    return confirmed;
}

void endpoint_ledger::reserve(
    const core::attempt_id& attempt,
    std::int64_t pieces,
    bool alone,
    expected_end until)
{
    core::check_invariant(
        fits(pieces, alone),
        "a reservation fits the free capacity of its endpoint");
    reserved_[attempt] = {pieces, until};
    recently_released_.erase(attempt);
    if (alone)
    {
        exclusive_attempt_ = attempt;
    }
    core::check_invariant(
        used_pieces() <= config_.pieces_,
        "reserved and unclaimed memory does not exceed an engine's memory");
}

void endpoint_ledger::adopt(
    const core::attempt_id& attempt, std::int64_t pieces, core::time_point now)
{
    if (reserved_.count(attempt) != 0 || recently_released_.count(attempt) != 0)
    {
        return;
    }
    unclaimed_.erase(attempt);
    reserved_[attempt] = {
        pieces, {now + claim_grace_period, now + claim_grace_period}};
}

bool endpoint_ledger::release(
    const core::attempt_id& attempt, bool freed, core::time_point now)
{
    if (exclusive_attempt_ == attempt)
    {
        exclusive_attempt_.reset();
    }
    std::erase_if(
        promised_,
        [&](const promised_reservation& item)
        {
            return item.attempt_ == attempt;
        });
    const auto found = reserved_.find(attempt);
    const bool held = found != reserved_.end();
    if (held && !freed)
    {
        unclaimed_[attempt] = {found->second.pieces_, now};
    }
    if (freed)
    {
        unclaimed_.erase(attempt);
        recently_released_[attempt] = now;
    }
    if (held)
    {
        reserved_.erase(found);
    }
    return held;
}

void endpoint_ledger::on_connection_lost()
{
    connection_lost_ = true;
}

void endpoint_ledger::on_completed(core::time_point now)
{
    slow_start_.on_completed(now);
}

void endpoint_ledger::treat_as_restarted(core::time_point now)
{
    slow_start_.reset(now);
    unclaimed_.clear();
}

void endpoint_ledger::on_cold_response(core::time_point now)
{
    if (slow_start_.warm())
    {
        slow_start_.reset(now);
    }
}

void endpoint_ledger::on_failure(core::time_point now)
{
    treat_as_restarted(now);
    unusable_until_ = now + pause_after_failure;
}

std::vector<core::attempt_id> endpoint_ledger::on_report(
    const endpoint_report& report, core::time_point now)
{
    reported_ = true;
    reported_at_ = now;
    connection_lost_ = false;
    if (boot_.empty())
    {
        // A new owner does not know whether the endpoint is warm, but it can
        // sustain what it runs now.
        slow_start_.raise_to(static_cast<std::int64_t>(report.held_.size()));
        boot_ = report.boot_;
    }
    else if (report.boot_ != boot_)
    {
        treat_as_restarted(now);
        boot_ = report.boot_;
    }
    std::erase_if(
        recently_released_,
        [&](const auto& item)
        {
            return now - item.second > max_report_delay;
        });
    std::map<core::attempt_id, unclaimed_allocation> listed;
    std::vector<core::attempt_id> orphans;
    for (const held_memory& held : report.held_)
    {
        if (reserved_.count(held.attempt_) != 0 ||
            recently_released_.count(held.attempt_) != 0)
        {
            continue;
        }
        const auto known = unclaimed_.find(held.attempt_);
        const core::time_point first =
            known == unclaimed_.end() ? now : known->second.first_seen_at_;
        listed[held.attempt_] = {held.pieces_, first};
        if (now - first > claim_grace_period)
        {
            orphans.push_back(held.attempt_);
        }
    }
    // Memory that was released without confirmation counts as used until a
    // report that is certainly newer than the release no longer lists it.
    for (const auto& [attempt, held] : unclaimed_)
    {
        if (now - held.first_seen_at_ < max_report_delay)
        {
            listed.emplace(attempt, held);
        }
    }
    unclaimed_ = std::move(listed);
    return orphans;
}

void endpoint_ledger::on_report_failed(core::time_point now)
{
    if (reported_ && now - reported_at_ > report_timeout)
    {
        reported_ = false;
        treat_as_restarted(now);
    }
}

bool endpoint_ledger::usable(core::time_point now) const
{
    return reported_ && !config_.leaving_ && now >= unusable_until_ &&
           now - reported_at_ <= report_timeout;
}

std::optional<core::time_point> endpoint_ledger::free_at(
    std::int64_t pieces, core::time_point now) const
{
    if (pieces > config_.pieces_ || exclusive_attempt_ || connection_lost_)
    {
        return std::nullopt;
    }
    std::vector<std::pair<core::time_point, std::int64_t>> ends;
    for (const auto& [attempt, held] : reserved_)
    {
        ends.emplace_back(held.until_.as_of(now), held.pieces_);
    }
    for (const promised_reservation& item : promised_)
    {
        ends.emplace_back(
            item.reservation_.until_.as_of(now), item.reservation_.pieces_);
    }
    std::sort(ends.begin(), ends.end());
    std::int64_t used = used_pieces() + promised_pieces();
    std::int64_t running_now =
        running() + static_cast<std::int64_t>(promised_.size());
    core::time_point at = now;
    for (const auto& [end, freed] : ends)
    {
        if (used + pieces <= config_.pieces_ &&
            running_now < slow_start_.window())
        {
            break;
        }
        used -= freed;
        --running_now;
        at = end;
    }
    if (used + pieces > config_.pieces_ || running_now >= slow_start_.window())
    {
        return std::nullopt;
    }
    return at;
}

} // namespace poplarroute::policy
