#include "policy/endpoint_ledger.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"

namespace poplarroute::policy
{

namespace
{

/// Reports lag: what was released this long ago may still be listed.
constexpr core::duration report_lag{2'000};

/// An entry host repeats its claims well within this time.
constexpr core::duration claim_grace{5'000};

constexpr core::duration report_lifetime{3'000};
constexpr core::duration rest_after_break{500};

} // namespace

core::time_point expected_end::seen_from(core::time_point now) const
{
    if (now <= likely_)
    {
        return likely_;
    }
    // It has outlived the guess: it may stop at any token up to the last.
    const core::duration rest = latest_ - now;
    return now + core::duration{std::max<std::int64_t>(rest.ms_ / 2, 0)};
}

endpoint_ledger::endpoint_ledger(endpoint_facts facts, core::time_point now)
    : facts_(std::move(facts)), ramp_(facts_.requests_, now)
{
}

void endpoint_ledger::set_facts(endpoint_facts facts)
{
    facts_ = std::move(facts);
    ramp_.set_full(facts_.requests_);
}

std::int64_t endpoint_ledger::used_pieces() const
{
    std::int64_t used = 0;
    for (const auto& [attempt, held] : given_)
    {
        used += held.pieces_;
    }
    for (const auto& [attempt, held] : foreign_)
    {
        used += held.pieces_;
    }
    return used;
}

std::int64_t endpoint_ledger::running() const
{
    return static_cast<std::int64_t>(given_.size() + foreign_.size());
}

std::int64_t endpoint_ledger::promised_pieces() const
{
    std::int64_t sum = 0;
    for (const promised& item : promised_)
    {
        sum += item.wanted_.pieces_;
    }
    return sum;
}

bool endpoint_ledger::has_room(std::int64_t pieces) const
{
    const std::int64_t window = doubted_ ? 1 : ramp_.window();
    return running() < window && used_pieces() + pieces <= facts_.pieces_;
}

bool endpoint_ledger::fits(std::int64_t pieces, bool alone) const
{
    if (alone_ || (alone && running() > 0) || !promised_.empty())
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

std::vector<core::attempt_id> endpoint_ledger::keep_promises(
    core::time_point now)
{
    std::vector<core::attempt_id> kept;
    while (!promised_.empty() && !alone_ && usable(now) &&
           has_room(promised_.front().wanted_.pieces_))
    {
        const promised next = promised_.front();
        promised_.pop_front();
        given_[next.attempt_] = next.wanted_;
        kept.push_back(next.attempt_);
    }
    return kept;
}

void endpoint_ledger::reserve(
    const core::attempt_id& attempt,
    std::int64_t pieces,
    bool alone,
    expected_end until)
{
    core::check_invariant(
        fits(pieces, alone), "an endpoint gets no more work than it can bear");
    given_[attempt] = {pieces, until};
    released_.erase(attempt);
    if (alone)
    {
        alone_ = attempt;
    }
    core::check_invariant(
        used_pieces() <= facts_.pieces_,
        "an engine's memory is not given out twice");
}

void endpoint_ledger::adopt(
    const core::attempt_id& attempt, std::int64_t pieces, core::time_point now)
{
    if (given_.count(attempt) != 0 || released_.count(attempt) != 0)
    {
        return;
    }
    foreign_.erase(attempt);
    given_[attempt] = {pieces, {now + claim_grace, now + claim_grace}};
}

bool endpoint_ledger::release(
    const core::attempt_id& attempt, bool freed, core::time_point now)
{
    if (alone_ == attempt)
    {
        alone_.reset();
    }
    std::erase_if(
        promised_,
        [&](const promised& item)
        {
            return item.attempt_ == attempt;
        });
    const auto found = given_.find(attempt);
    const bool held = found != given_.end();
    if (held && !freed)
    {
        foreign_[attempt] = {found->second.pieces_, now};
    }
    if (freed)
    {
        foreign_.erase(attempt);
        released_[attempt] = now;
    }
    if (held)
    {
        given_.erase(found);
    }
    return held;
}

void endpoint_ledger::doubt()
{
    doubted_ = true;
}

void endpoint_ledger::completed(core::time_point now)
{
    ramp_.completed(now);
}

void endpoint_ledger::restarted(core::time_point now)
{
    ramp_.close(now);
    foreign_.clear();
}

void endpoint_ledger::cooled(core::time_point now)
{
    if (ramp_.warm())
    {
        ramp_.close(now);
    }
}

void endpoint_ledger::broke(core::time_point now)
{
    restarted(now);
    broken_until_ = now + rest_after_break;
}

std::vector<core::attempt_id> endpoint_ledger::on_report(
    const endpoint_report& report, core::time_point now)
{
    reported_ = true;
    reported_at_ = now;
    doubted_ = false;
    if (boot_.empty())
    {
        // A new owner does not know how warm it is, but what it runs now it
        // can bear.
        ramp_.bears(static_cast<std::int64_t>(report.held_.size()));
        boot_ = report.boot_;
    }
    else if (report.boot_ != boot_)
    {
        restarted(now);
        boot_ = report.boot_;
    }
    std::erase_if(
        released_,
        [&](const auto& item)
        {
            return now - item.second > report_lag;
        });
    std::map<core::attempt_id, foreign> listed;
    std::vector<core::attempt_id> orphans;
    for (const held_memory& held : report.held_)
    {
        if (given_.count(held.attempt_) != 0 ||
            released_.count(held.attempt_) != 0)
        {
            continue;
        }
        const auto known = foreign_.find(held.attempt_);
        const core::time_point first =
            known == foreign_.end() ? now : known->second.seen_first_;
        listed[held.attempt_] = {held.pieces_, first};
        if (now - first > claim_grace)
        {
            orphans.push_back(held.attempt_);
        }
    }
    // Memory not known to be free counts until a report that is no older
    // than the doubt leaves it out.
    for (const auto& [attempt, held] : foreign_)
    {
        if (now - held.seen_first_ < report_lag)
        {
            listed.emplace(attempt, held);
        }
    }
    foreign_ = std::move(listed);
    return orphans;
}

void endpoint_ledger::unreachable(core::time_point now)
{
    if (reported_ && now - reported_at_ > report_lifetime)
    {
        reported_ = false;
        restarted(now);
    }
}

bool endpoint_ledger::usable(core::time_point now) const
{
    return reported_ && !facts_.leaving_ && now >= broken_until_ &&
           now - reported_at_ <= report_lifetime;
}

std::optional<core::time_point> endpoint_ledger::free_at(
    std::int64_t pieces, core::time_point now) const
{
    if (pieces > facts_.pieces_ || alone_ || doubted_)
    {
        return std::nullopt;
    }
    std::vector<std::pair<core::time_point, std::int64_t>> ends;
    for (const auto& [attempt, held] : given_)
    {
        ends.emplace_back(held.until_.seen_from(now), held.pieces_);
    }
    for (const promised& item : promised_)
    {
        ends.emplace_back(
            item.wanted_.until_.seen_from(now), item.wanted_.pieces_);
    }
    std::sort(ends.begin(), ends.end());
    std::int64_t used = used_pieces() + promised_pieces();
    std::int64_t running_now =
        running() + static_cast<std::int64_t>(promised_.size());
    core::time_point at = now;
    for (const auto& [end, freed] : ends)
    {
        if (used + pieces <= facts_.pieces_ && running_now < ramp_.window())
        {
            break;
        }
        used -= freed;
        --running_now;
        at = end;
    }
    if (used + pieces > facts_.pieces_ || running_now >= ramp_.window())
    {
        return std::nullopt;
    }
    return at;
}

} // namespace poplarroute::policy
