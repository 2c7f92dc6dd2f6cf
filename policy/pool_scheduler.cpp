#include "policy/pool_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"
#include "core/result.hpp"

namespace poplarroute::policy
{

namespace
{

/// Requests wait at the owner, where order can still change, and not at the
/// engine: it is given its next prefill this long before it needs one.
constexpr core::duration most_backlog{80};

constexpr std::int64_t promise_margin = 2;

constexpr std::size_t longest_queue = 4'096;

/// Entry hosts renew every two seconds; three may be lost.
constexpr core::duration renewal_lifetime{8'000};

constexpr std::int64_t prefix_tokens = 1'024;
constexpr core::duration least_retry{200};
constexpr core::duration most_retry{10'000};

} // namespace

pool_scheduler::pool_scheduler(pool_policy policy, core::time_point grants_from)
    : policy_(policy), grants_from_(grants_from)
{
}

bool pool_scheduler::is_call(const want& item) const
{
    return item.prompt_tokens_ == 0 && item.output_tokens_ == 0;
}

std::vector<pool_action> pool_scheduler::set_endpoints(
    std::span<const endpoint_facts> endpoints, core::time_point now)
{
    actions out;
    std::set<core::endpoint_id> named;
    for (const endpoint_facts& facts : endpoints)
    {
        named.insert(facts.name_);
        const auto [found, fresh] =
            ledgers_.try_emplace(facts.name_, endpoint_ledger(facts, now));
        if (!fresh)
        {
            found->second.set_facts(facts);
        }
    }
    std::erase_if(
        ledgers_,
        [&](const auto& item)
        {
            return named.count(item.first) == 0;
        });
    const auto placeless = queue_.take_all(
        [&](const want& item)
        {
            return !could_ever_fit(item);
        });
    for (const want& item : placeless)
    {
        refuse(item, refusal_reason::no_endpoint, out, now);
    }
    dispatch(out, now);
    return out;
}

void pool_scheduler::allow_grants(core::time_point now)
{
    grants_from_ = std::min(grants_from_, now);
}

std::vector<running_place> pool_scheduler::running_places() const
{
    std::vector<running_place> out;
    for (const auto& [attempt, about] : running_)
    {
        out.push_back({attempt, about.decode_, about.item_.pieces_});
    }
    return out;
}

core::duration pool_scheduler::prefill_time(
    const want& item, const core::endpoint_id& on) const
{
    std::int64_t tokens = item.prompt_tokens_;
    if (item.prefix_ != 0 && prefixes_.holds(on, item.prefix_))
    {
        tokens = std::max<std::int64_t>(tokens - prefix_tokens, 1);
    }
    return estimates_.prefill(tokens);
}

std::optional<pool_scheduler::place> pool_scheduler::find_prefill(
    const want& item, core::time_point now) const
{
    std::optional<place> best;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.facts().can_prefill() || !ledger.usable(now) ||
            item.avoid_.count(name) != 0 ||
            !ledger.fits(item.pieces_, item.alone_))
        {
            continue;
        }
        const core::duration wait =
            timeline_.backlog(name, item.interactive_, now);
        if (wait > most_backlog)
        {
            continue;
        }
        place at;
        at.prefill_ = name;
        at.prefill_time_ = prefill_time(item, name);
        at.first_token_ = now + wait + at.prefill_time_ +
                          estimates_.hand_over(item.prompt_tokens_);
        if (!best || at.first_token_ < best->first_token_)
        {
            best = at;
        }
    }
    return best;
}

bool pool_scheduler::choose_decode(
    const want& item, place& at, core::time_point now) const
{
    const endpoint_ledger* best = nullptr;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.facts().can_decode() || !ledger.usable(now) ||
            item.avoid_.count(name) != 0 ||
            !ledger.fits(item.pieces_, item.alone_))
        {
            continue;
        }
        if (best == nullptr || ledger.running() < best->running())
        {
            best = &ledger;
            at.decode_ = name;
        }
    }
    if (best != nullptr)
    {
        return true;
    }
    if (!std::holds_alternative<reserve_ahead>(policy_))
    {
        return false;
    }
    // No memory is free, but some may be by the time the prefill ends.
    core::time_point soonest = at.first_token_;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (item.alone_ || !ledger.facts().can_decode() ||
            !ledger.usable(now) || item.avoid_.count(name) != 0 ||
            !ledger.window().warm())
        {
            continue;
        }
        // Twice the memory has to be expected, since guesses of ends err.
        const auto free = ledger.free_at(item.pieces_ * promise_margin, now);
        if (free && *free <= soonest)
        {
            soonest = *free;
            at.decode_ = name;
            at.promised_ = true;
        }
    }
    return at.promised_;
}

