#include "policy/pool_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "core/invariant.hpp"
#include "core/result.hpp"

namespace poplarroute::policy
{

namespace
{

/// Prefill work up to which an engine is given another prompt. Further requests
/// wait at the owner, where their order can still change.
constexpr core::duration max_prefill_backlog{80};

/// A promise requires this many times the memory to be expected free, since the
/// expected ends of requests are inaccurate.
constexpr std::int64_t promised_memory_factor = 2;

constexpr std::size_t max_queued_requests = 4'096;

/// Entry hosts renew their grants every two seconds; a grant survives three
/// lost renewals.
constexpr core::duration renewal_timeout{8'000};

/// Tokens that are not computed again when the prompt's prefix is cached.
constexpr std::int64_t cached_prefix_tokens = 1'024;
constexpr core::duration min_retry_after{200};
constexpr core::duration max_retry_after{10'000};

} // namespace

pool_scheduler::pool_scheduler(pool_policy policy, core::time_point grants_from)
    : policy_(policy), grants_from_(grants_from)
{
}

bool pool_scheduler::is_call(const pool_request& request) const
{
    return request.prompt_tokens_ == 0 && request.output_tokens_ == 0;
}

std::vector<pool_action> pool_scheduler::set_endpoints(
    std::span<const endpoint_config> endpoints, core::time_point now)
{
    actions out;
    std::set<core::endpoint_id> configured;
    for (const endpoint_config& config : endpoints)
    {
        configured.insert(config.name_);
        const auto [found, inserted] =
            ledgers_.try_emplace(config.name_, endpoint_ledger(config, now));
        if (!inserted)
        {
            found->second.set_config(config);
        }
    }
    std::erase_if(
        ledgers_,
        [&](const auto& entry)
        {
            return configured.count(entry.first) == 0;
        });
    const auto unplaceable = queue_.take_all(
        [&](const pool_request& request)
        {
            return !could_ever_fit(request);
        });
    for (const pool_request& request : unplaceable)
    {
        refuse(request, refusal_reason::no_endpoint, out, now);
    }
    dispatch(out, now);
    return out;
}

void pool_scheduler::allow_grants(core::time_point now)
{
    grants_from_ = std::min(grants_from_, now);
}

std::vector<running_placement> pool_scheduler::running_places() const
{
    std::vector<running_placement> out;
    for (const auto& [attempt, entry] : running_)
    {
        out.push_back({attempt, entry.decode_, entry.request_.pieces_});
    }
    return out;
}

core::duration pool_scheduler::prefill_time(
    const pool_request& request, const core::endpoint_id& on) const
{
    std::int64_t tokens = request.prompt_tokens_;
    if (request.prefix_ != 0 && prefixes_.holds(on, request.prefix_))
    {
        tokens = std::max<std::int64_t>(tokens - cached_prefix_tokens, 1);
    }
    return estimator_.prefill_time(tokens);
}

std::optional<pool_scheduler::candidate_placement>
pool_scheduler::find_prefill_placement(
    const pool_request& request, core::time_point now) const
{
    std::optional<candidate_placement> best;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.config().can_prefill() || !ledger.usable(now) ||
            request.avoid_.count(name) != 0 ||
            !ledger.fits(request.pieces_, request.alone_))
        {
            continue;
        }
        const core::duration wait =
            timeline_.backlog(name, request.interactive_, now);
        if (wait > max_prefill_backlog)
        {
            continue;
        }
        candidate_placement candidate;
        candidate.prefill_ = name;
        candidate.prefill_time_ = prefill_time(request, name);
        candidate.first_token_at_ =
            now + wait + candidate.prefill_time_ +
            estimator_.transfer_time(request.prompt_tokens_);
        if (!best || candidate.first_token_at_ < best->first_token_at_)
        {
            best = candidate;
        }
    }
    return best;
}

bool pool_scheduler::choose_decode(
    const pool_request& request,
    candidate_placement& candidate,
    core::time_point now) const
{
    const endpoint_ledger* best = nullptr;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.config().can_decode() || !ledger.usable(now) ||
            request.avoid_.count(name) != 0 ||
            !ledger.fits(request.pieces_, request.alone_))
        {
            continue;
        }
        if (best == nullptr || ledger.running() < best->running())
        {
            best = &ledger;
            candidate.decode_ = name;
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
    // No memory is free now, but some may be by the end of the prefill.
    core::time_point soonest = candidate.first_token_at_;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (request.alone_ || !ledger.config().can_decode() ||
            !ledger.usable(now) || request.avoid_.count(name) != 0 ||
            !ledger.request_limit().warm())
        {
            continue;
        }
        const auto free =
            ledger.free_at(request.pieces_ * promised_memory_factor, now);
        if (free && *free <= soonest)
        {
            soonest = *free;
            candidate.decode_ = name;
            candidate.promised_ = true;
        }
    }
    return candidate.promised_;
}

