#include "node/rollout_client.hpp"

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

/// Timeout of a report. A later reply would renew less than half of a lease.
constexpr core::duration report_timeout{800};

/// Routes of a service that are counted apart; further ones count as one.
constexpr std::size_t max_routes = 64;
constexpr const char* other_routes = "other";

/// Cells up to which the target's endpoints are counted apart, so that a host
/// that sends to many of them over a day keeps the leader's memory bounded.
constexpr std::size_t max_named_cells = 256;

/// Time after its start in which an endpoint's answers are slower than usual.
constexpr core::duration just_started_time{2'000};

/// Weight of a report interval in the running mean of the request rate.
constexpr double rate_smoothing = 0.3;

constexpr double ms_per_second = 1'000;

} // namespace

rollout_send::rollout_send(
    rollout_client& client, const known_endpoint& to, const std::string& route)
    : client_(client),
      service_(to.listed_.service_),
      version_(to.listed_.version_)
{
    ++client_.active_sends_[{service_, version_}];
    const control::rollout* item = client_.find(service_);
    if (item == nullptr || !item->is_running())
    {
        return;
    }
    rollout_id_ = item->id_;
    rollout_client::running_rollout& state = client_.running_[service_];
    ++state.sends_since_report_;
    const bool is_known_route = state.routes_.count(route) != 0;
    const bool is_separate =
        is_known_route || state.routes_.size() < max_routes;
    if (is_separate)
    {
        state.routes_.insert(route);
    }
    const std::int64_t started_at = to.listed_.started_at_ms_;
    const bool just_started =
        started_at > 0 && core::wall_ms() - started_at < just_started_time.ms_;
    key_.is_target_ = control::role_of(*item, version_) == rollout_role::target;
    // Only the target's endpoints are judged apart.
    if (key_.is_target_ && state.cells_.size() < max_named_cells)
    {
        key_.endpoint_ = to.listed_.name_;
    }
    key_.zone_ = to.listed_.zone_;
    key_.route_ = is_separate ? route : other_routes;
    key_.is_warm_ = !just_started && core::steady_now() >= to.cold_until_;
    ++state.cells_[key_].starts_;
    state.changed_.insert(key_);
}

rollout_send::~rollout_send()
{
    const auto found = client_.active_sends_.find({service_, version_});
    if (found != client_.active_sends_.end() && --found->second <= 0)
    {
        client_.active_sends_.erase(found);
    }
}

void rollout_send::record_not_sent()
{
    if (auto* state = client_.find_running(service_, rollout_id_))
    {
        --state->cells_[key_].starts_;
        state->changed_.insert(key_);
    }
}

void rollout_send::record_good(std::optional<core::duration> latency)
{
    auto* state = client_.find_running(service_, rollout_id_);
    if (state == nullptr)
    {
        return;
    }
    rollout_client::cell& counts = state->cells_[key_];
    ++counts.good_;
    if (latency)
    {
        counts.latencies_.add(*latency);
    }
    state->changed_.insert(key_);
}

void rollout_send::record_bad()
{
    if (auto* state = client_.find_running(service_, rollout_id_))
    {
        ++state->cells_[key_].bad_;
        state->changed_.insert(key_);
    }
}

rollout_client::rollout_client(context& with)
    : with_(with),
      random_(static_cast<std::minstd_rand::result_type>(
          core::stable_hash(with.identity().host_)))
{
}

void rollout_client::start()
{
    with_.board_.section<endpoint_section>().on_change_.emplace_back(
        [this]()
        {
            update_listed_versions();
        });
    drivers::spawn_loop(
        with_.io_,
        "report_loop",
        [this]()
        {
            return report_loop();
        });
}

const control::rollout* rollout_client::find(
    const core::service_id& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() ? nullptr : &found->second;
}

rollout_client::running_rollout* rollout_client::find_running(
    const core::service_id& service, std::uint64_t id)
{
    const control::rollout* item = find(service);
    const auto found = running_.find(service);
    const bool is_known = id != 0 && item != nullptr && item->id_ == id &&
                          found != running_.end();
    return is_known ? &found->second : nullptr;
}

bool rollout_client::is_enabled() const
{
    return with_.board_.section<settings_section>()
        .settings_.bounds_.rollout_share_.has_value();
}