std::optional<pool_scheduler::place> pool_scheduler::find_call(
    const want& item, core::time_point now)
{
    std::optional<place> best;
    std::int64_t least = 0;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.usable(now) || item.avoid_.count(name) != 0 ||
            !ledger.fits(item.pieces_, item.alone_))
        {
            continue;
        }
        if (!best || ledger.running() < least)
        {
            best.emplace();
            best->decode_ = name;
            best->first_token_ = now;
            least = ledger.running();
        }
    }
    return best;
}

core::endpoint_id pool_scheduler::choose_baseline(
    const want& item, bool prefill, core::time_point now)
{
    std::vector<core::endpoint_id> able;
    for (const auto& [name, ledger] : ledgers_)
    {
        const endpoint_facts& facts = ledger.facts();
        const bool fits_kind =
            facts.kind_ == work_kind::call ||
            (prefill ? facts.can_prefill() : facts.can_decode());
        if (fits_kind && ledger.usable(now) && item.avoid_.count(name) == 0)
        {
            able.push_back(name);
        }
    }
    if (able.empty())
    {
        return {};
    }
    return choose_unchecked(policy_, able, reported_running_, prefill);
}

bool pool_scheduler::unchecked_place(
    const want& item, place& at, core::time_point now)
{
    at.first_token_ = now;
    if (is_call(item))
    {
        at.decode_ = choose_baseline(item, false, now);
        return !at.decode_.empty();
    }
    at.prefill_ = choose_baseline(item, true, now);
    at.promised_ = std::holds_alternative<prefill_first>(policy_);
    if (!at.promised_)
    {
        at.decode_ = choose_baseline(item, false, now);
    }
    return !at.prefill_.empty() && (at.promised_ || !at.decode_.empty());
}

std::optional<pool_scheduler::place> pool_scheduler::find_place(
    const want& item, core::time_point now)
{
    if (!checks_memory(policy_))
    {
        place at;
        return unchecked_place(item, at, now) ? std::optional(at)
                                              : std::nullopt;
    }
    if (is_call(item))
    {
        return find_call(item, now);
    }
    std::optional<place> at = find_prefill(item, now);
    if (!at || !choose_decode(item, *at, now))
    {
        return std::nullopt;
    }
    return at;
}

void pool_scheduler::reserve_memory(const want& item, const place& at)
{
    const std::int64_t likely = estimates_.likely_output(item.output_tokens_);
    const expected_end until{
        at.first_token_ + estimates_.decode(likely),
        at.first_token_ + estimates_.decode(item.output_tokens_)};
    endpoint_ledger& decode = ledgers_.at(at.decode_);
    core::check_invariant(
        !decode.facts().leaving_, "a leaving endpoint gets no new work");
    if (at.promised_)
    {
        decode.promise(item.attempt_, item.pieces_, until);
    }
    else
    {
        decode.reserve(item.attempt_, item.pieces_, item.alone_, until);
    }
    if (!at.prefill_.empty() && at.prefill_ != at.decode_)
    {
        const expected_end prefilled{at.first_token_, at.first_token_};
        ledgers_.at(at.prefill_)
            .reserve(item.attempt_, item.pieces_, item.alone_, prefilled);
    }
}

void pool_scheduler::give(
    want item, const place& at, actions& out, core::time_point now)
{
    const bool checked = checks_memory(policy_);
    if (checked)
    {
        reserve_memory(item, at);
    }
    if (!at.prefill_.empty())
    {
        timeline_.add(at.prefill_, item.interactive_, at.prefill_time_, now);
    }
    ++counts_.granted_;
    counts_.promised_ += at.promised_ ? 1 : 0;
    grant given;
    given.attempt_ = item.attempt_;
    given.prefill_ = at.prefill_;
    given.forecast_ = at.first_token_ - now;
    given.promised_ = at.promised_;
    // A baseline that places the decode later names no endpoint yet.
    given.decode_ = at.promised_ && !checked ? core::endpoint_id() : at.decode_;
    out.push_back(given);
    running_[given.attempt_] = {
        std::move(item), at.prefill_, at.decode_, false, now};
}

bool pool_scheduler::too_late(const want& item, core::time_point now) const
{
    if (is_call(item))
    {
        return now >= item.first_token_due_;
    }
    const core::time_point first = now +
                                   estimates_.prefill(item.prompt_tokens_) +
                                   estimates_.hand_over(item.prompt_tokens_);
    return first > item.first_token_due_;
}