std::optional<pool_scheduler::candidate_placement>
pool_scheduler::find_call_placement(
    const pool_request& request, core::time_point now)
{
    std::optional<candidate_placement> best;
    std::int64_t min_running = 0;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.usable(now) || request.avoid_.count(name) != 0 ||
            !ledger.fits(request.pieces_, request.alone_))
        {
            continue;
        }
        if (!best || ledger.running() < min_running)
        {
            best.emplace();
            best->decode_ = name;
            best->first_token_at_ = now;
            min_running = ledger.running();
        }
    }
    return best;
}

core::endpoint_id pool_scheduler::choose_baseline_endpoint(
    const pool_request& request, bool prefill, core::time_point now)
{
    std::vector<core::endpoint_id> candidates;
    for (const auto& [name, ledger] : ledgers_)
    {
        const endpoint_config& config = ledger.config();
        const bool kind_matches =
            config.kind_ == work_kind::call ||
            (prefill ? config.can_prefill() : config.can_decode());
        if (kind_matches && ledger.usable(now) &&
            request.avoid_.count(name) == 0)
        {
            candidates.push_back(name);
        }
    }
    if (candidates.empty())
    {
        return {};
    }
    return choose_without_memory_check(
        policy_, candidates, reported_running_, prefill);
}

bool pool_scheduler::choose_baseline_placement(
    const pool_request& request,
    candidate_placement& candidate,
    core::time_point now)
{
    candidate.first_token_at_ = now;
    if (is_call(request))
    {
        candidate.decode_ = choose_baseline_endpoint(request, false, now);
        return !candidate.decode_.empty();
    }
    candidate.prefill_ = choose_baseline_endpoint(request, true, now);
    candidate.promised_ = std::holds_alternative<prefill_first>(policy_);
    if (!candidate.promised_)
    {
        candidate.decode_ = choose_baseline_endpoint(request, false, now);
    }
    return !candidate.prefill_.empty() &&
           (candidate.promised_ || !candidate.decode_.empty());
}

std::optional<pool_scheduler::candidate_placement>
pool_scheduler::find_placement(
    const pool_request& request, core::time_point now)
{
    if (!checks_memory(policy_))
    {
        candidate_placement candidate;
        return choose_baseline_placement(request, candidate, now)
                   ? std::optional(candidate)
                   : std::nullopt;
    }
    if (is_call(request))
    {
        return find_call_placement(request, now);
    }
    std::optional<candidate_placement> candidate =
        find_prefill_placement(request, now);
    if (!candidate || !choose_decode(request, *candidate, now))
    {
        return std::nullopt;
    }
    return candidate;
}

void pool_scheduler::reserve_memory(
    const pool_request& request, const candidate_placement& candidate)
{
    const std::int64_t likely =
        estimator_.expected_output_tokens(request.output_tokens_);
    const expected_end until{
        candidate.first_token_at_ + estimator_.decode_time(likely),
        candidate.first_token_at_ +
            estimator_.decode_time(request.output_tokens_)};
    endpoint_ledger& decode = ledgers_.at(candidate.decode_);
    core::check_invariant(
        !decode.config().leaving_, "a leaving endpoint gets no new work");
    if (candidate.promised_)
    {
        decode.promise(request.attempt_, request.pieces_, until);
    }
    else
    {
        decode.reserve(
            request.attempt_, request.pieces_, request.alone_, until);
    }
    if (!candidate.prefill_.empty() && candidate.prefill_ != candidate.decode_)
    {
        const expected_end prefilled{
            candidate.first_token_at_, candidate.first_token_at_};
        ledgers_.at(candidate.prefill_)
            .reserve(
                request.attempt_, request.pieces_, request.alone_, prefilled);
    }
}

void pool_scheduler::grant_placement(
    pool_request request,
    const candidate_placement& candidate,
    actions& out,
    core::time_point now)
{
    const bool checked = checks_memory(policy_);
    if (checked)
    {
        reserve_memory(request, candidate);
    }
    if (!candidate.prefill_.empty())
    {
        timeline_.add(
            candidate.prefill_,
            request.interactive_,
            candidate.prefill_time_,
            now);
    }
    ++counts_.granted_;
    counts_.promised_ += candidate.promised_ ? 1 : 0;
    grant given;
    given.attempt_ = request.attempt_;
    given.prefill_ = candidate.prefill_;
    given.time_to_first_token_ = candidate.first_token_at_ - now;
    given.promised_ = candidate.promised_;
    // A baseline that chooses the decode endpoint later names none yet.
    given.decode_ = candidate.promised_ && !checked ? core::endpoint_id()
                                                    : candidate.decode_;
    out.push_back(given);
    running_[given.attempt_] = {
        std::move(request), candidate.prefill_, candidate.decode_, false, now};
}