double rollout_client::exposure_share() const
{
    return with_.board_.section<settings_section>()
        .settings_.bounds_.rollout_share_.value_or(0);
}

void rollout_client::apply(std::span<const control::rollout> told)
{
    for (const control::rollout& item : told)
    {
        const control::rollout* known = find(item.service_);
        // Phases and ids only increase, so that a member that is behind takes
        // nothing back.
        const bool is_newer =
            known == nullptr || item.id_ > known->id_ ||
            (item.id_ == known->id_ && item.phase_ > known->phase_ &&
             known->is_running());
        if (!is_newer)
        {
            continue;
        }
        log_event(
            log_level::info,
            "rollout_known",
            {{"service", item.service_},
             {"rollout", item.id_},
             {"target", item.target_},
             {"phase", std::string(control::to_string(item.phase_))}});
        const bool is_other = known == nullptr || known->id_ != item.id_;
        if (is_other || !item.is_running())
        {
            running_.erase(item.service_);
        }
        rollouts_[item.service_] = item;
        if (is_other && item.is_running())
        {
            running_.try_emplace(item.service_);
        }
    }
}

void rollout_client::confirm_versions()
{
    confirmed_versions_ = listed_versions_;
}

void rollout_client::update_listed_versions()
{
    listed_versions_.clear();
    if (!is_enabled())
    {
        return;
    }
    for (const auto& [name, item] :
         with_.board_.section<endpoint_section>().endpoints_)
    {
        listed_versions_[item.listed_.service_].insert(item.listed_.version_);
    }
}

/// \return whether any request may go to a version: it is not barred, and this
/// host knows which part it has in a roll-out.
bool rollout_client::is_version_allowed(
    const core::service_id& service, const std::string& version) const
{
    const control::rollout* item = find(service);
    if (item != nullptr && control::is_barred(*item, version))
    {
        return false;
    }
    const bool has_part =
        item != nullptr &&
        (item->target_ == version ||
         std::find(item->from_.begin(), item->from_.end(), version) !=
             item->from_.end());
    if (!is_enabled() || has_part)
    {
        return true;
    }
    const auto confirmed = confirmed_versions_.find(service);
    if (confirmed != confirmed_versions_.end() &&
        confirmed->second.count(version) != 0)
    {
        return true;
    }
    // A service with one version has no roll-out on trial.
    const auto listed = listed_versions_.find(service);
    return listed != listed_versions_.end() && listed->second.size() == 1;
}

bool rollout_client::has_lease(
    const control::rollout& item, core::time_point now) const
{
    const auto found = running_.find(item.service_);
    return item.phase_ == rollout_phase::switching && found != running_.end() &&
           now < found->second.lease_until_;
}

/// \return whether a new request may go to a replaced version.
bool rollout_client::may_use_replaced(
    const control::rollout& item, core::time_point now) const
{
    if (item.phase_ != rollout_phase::switching)
    {
        return true;
    }
    const core::time_point heard_at = std::max(
        with_.board_.section<endpoint_section>().read_at_,
        with_.board_.section<group_section>().leader_contact_at_);
    return !has_lease(item, now) && now - heard_at <= rollout_contact_timeout;
}

policy::trial_endpoints rollout_client::choose_trial(
    const control::rollout& item) const
{
    return trial_endpoints_of(
        item,
        with_.board_.section<catalog_section>(),
        with_.board_.section<endpoint_section>(),
        exposure_share(),
        false);
}

std::vector<rollout_role> rollout_client::choose_roles(
    const core::service_id& service, bool target_failed)
{
    const control::rollout* item = find(service);
    if (item == nullptr || !item->is_running())
    {
        // The role then only leaves out what is barred or unknown.
        return {rollout_role::baseline};
    }
    if (item->phase_ == rollout_phase::switching)
    {
        return {
            has_lease(*item, core::steady_now()) ? rollout_role::target
                                                 : rollout_role::baseline};
    }
    const double share = choose_trial(*item).share_;
    const bool tries_target =
        !target_failed &&
        std::uniform_real_distribution<double>(0, 1)(random_) < share;
    if (tries_target)
    {
        return {rollout_role::target, rollout_role::baseline};
    }
    return {rollout_role::baseline};
}