bool pool_scheduler::could_ever_fit(const want& item) const
{
    return std::any_of(
        ledgers_.begin(),
        ledgers_.end(),
        [&](const auto& pair)
        {
            const endpoint_facts& facts = pair.second.facts();
            const bool able = is_call(item) ? facts.kind_ == work_kind::call
                                            : facts.can_decode();
            return able && !facts.leaving_ && item.pieces_ <= facts.pieces_ &&
                   item.avoid_.count(facts.name_) == 0;
        });
}

bool pool_scheduler::has_usable(const want& item, core::time_point now) const
{
    bool prefill = is_call(item);
    bool decode = false;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.usable(now) || item.avoid_.count(name) != 0)
        {
            continue;
        }
        prefill = prefill || ledger.facts().can_prefill();
        decode = decode || is_call(item) || ledger.facts().can_decode();
    }
    return prefill && decode;
}

void pool_scheduler::refuse_placeless(actions& out, core::time_point now)
{
    const auto placeless = queue_.take_all(
        [&](const want& item)
        {
            return !has_usable(item, now);
        });
    for (const want& item : placeless)
    {
        refuse(item, refusal_reason::none_usable, out, now);
    }
}

core::duration pool_scheduler::forecast_decode_wait(
    const want& item, std::int64_t ahead, core::time_point now) const
{
    // Each place serves one request after another; the places work side by
    // side. What is ahead is taken to be like this request.
    std::int64_t places = 0;
    core::time_point soonest{now + most_retry};
    for (const auto& [name, ledger] : ledgers_)
    {
        const bool able = is_call(item) || ledger.facts().can_decode();
        if (!able || !ledger.usable(now))
        {
            continue;
        }
        places += std::min(
            ledger.window().window(),
            ledger.facts().pieces_ / std::max<std::int64_t>(item.pieces_, 1));
        const auto free = ledger.free_at(item.pieces_, now);
        soonest = free ? std::min(soonest, *free) : soonest;
    }
    if (places == 0)
    {
        return most_retry;
    }
    const core::duration each =
        estimates_.decode(estimates_.likely_output(item.output_tokens_));
    return (soonest - now) + core::duration{ahead * each.ms_ / places};
}

core::duration pool_scheduler::forecast_prefill_wait(
    const want& item, std::int64_t ahead, core::time_point now) const
{
    std::int64_t engines = 0;
    core::duration shortest = most_retry;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (ledger.facts().can_prefill() && ledger.usable(now))
        {
            ++engines;
            shortest = std::min(
                shortest, timeline_.backlog(name, item.interactive_, now));
        }
    }
    if (engines == 0)
    {
        return most_retry;
    }
    const core::duration each = estimates_.prefill(item.prompt_tokens_);
    return shortest + core::duration{ahead * each.ms_ / engines};
}

core::duration pool_scheduler::forecast_wait(
    const want& item, core::time_point now) const
{
    const auto ahead = static_cast<std::int64_t>(queue_.ahead_of(item));
    const core::duration decode = forecast_decode_wait(item, ahead, now);
    if (is_call(item))
    {
        return decode;
    }
    // The two sides work at once: the slower one decides.
    return std::max(decode, forecast_prefill_wait(item, ahead, now));
}

core::duration pool_scheduler::forecast_first_token(
    const want& item, core::time_point now) const
{
    const core::duration wait = forecast_wait(item, now);
    if (is_call(item))
    {
        return wait;
    }
    return wait + estimates_.prefill(item.prompt_tokens_) +
           estimates_.hand_over(item.prompt_tokens_);
}

void pool_scheduler::refuse(
    const want& item, refusal_reason reason, actions& out, core::time_point now)
{
    ++counts_.refused_;
    const core::duration wait =
        std::clamp(forecast_wait(item, now), least_retry, most_retry);
    out.push_back(refusal{item.attempt_, reason, wait});
}

std::vector<pool_action> pool_scheduler::ask(want item, core::time_point now)
{
    actions out;
    if (now < grants_from_)
    {
        out.push_back(refusal{
            item.attempt_, refusal_reason::taking_over, grants_from_ - now});
        return out;
    }
    if (!could_ever_fit(item))
    {
        refuse(item, refusal_reason::no_endpoint, out, now);
        return out;
    }
    if (!has_usable(item, now))
    {
        // Another zone may have some: it should not wait here for its end.
        refuse(item, refusal_reason::none_usable, out, now);
        return out;
    }
    if (queue_.size() >= longest_queue)
    {
        refuse(item, refusal_reason::queue_full, out, now);
        return out;
    }
    if (too_late(item, now))
    {
        refuse(item, refusal_reason::target_missed, out, now);
        return out;
    }
    const core::attempt_id attempt = item.attempt_;
    queue_.push(std::move(item));
    dispatch(out, now);
    if (running_.count(attempt) != 0)
    {
        return out;
    }
    const auto hopeless = queue_.take_all(
        [&](const want& waiting)
        {
            return waiting.attempt_ == attempt &&
                   now + forecast_first_token(waiting, now) >
                       waiting.first_token_due_;
        });
    for (const want& waiting : hopeless)
    {
        refuse(waiting, refusal_reason::target_missed, out, now);
    }
    return out;
}