bool pool_scheduler::misses_deadline(
    const pool_request& request, core::time_point now) const
{
    if (is_call(request))
    {
        return now >= request.first_token_deadline_;
    }
    const core::time_point first_token_at =
        now + estimator_.prefill_time(request.prompt_tokens_) +
        estimator_.transfer_time(request.prompt_tokens_);
    return first_token_at > request.first_token_deadline_;
}

bool pool_scheduler::could_ever_fit(const pool_request& request) const
{
    return std::any_of(
        ledgers_.begin(),
        ledgers_.end(),
        [&](const auto& pair)
        {
            const endpoint_config& config = pair.second.config();
            const bool can_serve = is_call(request)
                                       ? config.kind_ == work_kind::call
                                       : config.can_decode();
            return can_serve && !config.leaving_ &&
                   request.pieces_ <= config.pieces_ &&
                   request.avoid_.count(config.name_) == 0;
        });
}

bool pool_scheduler::has_usable_endpoints(
    const pool_request& request, core::time_point now) const
{
    bool prefill = is_call(request);
    bool decode = false;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (!ledger.usable(now) || request.avoid_.count(name) != 0)
        {
            continue;
        }
        prefill = prefill || ledger.config().can_prefill();
        decode = decode || is_call(request) || ledger.config().can_decode();
    }
    return prefill && decode;
}

void pool_scheduler::refuse_unplaceable(actions& out, core::time_point now)
{
    const auto unplaceable = queue_.take_all(
        [&](const pool_request& request)
        {
            return !has_usable_endpoints(request, now);
        });
    for (const pool_request& request : unplaceable)
    {
        refuse(request, refusal_reason::none_usable, out, now);
    }
}

core::duration pool_scheduler::forecast_decode_wait(
    const pool_request& request, std::int64_t ahead, core::time_point now) const
{
    // Models the endpoints as parallel slots that each serve one request after
    // another, and assumes that the requests ahead are of the same size.
    std::int64_t slots = 0;
    core::time_point soonest{now + max_retry_after};
    for (const auto& [name, ledger] : ledgers_)
    {
        const bool can_serve = is_call(request) || ledger.config().can_decode();
        if (!can_serve || !ledger.usable(now))
        {
            continue;
        }
        slots += std::min(
            ledger.request_limit().window(),
            ledger.config().pieces_ /
                std::max<std::int64_t>(request.pieces_, 1));
        const auto free = ledger.free_at(request.pieces_, now);
        soonest = free ? std::min(soonest, *free) : soonest;
    }
    if (slots == 0)
    {
        return max_retry_after;
    }
    const core::duration per_request = estimator_.decode_time(
        estimator_.expected_output_tokens(request.output_tokens_));
    return (soonest - now) + core::duration{ahead * per_request.ms_ / slots};
}

core::duration pool_scheduler::forecast_prefill_wait(
    const pool_request& request, std::int64_t ahead, core::time_point now) const
{
    std::int64_t engines = 0;
    core::duration shortest = max_retry_after;
    for (const auto& [name, ledger] : ledgers_)
    {
        if (ledger.config().can_prefill() && ledger.usable(now))
        {
            ++engines;
            shortest = std::min(
                shortest, timeline_.backlog(name, request.interactive_, now));
        }
    }
    if (engines == 0)
    {
        return max_retry_after;
    }
    const core::duration per_request =
        estimator_.prefill_time(request.prompt_tokens_);
    return shortest + core::duration{ahead * per_request.ms_ / engines};
}

core::duration pool_scheduler::forecast_wait(
    const pool_request& request, core::time_point now) const
{
    const auto ahead =
        static_cast<std::int64_t>(queue_.count_ahead_of(request));
    const core::duration decode = forecast_decode_wait(request, ahead, now);
    if (is_call(request))
    {
        return decode;
    }
    // Prefill and decode run in parallel, so the longer wait decides.
    return std::max(decode, forecast_prefill_wait(request, ahead, now));
}

