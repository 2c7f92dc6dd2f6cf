#include "node/rollout_controller.hpp"

#include <algorithm>
#include <utility>

#include "core/digest.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

using control::rollout_phase;
using control::rollout_role;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time after its election in which a leader grants no exposure and decides on
/// no trial: earlier leaders' grants end, and all hosts report.
constexpr core::duration takeover_time{
    rollout_grant_validity.ms_ + rollout_report_interval.ms_};

/// The same for a switch, which needs the hosts' reports only.
constexpr core::duration switch_takeover_time{600};

/// Time before the deadline at which a roll-out that is not decided yet ends:
/// for the commit, and for hosts that hear of it.
constexpr core::duration commit_margin{1'000};

/// A report of a live host that is older than this does not show what runs at
/// the host now.
constexpr core::duration report_validity{1'000};

/// Time for which a switch waits for as many endpoints of the target as of the
/// replaced versions. The rest of the deadline is for the switch.
constexpr core::duration min_switch_time{2'000};

/// Routes of a service that are judged apart; further ones count as one.
constexpr std::size_t max_routes = 64;
constexpr const char* other_routes = "other";

/// Host under which the ledger keeps exposure that the leader returned itself.
constexpr const char* own_returns = "";

constexpr double median = 0.5;
constexpr double high_quantile = 0.99;

core::duration elapsed_since_order(const control::rollout& item)
{
    return {core::wall_ms() - item.ordered_at_ms_};
}

policy::rollout_bounds to_bounds(
    const fleet_bounds& bounds, const control::rollout& item)
{
    policy::rollout_bounds out;
    out.share_ = bounds.rollout_share_.value_or(0);
    out.slack_ = bounds.rollout_slack_;
    out.rollback_ = bounds.rollback_time_;
    out.deadline_ = core::duration{item.deadline_ms_};
    return out;
}

std::string key_of(const rollout_cell_message& cell)
{
    return cell.endpoint_ + "\n" + cell.zone_ + "\n" + cell.route_ + "\n" +
           (cell.is_warm_ ? "w" : "c") + (cell.is_target_ ? "t" : "b");
}

} // namespace

rollout_controller::rollout_controller(
    context& with,
    catalog_replica& group,
    std::function<std::vector<core::host_id>()> live_hosts)
    : with_(with),
      group_(group),
      live_hosts_(std::move(live_hosts)),
      random_(static_cast<std::minstd_rand::result_type>(
          core::stable_hash(with.identity().host_)))
{
}

void rollout_controller::start()
{
    with_.calls_.add_typed<rollout_report, rollout_report_reply>(
        method::rollouts_report,
        allowed_callers::host,
        [this](drivers::peer_identity, rollout_report report)
            -> awaitable<core::result<rollout_report_reply>>
        {
            if (!group_.leads())
            {
                co_return core::error{core::errc::not_leader, group_.leader()};
            }
            co_return answer(report);
        });
    drivers::spawn_loop(
        with_.io_,
        "rollout_controller",
        [this]()
        {
            return run();
        });
}

void rollout_controller::begin_leading()
{
    leading_since_ = core::steady_now();
    has_read_state_ = false;
    running_.clear();
}

fleet_bounds rollout_controller::bounds() const
{
    return with_.board_.section<settings_section>().settings_.bounds_;
}

/// \return whether this member leads and knows what earlier leaders have
/// committed.
bool rollout_controller::is_confirmed() const
{
    return group_.leads() && has_read_state_;
}

bool rollout_controller::may_grant() const
{
    return is_confirmed() &&
           core::steady_now() - leading_since_ >= takeover_time;
}

bool rollout_controller::may_decide(const control::rollout& item) const
{
    const core::duration wait = item.phase_ == rollout_phase::switching
                                    ? switch_takeover_time
                                    : takeover_time;
    return is_confirmed() && core::steady_now() - leading_since_ >= wait;
}

std::vector<control::rollout> rollout_controller::to_tell() const
{
    std::vector<control::rollout> out;
    for (const auto& [service, item] : group_.state().rollouts())
    {
        out.push_back(item);
        out.back().steps_.clear();
    }
    return out;
}

rollout_controller::running_rollout& rollout_controller::track(
    const control::rollout& item)
{
    const auto found = running_.find(item.service_);
    if (found != running_.end() && found->second.id_ == item.id_)
    {
        return found->second;
    }
    running_.erase(item.service_);
    const policy::rollout_bounds limits = to_bounds(bounds(), item);
    running_rollout state{
        item.id_,
        policy::exposure_ledger(limits.share_, limits.slack_, item.reserved_),
        policy::rollout_evaluator(limits),
        {},
        0,
        {}};
    // The ledger counts what is returned after its first report.
    state.ledger_.set_returned(own_returns, 0, 0);
    return running_.emplace(item.service_, std::move(state)).first->second;
}

rollout_report_reply rollout_controller::answer(const rollout_report& report)
{
    rollout_report_reply out;
    out.is_confirmed_ = is_confirmed();
    for (const rollout_service_report& part : report.services_)
    {
        out.services_.push_back(answer_service(report, part));
    }
    return out;
}

rollout_service_reply rollout_controller::answer_service(
    const rollout_report& report, const rollout_service_report& part)
{
    rollout_service_reply out;
    out.service_ = part.service_;
    const control::rollout* item = group_.state().find_rollout(part.service_);
    if (item == nullptr)
    {
        return out;
    }
    out.id_ = item->id_;
    out.phase_ = item->phase_;
    if (item->id_ != part.id_ || !item->is_running())
    {
        return out;
    }
    running_rollout& state = track(*item);
    process_report& known = state.reports_[{report.host_, report.epoch_}];
    if (report.sequence_ <= known.sequence_)
    {
        return out;
    }
    known.sequence_ = report.sequence_;
    known.at_ = core::steady_now();
    known.phase_ = part.phase_;
    known.baseline_running_ = part.baseline_running_;
    known.is_whole_ = known.is_whole_ || part.is_whole_;
    out.wants_all_ = !known.is_whole_;
    for (const rollout_cell_message& cell : part.cells_)
    {
        policy::rollout_observation& counts = known.cells_[key_of(cell)];
        counts.host_ = report.host_;
        counts.endpoint_ = cell.endpoint_;
        counts.zone_ = cell.zone_;
        counts.route_ = cell.route_;
        counts.is_target_ = cell.is_target_;
        counts.is_warm_ = cell.is_warm_;
        counts.starts_ = cell.starts_;
        counts.good_ = cell.good_;
        counts.bad_ = cell.bad_;
        counts.latencies_ =
            policy::latency_histogram::from_counts(cell.latencies_);
        counts.updated_at_ = known.at_;
    }
    state.ledger_.set_returned(report.host_, report.epoch_, part.returned_);
    if (may_grant() && item->phase_ == rollout_phase::trial)
    {
        out.granted_ = state.ledger_.grant(part.wanted_);
    }
    return out;
}

std::vector<policy::rollout_observation> rollout_controller::observations(
    const running_rollout& state) const
{
    std::vector<policy::rollout_observation> out;
    std::set<std::string> routes;
    for (const auto& [process, report] : state.reports_)
    {
        for (const auto& [key, counts] : report.cells_)
        {
            out.push_back(counts);
            const bool is_separate =
                routes.count(counts.route_) != 0 || routes.size() < max_routes;
            if (is_separate)
            {
                routes.insert(counts.route_);
            }
            else
            {
                out.back().route_ = other_routes;
            }
        }
    }
    return out;
}

awaitable<void> rollout_controller::run()
{
    for (;;)
    {
        co_await drivers::sleep_for(rollout_report_interval);
        if (!group_.leads())
        {
            continue;
        }
        std::vector<control::rollout> all;
        for (const auto& [service, item] : group_.state().rollouts())
        {
            if (item.is_running())
            {
                all.push_back(item);
            }
        }
        forget_ended();
        if (all.empty())
        {
            continue;
        }
        if (!has_read_state_)
        {
            co_await confirm_leadership();
        }
        for (const control::rollout& item : all)
        {
            if (may_decide(item))
            {
                co_await step(item);
            }
        }
    }
}

/// Waits until the state contains all that earlier leaders have committed.
awaitable<void> rollout_controller::confirm_leadership()
{
    const core::time_point since = leading_since_;
    const core::result<core::done> current = co_await group_.read_barrier();
    has_read_state_ = core::is_ok(current) && since == leading_since_;
    if (has_read_state_)
    {
        // What was taken from an earlier state counts nothing.
        running_.clear();
    }
}

void rollout_controller::forget_ended()
{
    std::erase_if(
        running_,
        [this](const auto& known)
        {
            const control::rollout* item =
                group_.state().find_rollout(known.first);
            return item == nullptr || item->id_ != known.second.id_ ||
                   !item->is_running();
        });
}

/// Decides on one roll-out with what is known by now.
awaitable<void> rollout_controller::step(control::rollout item)
{
    running_rollout& state = track(item);
    const std::vector<policy::rollout_observation> cells = observations(state);
    std::int64_t total = 0;
    for (const policy::rollout_observation& cell : cells)
    {
        total += cell.starts_;
    }
    state.ledger_.set_total(total);
    set_metrics(item, state);
    const core::time_point now = core::steady_now();
    const core::duration elapsed = elapsed_since_order(item);
    const core::duration deadline{item.deadline_ms_};
    const bool is_switching = item.phase_ == rollout_phase::switching;
    policy::rollout_decision decision =
        state.evaluator_.evaluate(cells, elapsed, is_switching, now);
    if (decision.verdict_ == policy::rollout_verdict::roll_back)
    {
        co_await advance(
            item, rollout_phase::rolled_back, std::move(decision.reason_));
        co_return;
    }
    if (is_switching)
    {
        std::optional<std::string> completion = find_completion(item, state);
        if (completion)
        {
            co_await advance(
                item, rollout_phase::completed, std::move(*completion));
            co_return;
        }
    }
    if (elapsed >= deadline - commit_margin)
    {
        std::string reason =
            is_switching ? "a host has not taken part in the switch by the "
                           "deadline"
                         : "undecided at the deadline";
        co_await advance(item, rollout_phase::rolled_back, std::move(reason));
        co_return;
    }
    const bool may_wait = elapsed + commit_margin + min_switch_time < deadline;
    if (decision.verdict_ == policy::rollout_verdict::switch_over &&
        !is_switching && (has_enough_targets(item) || !may_wait))
    {
        co_await advance(
            item, rollout_phase::switching, std::move(decision.reason_));
        co_return;
    }
    if (!is_switching)
    {
        co_await reserve(item);
    }
}

/// \return whether the target has at least as many usable endpoints as the
/// versions that it replaces.
bool rollout_controller::has_enough_targets(const control::rollout& item) const
{
    const catalog_section& catalog = with_.board_.section<catalog_section>();
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    const core::time_point now = core::steady_now();
    std::int64_t excess = 0;
    for (const auto& [name, known] : list.endpoints_)
    {
        const listed_endpoint& listed = known.listed_;
        const bool counts = listed.service_ == item.service_ &&
                            is_usable(catalog, list, listed, now) &&
                            !control::is_barred(item, listed.version_);
        if (counts)
        {
            const bool is_target =
                control::role_of(item, listed.version_) == rollout_role::target;
            excess += is_target ? 1 : -1;
        }
    }
    return excess >= 0;
}

/// \return why the switch is complete; nothing while it is not. At the deadline
/// what still runs at replaced versions is given up.
std::optional<std::string> rollout_controller::find_completion(
    const control::rollout& item, running_rollout& state) const
{
    const core::time_point now = core::steady_now();
    std::int64_t running = 0;
    const std::vector<core::host_id> hosts = live_hosts_();
    for (const core::host_id& host : hosts)
    {
        const process_report* latest = nullptr;
        for (const auto& [process, report] : state.reports_)
        {
            const bool is_newer = latest == nullptr || report.at_ > latest->at_;
            if (process.first == host && is_newer)
            {
                latest = &report;
            }
        }
        const bool takes_part = latest != nullptr &&
                                latest->phase_ == rollout_phase::switching &&
                                now - latest->at_ <= report_validity;
        if (!takes_part)
        {
            return std::nullopt;
        }
        running += latest->baseline_running_;
    }
    const bool is_late = elapsed_since_order(item) >=
                         core::duration{item.deadline_ms_} - commit_margin;
    if (hosts.empty() || (running > 0 && !is_late))
    {
        return std::nullopt;
    }
    return std::to_string(hosts.size()) + " hosts send to the target only, " +
           std::to_string(running) + " requests still run at old endpoints";
}

awaitable<void> rollout_controller::reserve(control::rollout item)
{
    const auto next = track(item).ledger_.next_reservation();
    if (!next)
    {
        co_return;
    }
    std::string command = control::encode(control::catalog_command(
        control::reserve_exposure{item.service_, item.id_, *next}));
    const core::result<control::catalog_reply> reply =
        co_await group_.submit(std::move(command));
    const auto found = running_.find(item.service_);
    const bool is_current =
        found != running_.end() && found->second.id_ == item.id_;
    if (core::is_ok(reply) && !core::value(reply).conflicts_ && is_current &&
        is_confirmed())
    {
        found->second.ledger_.reserved(*next);
    }
}

std::vector<std::string> rollout_controller::listed_versions(
    const core::service_id& service, const std::string& target) const
{
    std::set<std::string> versions;
    for (const auto& [name, known] :
         with_.board_.section<endpoint_section>().endpoints_)
    {
        if (known.listed_.service_ == service &&
            known.listed_.version_ != target)
        {
            versions.insert(known.listed_.version_);
        }
    }
    return {versions.begin(), versions.end()};
}

/// Commits a step, which the change of the group's state then announces.
awaitable<void> rollout_controller::advance(
    control::rollout item, rollout_phase phase, std::string reason)
{
    control::advance_rollout step;
    step.service_ = item.service_;
    step.id_ = item.id_;
    step.phase_ = phase;
    step.at_ms_ = core::wall_ms();
    step.reason_ = reason;
    if (phase != rollout_phase::rolled_back)
    {
        step.from_ = listed_versions(item.service_, item.target_);
    }
    const core::time_point began_at = core::steady_now();
    std::string command =
        control::encode(control::catalog_command(std::move(step)));
    const core::result<control::catalog_reply> reply =
        co_await group_.submit(std::move(command));
    const bool is_committed =
        core::is_ok(reply) && !core::value(reply).conflicts_;
    log_event(
        is_committed ? log_level::info : log_level::warning,
        is_committed ? "rollout_step" : "rollout_step_undecided",
        {{"service", item.service_},
         {"rollout", item.id_},
         {"target", item.target_},
         {"phase", std::string(control::to_string(phase))},
         {"elapsed_ms", elapsed_since_order(item).ms_},
         {"deadline_ms", item.deadline_ms_},
         {"commit_ms", (core::steady_now() - began_at).ms_},
         {"reason", reason},
         {"problem",
          core::is_ok(reply) ? std::string() : core::failure(reply).message_}});
    with_.metrics_.count(
        "poplarroute_rollout_steps_total",
        {{"service", item.service_},
         {"phase", std::string(control::to_string(phase))}});
}

void rollout_controller::set_metrics(
    const control::rollout& item, const running_rollout& state)
{
    std::map<bool, role_totals> totals{{false, {}}, {true, {}}};
    for (const auto& [process, report] : state.reports_)
    {
        for (const auto& [key, cell] : report.cells_)
        {
            role_totals& role = totals[cell.is_target_];
            role.starts_ += cell.starts_;
            role.bad_ += cell.bad_;
            role.latencies_.merge(cell.latencies_);
        }
    }
    const std::int64_t all = totals[false].starts_ + totals[true].starts_;
    for (const auto& [is_target, role] : totals)
    {
        const std::string name = is_target ? "target" : "baseline";
        const auto set = [&](const char* metric, double value)
        {
            with_.metrics_.set(
                metric, {{"service", item.service_}, {"role", name}}, value);
        };
        set("poplarroute_rollout_requests", static_cast<double>(role.starts_));
        set("poplarroute_rollout_bad_answers", static_cast<double>(role.bad_));
        set("poplarroute_rollout_share",
            all > 0
                ? static_cast<double>(role.starts_) / static_cast<double>(all)
                : 0);
        set("poplarroute_rollout_median_ms",
            static_cast<double>(role.latencies_.quantile(median).ms_));
        set("poplarroute_rollout_p99_ms",
            static_cast<double>(role.latencies_.quantile(high_quantile).ms_));
    }
    with_.metrics_.set(
        "poplarroute_rollout_phase",
        {{"service", item.service_}},
        static_cast<double>(item.phase_));
}

/// \return the requests that a stream sends to endpoints.
std::int64_t rollout_controller::stream_cost(
    const placement_request& request) const
{
    return request.prompt_is_read_ || request.decode_reads_prompt_ ? 1 : 2;
}

rollout_controller::placement_role rollout_controller::restrict_placement(
    placement_request& request, bool may_try)
{
    const control::rollout* item =
        group_.state().find_rollout(request.service_);
    if (item == nullptr && !request.pins_version_)
    {
        return {};
    }
    const catalog_section& catalog = with_.board_.section<catalog_section>();
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    const bool is_running = item != nullptr && item->is_running();
    const bool is_trial = is_running && item->phase_ == rollout_phase::trial;
    const bool is_pinned_to_target =
        is_running && request.pins_version_ &&
        control::role_of(*item, request.kv_version_) == rollout_role::target;
    bool to_target = is_running && !is_trial && is_confirmed() &&
                     (!request.pins_version_ || is_pinned_to_target);
    std::set<core::endpoint_id> in_turn;
    if (is_trial)
    {
        const double share = bounds().rollout_share_.value_or(0);
        const policy::trial_endpoints decoders =
            trial_endpoints_of(*item, catalog, list, share, false);
        const policy::trial_endpoints readers =
            trial_endpoints_of(*item, catalog, list, share, true);
        in_turn = decoders.names_;
        in_turn.insert(readers.names_.begin(), readers.names_.end());
        const bool is_drawn =
            is_pinned_to_target ||
            (!request.pins_version_ && !decoders.names_.empty() &&
             std::uniform_real_distribution<double>(0, 1)(random_) <
                 decoders.share_);
        running_rollout& state = track(*item);
        const std::int64_t cost = stream_cost(request);
        to_target = may_try && is_drawn && may_grant() &&
                    state.ledger_.available() >= cost &&
                    state.ledger_.grant(cost) == cost;
    }
    for (const auto& [name, known] : list.endpoints_)
    {
        const listed_endpoint& listed = known.listed_;
        if (listed.service_ != request.service_)
        {
            continue;
        }
        const bool is_target =
            is_running &&
            control::role_of(*item, listed.version_) == rollout_role::target;
        const bool is_barred =
            item != nullptr && control::is_barred(*item, listed.version_);
        const bool is_other_version =
            request.pins_version_ && listed.version_ != request.kv_version_;
        const bool is_out_of_turn = is_trial && to_target &&
                                    !is_pinned_to_target &&
                                    in_turn.count(name) == 0;
        const bool is_other_role = is_running && is_target != to_target;
        if (is_barred || is_other_version || is_out_of_turn || is_other_role)
        {
            request.avoid_.push_back(name);
        }
    }
    return {to_target, to_target && is_trial};
}

void rollout_controller::return_exposure(const placement_request& request)
{
    const auto found = running_.find(request.service_);
    if (found == running_.end())
    {
        return;
    }
    running_rollout& state = found->second;
    state.streams_returned_ += stream_cost(request);
    state.ledger_.set_returned(own_returns, 0, state.streams_returned_);
}

} // namespace poplarroute::node