void pool_scheduler::dispatch(actions& out, core::time_point now)
{
    if (now < grants_from_)
    {
        return;
    }
    std::optional<place> found;
    const auto can_place = [&](const want& item)
    {
        found = find_place(item, now);
        return found.has_value();
    };
    while (std::optional<want> next = queue_.take(can_place, now))
    {
        if (too_late(*next, now))
        {
            refuse(*next, refusal_reason::target_missed, out, now);
            continue;
        }
        give(std::move(*next), *found, out, now);
    }
}

void pool_scheduler::keep_promises(actions& out, core::time_point now)
{
    for (auto& [name, ledger] : ledgers_)
    {
        for (const core::attempt_id& attempt : ledger.keep_promises(now))
        {
            const auto found = running_.find(attempt);
            if (found != running_.end() && found->second.waits_for_decode_)
            {
                found->second.waits_for_decode_ = false;
                out.push_back(confirmation{attempt});
            }
        }
    }
}

std::vector<pool_action> pool_scheduler::place_decode(
    const core::attempt_id& attempt, core::time_point now)
{
    actions out;
    const auto found = running_.find(attempt);
    if (found == running_.end())
    {
        out.push_back(refusal{attempt, refusal_reason::no_endpoint, {}});
        return out;
    }
    running_request& about = found->second;
    if (!checks_memory(policy_))
    {
        about.decode_ = choose_baseline(about.item_, false, now);
        out.push_back(grant{attempt, about.prefill_, about.decode_, {}, false});
        return out;
    }
    const auto ledger = ledgers_.find(about.decode_);
    if (ledger != ledgers_.end() && ledger->second.holds(attempt))
    {
        out.push_back(confirmation{attempt});
        return out;
    }
    about.waits_for_decode_ = true;
    keep_promises(out, now);
    return out;
}

std::vector<pool_action> pool_scheduler::transferred(
    const core::attempt_id& attempt, core::time_point now)
{
    actions out;
    const auto found = running_.find(attempt);
    if (found != running_.end())
    {
        end_prefill(found->second, now);
        dispatch(out, now);
    }
    return out;
}

void pool_scheduler::end_prefill(
    const running_request& about, core::time_point now)
{
    const auto ledger = ledgers_.find(about.prefill_);
    if (ledger == ledgers_.end() || about.prefill_ == about.decode_)
    {
        return;
    }
    if (ledger->second.release(about.item_.attempt_, true, now))
    {
        ledger->second.completed(now);
    }
}

void pool_scheduler::forget(
    const core::attempt_id& attempt, bool freed, core::time_point now)
{
    const auto found = running_.find(attempt);
    if (found == running_.end())
    {
        return;
    }
    for (const core::endpoint_id& used :
         {found->second.prefill_, found->second.decode_})
    {
        const auto ledger = ledgers_.find(used);
        if (ledger != ledgers_.end())
        {
            ledger->second.release(attempt, freed, now);
        }
    }
    running_.erase(found);
}

void pool_scheduler::notice_cold(
    const running_request& about, const ending& how, core::time_point now)
{
    const auto prefill = ledgers_.find(about.prefill_);
    if (prefill != ledgers_.end() && estimates_.prefill_looks_cold(how))
    {
        prefill->second.cooled(now);
    }
    const auto decode = ledgers_.find(about.decode_);
    if (decode != ledgers_.end() && estimates_.decode_looks_cold(how))
    {
        decode->second.cooled(now);
    }
}

std::vector<pool_action> pool_scheduler::end(
    const ending& how, core::time_point now)
{
    actions out;
    queue_.remove(how.attempt_);
    const auto found = running_.find(how.attempt_);
    if (found != running_.end())
    {
        const running_request& about = found->second;
        notice_cold(about, how, now);
        estimates_.learn(about.item_, how);
        queue_.correct(
            about.item_.account_,
            about.item_.weight_,
            how.output_tokens_ - about.item_.output_tokens_);
        const auto decode = ledgers_.find(about.decode_);
        if (how.completed_ && decode != ledgers_.end())
        {
            decode->second.completed(now);
        }
        forget(how.attempt_, how.freed_, now);
    }
    const auto lost = ledgers_.find(how.lost_endpoint_);
    if (how.endpoint_lost_ && lost != ledgers_.end())
    {
        lost->second.broke(now);
        prefixes_.forget(how.lost_endpoint_);
    }
    keep_promises(out, now);
    dispatch(out, now);
    return out;
}