std::set<core::endpoint_id> rollout_client::excluded_endpoints(
    const core::service_id& service, rollout_role role) const
{
    std::set<core::endpoint_id> out;
    const control::rollout* item = find(service);
    if (item == nullptr && !is_enabled())
    {
        return out;
    }
    const bool is_running = item != nullptr && item->is_running();
    const bool is_trial = is_running && item->phase_ == rollout_phase::trial;
    std::set<core::endpoint_id> trial;
    if (is_trial && role == rollout_role::target)
    {
        trial = choose_trial(*item).names_;
    }
    for (const auto& [name, known] :
         with_.board_.section<endpoint_section>().endpoints_)
    {
        const listed_endpoint& listed = known.listed_;
        if (listed.service_ != service)
        {
            continue;
        }
        const bool is_of_role =
            !is_running || control::role_of(*item, listed.version_) == role;
        const bool is_in_turn = !is_trial || role == rollout_role::baseline ||
                                trial.count(name) != 0;
        if (!is_of_role || !is_in_turn ||
            !is_version_allowed(service, listed.version_))
        {
            out.insert(name);
        }
    }
    return out;
}

std::optional<send_permission> rollout_client::permit(const known_endpoint& to)
{
    const core::service_id& service = to.listed_.service_;
    const std::string& version = to.listed_.version_;
    if (!is_version_allowed(service, version))
    {
        return std::nullopt;
    }
    const control::rollout* item = find(service);
    if (item == nullptr || !item->is_running())
    {
        return send_permission();
    }
    const core::time_point now = core::steady_now();
    const bool is_target =
        control::role_of(*item, version) == rollout_role::target;
    if (item->phase_ == rollout_phase::switching)
    {
        if (is_target && has_lease(*item, now))
        {
            return send_permission{running_[service].lease_until_};
        }
        const bool is_allowed = !is_target && may_use_replaced(*item, now);
        return is_allowed ? std::optional(send_permission()) : std::nullopt;
    }
    if (!is_target)
    {
        return send_permission();
    }
    running_rollout& state = running_[service];
    if (!state.allotment_.take(now))
    {
        return std::nullopt;
    }
    return send_permission{state.granted_until_};
}

std::optional<send_permission> rollout_client::permit_stream(
    const known_endpoint& to,
    const placement_permission& placement,
    const std::optional<std::string>& pinned_version) const
{
    const core::service_id& service = to.listed_.service_;
    const std::string& version = to.listed_.version_;
    const control::rollout* item = find(service);
    const bool is_barred =
        item != nullptr && control::is_barred(*item, version);
    const bool is_other_version = pinned_version && *pinned_version != version;
    const bool is_unknown =
        !placement.by_leader_ && !is_version_allowed(service, version);
    if (is_barred || is_other_version || is_unknown)
    {
        return std::nullopt;
    }
    if (item == nullptr || !item->is_running())
    {
        return send_permission();
    }
    const core::time_point now = core::steady_now();
    const bool is_target =
        control::role_of(*item, version) == rollout_role::target;
    if (!is_target)
    {
        // A stream goes on where it began, or its prompt has been prefilled.
        const bool may_start =
            may_use_replaced(*item, now) || pinned_version.has_value();
        return may_start ? std::optional(send_permission()) : std::nullopt;
    }
    if (placement.target_until_ && now < *placement.target_until_)
    {
        return send_permission{placement.target_until_};
    }
    if (has_lease(*item, now))
    {
        return send_permission{running_.at(service).lease_until_};
    }
    return std::nullopt;
}

void rollout_client::restrict_local_placement(placement_request& request) const
{
    const control::rollout* item = find(request.service_);
    if (item == nullptr && !is_enabled() && !request.pins_version_)
    {
        return;
    }
    const bool leased = item != nullptr && has_lease(*item, core::steady_now());
    for (const auto& [name, known] :
         with_.board_.section<endpoint_section>().endpoints_)
    {
        const listed_endpoint& listed = known.listed_;
        if (listed.service_ != request.service_)
        {
            continue;
        }
        const bool is_running = item != nullptr && item->is_running();
        const bool is_target =
            is_running &&
            control::role_of(*item, listed.version_) == rollout_role::target;
        const bool is_other_version =
            request.pins_version_ && listed.version_ != request.kv_version_;
        const bool is_other_role =
            is_running && !request.pins_version_ && is_target != leased;
        const bool is_unleased_target = is_target && !leased;
        if (is_other_version || is_other_role || is_unleased_target ||
            !is_version_allowed(request.service_, listed.version_))
        {
            request.avoid_.push_back(name);
        }
    }
}