core::duration pool_scheduler::forecast_first_token(
    const pool_request& request, core::time_point now) const
{
    const core::duration wait = forecast_wait(request, now);
    if (is_call(request))
    {
        return wait;
    }
    return wait + estimator_.prefill_time(request.prompt_tokens_) +
           estimator_.transfer_time(request.prompt_tokens_);
}

void pool_scheduler::refuse(
    const pool_request& request,
    refusal_reason reason,
    actions& out,
    core::time_point now)
{
    ++counts_.refused_;
    const core::duration wait = std::clamp(
        forecast_wait(request, now), min_retry_after, max_retry_after);
    out.push_back(refusal{request.attempt_, reason, wait});
}

std::vector<pool_action> pool_scheduler::ask(
    pool_request request, core::time_point now)
{
    actions out;
    if (now < grants_from_)
    {
        out.push_back(refusal{
            request.attempt_, refusal_reason::taking_over, grants_from_ - now});
        return out;
    }
    if (!could_ever_fit(request))
    {
        refuse(request, refusal_reason::no_endpoint, out, now);
        return out;
    }
    if (!has_usable_endpoints(request, now))
    {
        // Refused at once rather than queued, since another zone may have
        // usable endpoints.
        refuse(request, refusal_reason::none_usable, out, now);
        return out;
    }
    if (queue_.size() >= max_queued_requests)
    {
        refuse(request, refusal_reason::queue_full, out, now);
        return out;
    }
    if (misses_deadline(request, now))
    {
        refuse(request, refusal_reason::target_missed, out, now);
        return out;
    }
    const core::attempt_id attempt = request.attempt_;
    queue_.push(std::move(request));
    dispatch(out, now);
    if (running_.count(attempt) != 0)
    {
        return out;
    }
    const auto late = queue_.take_all(
        [&](const pool_request& waiting)
        {
            return waiting.attempt_ == attempt &&
                   now + forecast_first_token(waiting, now) >
                       waiting.first_token_deadline_;
        });
    for (const pool_request& waiting : late)
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
    std::optional<candidate_placement> found;
    const auto can_place = [&](const pool_request& request)
    {
        found = find_placement(request, now);
        return found.has_value();
    };
    while (std::optional<pool_request> next = queue_.take(can_place, now))
    {
        if (misses_deadline(*next, now))
        {
            refuse(*next, refusal_reason::target_missed, out, now);
            continue;
        }
        grant_placement(std::move(*next), *found, out, now);
    }
}