void pool_scheduler::renew(
    const core::attempt_id& attempt,
    const core::endpoint_id& decode,
    std::int64_t pieces,
    core::time_point now)
{
    const auto found = running_.find(attempt);
    if (found != running_.end())
    {
        found->second.renewed_at_ = now;
        return;
    }
    const auto ledger = ledgers_.find(decode);
    if (ledger == ledgers_.end())
    {
        return;
    }
    ledger->second.adopt(attempt, pieces, now);
    if (!ledger->second.holds(attempt))
    {
        return;
    }
    want item;
    item.attempt_ = attempt;
    item.pieces_ = pieces;
    running_[attempt] = {std::move(item), "", decode, false, now};
}

std::vector<pool_action> pool_scheduler::report(
    const endpoint_report& from, core::time_point now)
{
    actions out;
    const auto ledger = ledgers_.find(from.endpoint_);
    if (ledger == ledgers_.end())
    {
        return out;
    }
    reported_running_[from.endpoint_] = from.running_;
    if (ledger->second.boot() != from.boot_)
    {
        prefixes_.forget(from.endpoint_);
    }
    for (const core::attempt_id& attempt : ledger->second.on_report(from, now))
    {
        ++counts_.orphans_;
        out.push_back(orphan{from.endpoint_, attempt});
    }
    keep_promises(out, now);
    dispatch(out, now);
    return out;
}

void pool_scheduler::doubt(const core::endpoint_id& endpoint)
{
    const auto ledger = ledgers_.find(endpoint);
    if (ledger != ledgers_.end())
    {
        ledger->second.doubt();
    }
}

void pool_scheduler::no_report(
    const core::endpoint_id& endpoint, core::time_point now)
{
    const auto ledger = ledgers_.find(endpoint);
    if (ledger != ledgers_.end())
    {
        ledger->second.unreachable(now);
    }
}

std::vector<pool_action> pool_scheduler::host_gone(
    const core::host_id& host, std::uint64_t incarnation, core::time_point now)
{
    actions out;
    const auto is_its = [&](const core::attempt_id& attempt)
    {
        return attempt.host_ == host && attempt.incarnation_ <= incarnation;
    };
    queue_.take_all(
        [&](const want& item)
        {
            return is_its(item.attempt_);
        });
    std::vector<running_request> gone;
    for (const auto& [attempt, about] : running_)
    {
        if (is_its(attempt))
        {
            gone.push_back(about);
        }
    }
    for (const running_request& about : gone)
    {
        forget(about.item_.attempt_, false, now);
        for (const core::endpoint_id& used : {about.prefill_, about.decode_})
        {
            if (!used.empty())
            {
                ++counts_.orphans_;
                out.push_back(orphan{used, about.item_.attempt_});
            }
        }
    }
    keep_promises(out, now);
    dispatch(out, now);
    return out;
}

std::vector<pool_action> pool_scheduler::tick(core::time_point now)
{
    actions out;
    std::vector<running_request> expired;
    for (const auto& [attempt, about] : running_)
    {
        if (now - about.renewed_at_ > renewal_lifetime)
        {
            expired.push_back(about);
        }
    }
    for (const running_request& about : expired)
    {
        ++counts_.expired_;
        forget(about.item_.attempt_, false, now);
        if (!about.decode_.empty())
        {
            out.push_back(orphan{about.decode_, about.item_.attempt_});
        }
    }
    keep_promises(out, now);
    dispatch(out, now);
    refuse_placeless(out, now);
    const auto late = queue_.take_all(
        [&](const want& item)
        {
            return too_late(item, now);
        });
    for (const want& item : late)
    {
        refuse(item, refusal_reason::target_missed, out, now);
    }
    return out;
}

std::string pool_scheduler::boot_of(const core::endpoint_id& endpoint) const
{
    const auto found = ledgers_.find(endpoint);
    return found == ledgers_.end() ? std::string() : found->second.boot();
}

std::vector<endpoint_status> pool_scheduler::status(core::time_point now) const
{
    std::vector<endpoint_status> out;
    for (const auto& [name, ledger] : ledgers_)
    {
        out.push_back(
            {name,
             ledger.used_pieces(),
             ledger.facts().pieces_,
             ledger.running(),
             ledger.window().window(),
             ledger.usable(now)});
    }
    return out;
}

} // namespace poplarroute::policy