std::int64_t rollout_client::count_baseline_running(
    const control::rollout& item) const
{
    std::int64_t out = 0;
    for (const auto& [key, count] : active_sends_)
    {
        const auto& [service, version] = key;
        if (service == item.service_ &&
            control::role_of(item, version) == rollout_role::baseline)
        {
            out += count;
        }
    }
    return out;
}

rollout_service_report rollout_client::make_report(
    const control::rollout& item, running_rollout& state, core::time_point now)
{
    rollout_service_report out;
    out.service_ = item.service_;
    out.id_ = item.id_;
    out.phase_ = item.phase_;
    out.baseline_running_ = count_baseline_running(item);
    const double rate = static_cast<double>(state.sends_since_report_) *
                        ms_per_second /
                        static_cast<double>(rollout_report_interval.ms_);
    state.sends_per_s_ += rate_smoothing * (rate - state.sends_per_s_);
    state.sends_since_report_ = 0;
    if (item.phase_ == rollout_phase::trial)
    {
        const double expected =
            state.sends_per_s_ *
            static_cast<double>(rollout_grant_validity.ms_) / ms_per_second;
        // Rounded up: a slow host takes part, too.
        out.wanted_ = state.allotment_.wanted(
            static_cast<std::int64_t>(expected + 0.9),
            choose_trial(item).share_,
            now);
    }
    out.returned_ = state.allotment_.returned(now);
    out.is_whole_ = state.sends_all_;
    for (const auto& [key, counts] : state.cells_)
    {
        if (!state.sends_all_ && state.changed_.count(key) == 0)
        {
            continue;
        }
        out.cells_.push_back(
            {key.endpoint_,
             key.zone_,
             key.route_,
             key.is_target_,
             key.is_warm_,
             counts.starts_,
             counts.good_,
             counts.bad_,
             counts.latencies_.counts()});
    }
    state.changed_.clear();
    state.sends_all_ = false;
    return out;
}

awaitable<void> rollout_client::report_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(rollout_report_interval);
        const core::host_id leader =
            with_.board_.section<group_section>().leader_;
        if (!leader.empty() && !running_.empty())
        {
            co_await report_once(leader);
        }
    }
}

awaitable<void> rollout_client::report_once(core::host_id leader)
{
    const core::time_point asked_at = core::steady_now();
    rollout_report report;
    report.host_ = with_.identity().host_;
    report.epoch_ = with_.identity().incarnation_;
    report.sequence_ = ++sequence_;
    for (auto& [service, state] : running_)
    {
        const control::rollout* item = find(service);
        if (item != nullptr && item->is_running())
        {
            report.services_.push_back(make_report(*item, state, asked_at));
        }
    }
    const core::result<rollout_report_reply> reply =
        co_await ask<rollout_report_reply>(
            with_.peers_,
            leader,
            method::rollouts_report,
            report,
            report_timeout);
    if (!core::is_ok(reply))
    {
        // The report may be lost, so the next one contains everything.
        for (auto& [service, state] : running_)
        {
            state.sends_all_ = true;
        }
        with_.metrics_.count("poplarroute_rollout_report_failures_total");
        co_return;
    }
    for (const rollout_service_reply& item : core::value(reply).services_)
    {
        running_rollout* state = find_running(item.service_, item.id_);
        if (state != nullptr && item.wants_all_)
        {
            state->sends_all_ = true;
        }
        if (core::value(reply).is_confirmed_)
        {
            apply_reply(item, asked_at);
        }
    }
}

void rollout_client::apply_reply(
    const rollout_service_reply& reply, core::time_point asked_at)
{
    running_rollout* state = find_running(reply.service_, reply.id_);
    if (state == nullptr)
    {
        return;
    }
    if (reply.phase_ == rollout_phase::switching)
    {
        state->lease_until_ = asked_at + rollout_lease_validity;
        return;
    }
    const bool is_trial = reply.phase_ == rollout_phase::trial;
    if (is_trial && reply.granted_ > 0)
    {
        state->granted_until_ = asked_at + rollout_grant_validity;
        state->allotment_.grant(reply.granted_, state->granted_until_);
    }
}

} // namespace poplarroute::node