void pool_scheduler::confirm_promises(actions& out, core::time_point now)
{
    for (auto& [name, ledger] : ledgers_)
    {
        for (const core::attempt_id& attempt : ledger.confirm_promises(now))
        {
            const auto found = running_.find(attempt);
            if (found != running_.end() && found->second.awaits_decode_memory_)
            {
                found->second.awaits_decode_memory_ = false;
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
    running_request& entry = found->second;
    if (!checks_memory(policy_))
    {
        entry.decode_ = choose_baseline_endpoint(entry.request_, false, now);
        out.push_back(grant{attempt, entry.prefill_, entry.decode_, {}, false});
        return out;
    }
    const auto ledger = ledgers_.find(entry.decode_);
    if (ledger != ledgers_.end() && ledger->second.holds(attempt))
    {
        out.push_back(confirmation{attempt});
        return out;
    }
    entry.awaits_decode_memory_ = true;
    confirm_promises(out, now);
    return out;
}

std::vector<pool_action> pool_scheduler::transferred(
    const core::attempt_id& attempt, core::time_point now)
{
    actions out;
    const auto found = running_.find(attempt);
    if (found != running_.end())
    {
        release_prefill(found->second, now);
        dispatch(out, now);
    }
    return out;
}

void pool_scheduler::release_prefill(
    const running_request& entry, core::time_point now)
{
    const auto ledger = ledgers_.find(entry.prefill_);
    if (ledger == ledgers_.end() || entry.prefill_ == entry.decode_)
    {
        return;
    }
    if (ledger->second.release(entry.request_.attempt_, true, now))
    {
        ledger->second.on_completed(now);
    }
}

void pool_scheduler::release_attempt(
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

void pool_scheduler::detect_cold_endpoints(
    const running_request& entry, const ending& outcome, core::time_point now)
{
    const auto prefill = ledgers_.find(entry.prefill_);
    if (prefill != ledgers_.end() && estimator_.prefill_looks_cold(outcome))
    {
        prefill->second.on_cold_response(now);
    }
    const auto decode = ledgers_.find(entry.decode_);
    if (decode != ledgers_.end() && estimator_.decode_looks_cold(outcome))
    {
        decode->second.on_cold_response(now);
    }
}

std::vector<pool_action> pool_scheduler::end(
    const ending& outcome, core::time_point now)
{
    actions out;
    queue_.remove(outcome.attempt_);
    const auto found = running_.find(outcome.attempt_);
    if (found != running_.end())
    {
        const running_request& entry = found->second;
        detect_cold_endpoints(entry, outcome, now);
        estimator_.update(entry.request_, outcome);
        queue_.adjust_served(
            entry.request_.account_,
            entry.request_.weight_,
            outcome.output_tokens_ - entry.request_.output_tokens_);
        const auto decode = ledgers_.find(entry.decode_);
        if (outcome.completed_ && decode != ledgers_.end())
        {
            decode->second.on_completed(now);
        }
        release_attempt(outcome.attempt_, outcome.freed_, now);
    }
    const auto lost = ledgers_.find(outcome.lost_endpoint_);
    if (outcome.endpoint_lost_ && lost != ledgers_.end())
    {
        lost->second.on_failure(now);
        prefixes_.forget(outcome.lost_endpoint_);
    }
    confirm_promises(out, now);
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
    pool_request request;
    request.attempt_ = attempt;
    request.pieces_ = pieces;
    running_[attempt] = {std::move(request), "", decode, false, now};
}

std::vector<pool_action> pool_scheduler::report(
    const endpoint_report& received, core::time_point now)
{
    actions out;
    const auto ledger = ledgers_.find(received.endpoint_);
    if (ledger == ledgers_.end())
    {
        return out;
    }
    reported_running_[received.endpoint_] = received.running_;
    if (ledger->second.boot() != received.boot_)
    {
        prefixes_.forget(received.endpoint_);
    }
    for (const core::attempt_id& attempt :
         ledger->second.on_report(received, now))
    {
        ++counts_.orphans_;
        out.push_back(orphan{received.endpoint_, attempt});
    }
    confirm_promises(out, now);
    dispatch(out, now);
    return out;
}

void pool_scheduler::on_connection_lost(const core::endpoint_id& endpoint)
{
    const auto ledger = ledgers_.find(endpoint);
    if (ledger != ledgers_.end())
    {
        ledger->second.on_connection_lost();
    }
}

void pool_scheduler::on_report_failed(
    const core::endpoint_id& endpoint, core::time_point now)
{
    const auto ledger = ledgers_.find(endpoint);
    if (ledger != ledgers_.end())
    {
        ledger->second.on_report_failed(now);
    }
}

std::vector<pool_action> pool_scheduler::host_gone(
    const core::host_id& host, std::uint64_t incarnation, core::time_point now)
{
    actions out;
    const auto belongs_to_host = [&](const core::attempt_id& attempt)
    {
        return attempt.host_ == host && attempt.incarnation_ <= incarnation;
    };
    queue_.take_all(
        [&](const pool_request& request)
        {
            return belongs_to_host(request.attempt_);
        });
    std::vector<running_request> gone;
    for (const auto& [attempt, entry] : running_)
    {
        if (belongs_to_host(attempt))
        {
            gone.push_back(entry);
        }
    }
    for (const running_request& entry : gone)
    {
        release_attempt(entry.request_.attempt_, false, now);
        for (const core::endpoint_id& used : {entry.prefill_, entry.decode_})
        {
            if (!used.empty())
            {
                ++counts_.orphans_;
                out.push_back(orphan{used, entry.request_.attempt_});
            }
        }
    }
    confirm_promises(out, now);
    dispatch(out, now);
    return out;
}

std::vector<pool_action> pool_scheduler::tick(core::time_point now)
{
    actions out;
    std::vector<running_request> expired;
    for (const auto& [attempt, entry] : running_)
    {
        if (now - entry.renewed_at_ > renewal_timeout)
        {
            expired.push_back(entry);
        }
    }
    for (const running_request& entry : expired)
    {
        ++counts_.expired_;
        release_attempt(entry.request_.attempt_, false, now);
        if (!entry.decode_.empty())
        {
            out.push_back(orphan{entry.decode_, entry.request_.attempt_});
        }
    }
    confirm_promises(out, now);
    dispatch(out, now);
    refuse_unplaceable(out, now);
    const auto late = queue_.take_all(
        [&](const pool_request& request)
        {
            return misses_deadline(request, now);
        });
    for (const pool_request& request : late)
    {
        refuse(request, refusal_reason::target_missed, out, now);
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
             ledger.config().pieces_,
             ledger.running(),
             ledger.request_limit().window(),
             ledger.usable(now)});
    }
    return out;
}

} // namespace poplarroute::policy
