#include "node/pool_controller.hpp"

#include <algorithm>
#include <utility>

#include "drivers/log.hpp"
#include "node/pool_calls.hpp"
#include "policy/ownership.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

constexpr core::duration tick_interval{20};
constexpr int ticks_per_poll = 10;

/// If a process did not run for longer than this, other hosts may have declared
/// it dead.
constexpr core::duration max_stall{1'500};

/// How long a new owner waits before it grants placements. It is longer than
/// a host stays suspected before it is declared dead, and longer than a stalled
/// owner continues before it detects the stall.
constexpr core::duration takeover_delay{3'000};

constexpr core::duration hand_over_timeout{1'000};

/// How long a received hand-over lets the new owner skip takeover_delay.
constexpr core::duration hand_over_validity{10'000};

constexpr core::duration reply_slack{50};

policy::work_kind work_kind_of(
    const control::service_settings& service, control::engine_role role)
{
    if (service.kind_ == control::service_kind::plain)
    {
        return policy::work_kind::call;
    }
    switch (role)
    {
    case control::engine_role::prefill:
        return policy::work_kind::prefill_only;
    case control::engine_role::decode:
        return policy::work_kind::decode_only;
    case control::engine_role::both:
        return policy::work_kind::prefill_and_decode;
    }
    return policy::work_kind::prefill_and_decode;
}

policy::pool_request make_pool_request(
    const reserve_request& request, core::time_point now)
{
    policy::pool_request out;
    out.attempt_ = request.attempt_;
    out.account_ = request.account_;
    out.weight_ = request.weight_;
    out.interactive_ = request.interactive_;
    out.alone_ = request.alone_;
    out.prompt_tokens_ = request.prompt_tokens_;
    out.output_tokens_ = request.output_tokens_;
    out.pieces_ = request.pieces_;
    out.prefix_ = request.prefix_;
    out.arrived_ = now;
    out.first_token_deadline_ = now + core::duration{request.due_in_ms_};
    out.avoid_.insert(request.avoid_.begin(), request.avoid_.end());
    return out;
}

reserve_reply make_refusal(
    policy::refusal_reason reason, core::duration retry_after)
{
    reserve_reply reply;
    reply.reason_ = static_cast<int>(reason);
    reply.retry_after_ms_ = retry_after.ms_;
    return reply;
}

} // namespace

std::vector<policy::endpoint_config> configured_endpoints(
    const control::directory& fleet,
    const core::zone_id& zone,
    const core::service_id& service,
    const std::set<core::endpoint_id>& leaving)
{
    std::vector<policy::endpoint_config> out;
    const auto found = fleet.settings().services_.find(service);
    if (found == fleet.settings().services_.end())
    {
        return out;
    }
    for (const auto& [name, endpoint] : fleet.settings().endpoints_)
    {
        if (endpoint.service_ != service || endpoint.zone_ != zone)
        {
            continue;
        }
        policy::endpoint_config facts;
        facts.name_ = name;
        facts.address_ = endpoint.address_;
        facts.kind_ = work_kind_of(found->second, endpoint.role_);
        facts.pieces_ = endpoint.capacity_;
        facts.requests_ = endpoint.requests_;
        facts.leaving_ =
            leaving.count(name) != 0 || fleet.is_zone_out_of_service(zone);
        out.push_back(std::move(facts));
    }
    return out;
}

pool_controller::pool_controller(context& with)
    : with_(with),
      monitor_(with, *this),
      engines_(with.http_),
      last_tick_(core::steady_now())
{
}

void pool_controller::start()
{
    register_pool_calls(with_, *this);
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            update_owned_pools();
        });
    update_owned_pools();
    drivers::spawn_loop(
        with_.io_,
        "pool_controller",
        [this]()
        {
            return run();
        });
}

core::host_id pool_controller::owner_of(
    const core::zone_id& zone, const core::service_id& service) const
{
    std::vector<core::host_id> candidates;
    for (const core::host_id& host :
         with_.membership().members_->serving_hosts_in(zone))
    {
        if (with_.directory().fleet_.out_of_service_hosts().count(host) == 0)
        {
            candidates.push_back(host);
        }
    }
    return policy::owner_of(zone + "/" + service, candidates);
}

std::vector<policy::endpoint_config> pool_controller::endpoints_of(
    const core::service_id& service) const
{
    return configured_endpoints(
        with_.directory().fleet_,
        with_.identity().zone_,
        service,
        with_.board_.section<platform_section>().leaving_);
}

void pool_controller::update_owned_pools()
{
    const core::time_point now = core::steady_now();
    const control::directory& fleet = with_.directory().fleet_;
    std::set<core::service_id> owned;
    for (const auto& [name, service] : fleet.settings().services_)
    {
        if (owner_of(with_.identity().zone_, name) == with_.identity().host_)
        {
            owned.insert(name);
        }
    }
    for (const core::service_id& service : owned)
    {
        const auto [found, inserted] = pools_.try_emplace(service);
        if (inserted)
        {
            policy::pool_policy chosen;
            policy::parse_policy(with_.identity().settings_.policy_, chosen);
            const bool handed_over = was_handed_over(service, now);
            found->second.scheduler_ = std::make_unique<policy::pool_scheduler>(
                chosen, handed_over ? now : now + takeover_delay);
            log_event(
                log_level::info,
                "pool_taken",
                {{"service", service}, {"handed_over", handed_over ? 1 : 0}});
        }
        perform(
            service,
            found->second.scheduler_->set_endpoints(
                endpoints_of(service), now));
    }
    for (auto entry = pools_.begin(); entry != pools_.end();)
    {
        if (owned.count(entry->first) != 0)
        {
            ++entry;
            continue;
        }
        log_event(log_level::info, "pool_left", {{"service", entry->first}});
        for (auto& [attempt, waiting] : entry->second.waiting_)
        {
            waiting->set(make_refusal(
                policy::refusal_reason::taking_over, takeover_delay));
        }
        for (auto& [attempt, waiting] : entry->second.confirming_)
        {
            waiting->set(make_refusal(
                policy::refusal_reason::taking_over, takeover_delay));
        }
        entry = pools_.erase(entry);
    }
}

bool pool_controller::was_handed_over(
    const core::service_id& service, core::time_point now)
{
    const auto found = handed_over_at_.find(service);
    if (found == handed_over_at_.end())
    {
        return false;
    }
    const bool is_recent = now - found->second < hand_over_validity;
    handed_over_at_.erase(found);
    return is_recent;
}

void pool_controller::detect_stall(core::time_point now)
{
    const core::duration passed = now - last_tick_;
    last_tick_ = now;
    if (passed < max_stall || pools_.empty())
    {
        return;
    }
    // Another host may have granted placements in the meantime, so the pools
    // start again from the endpoints' own reports.
    log_event(
        log_level::warning, "stall_noticed", {{"milliseconds", passed.ms_}});
    for (auto& [service, owned_pool] : pools_)
    {
        for (auto& [attempt, waiting] : owned_pool.waiting_)
        {
            waiting->set(make_refusal(
                policy::refusal_reason::taking_over, takeover_delay));
        }
        for (auto& [attempt, waiting] : owned_pool.confirming_)
        {
            waiting->set(make_refusal(
                policy::refusal_reason::taking_over, takeover_delay));
        }
    }
    pools_.clear();
    update_owned_pools();
}

awaitable<void> pool_controller::run()
{
    for (int ticks = 0;; ++ticks)
    {
        co_await drivers::sleep_for(tick_interval);
        const core::time_point now = core::steady_now();
        detect_stall(now);
        const bool poll_now = ticks % ticks_per_poll == 0;
        if (poll_now)
        {
            update_owned_pools();
        }
        for (auto& [service, owned_pool] : pools_)
        {
            perform(service, owned_pool.scheduler_->tick(now));
            if (!poll_now)
            {
                continue;
            }
            set_metrics(service, owned_pool);
            monitor_.look_at(service, endpoints_of(service));
        }
    }
}

policy::pool_scheduler* pool_controller::scheduler_of(
    const core::service_id& service)
{
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : found->second.scheduler_.get();
}

std::string pool_controller::address_of_endpoint(
    const core::endpoint_id& name) const
{
    const auto& all = with_.directory().fleet_.settings().endpoints_;
    const auto found = all.find(name);
    return found == all.end() ? std::string() : found->second.address_;
}

reserve_reply pool_controller::reply_for(
    const pool& owned_pool, const policy::grant& granted) const
{
    reserve_reply reply;
    reply.granted_ = true;
    reply.promised_ = granted.promised_;
    reply.prefill_ = granted.prefill_;
    reply.prefill_address_ = address_of_endpoint(granted.prefill_);
    reply.decode_ = granted.decode_;
    reply.decode_address_ = address_of_endpoint(granted.decode_);
    reply.prefill_boot_ = owned_pool.scheduler_->boot_of(granted.prefill_);
    reply.decode_boot_ = owned_pool.scheduler_->boot_of(granted.decode_);
    return reply;
}

awaitable<void> pool_controller::cancel_orphan(policy::orphan orphaned)
{
    // If this fails, the endpoint's next report shows the orphan again.
    co_await engines_.cancel(
        address_of_endpoint(orphaned.endpoint_), orphaned.attempt_);
}

void pool_controller::perform(
    const core::service_id& service,
    const std::vector<policy::pool_action>& actions)
{
    const auto found = pools_.find(service);
    if (found == pools_.end())
    {
        return;
    }
    pool& owned_pool = found->second;
    const auto answer = [](std::map<core::attempt_id, waiter>& waiters,
                           const core::attempt_id& attempt,
                           const reserve_reply& reply)
    {
        const auto waiting = waiters.find(attempt);
        if (waiting == waiters.end())
        {
            return false;
        }
        waiting->second->set(reply);
        waiters.erase(waiting);
        return true;
    };
    for (const policy::pool_action& action : actions)
    {
        std::visit(
            core::overloaded{
                [&](const policy::grant& granted)
                {
                    const reserve_reply reply = reply_for(owned_pool, granted);
                    if (!answer(owned_pool.waiting_, granted.attempt_, reply))
                    {
                        answer(owned_pool.confirming_, granted.attempt_, reply);
                    }
                },
                [&](const policy::refusal& refused)
                {
                    const reserve_reply reply =
                        make_refusal(refused.reason_, refused.retry_after_);
                    if (!answer(owned_pool.waiting_, refused.attempt_, reply))
                    {
                        answer(owned_pool.confirming_, refused.attempt_, reply);
                    }
                },
                [&](const policy::confirmation& confirmed)
                {
                    reserve_reply reply;
                    reply.granted_ = true;
                    answer(owned_pool.confirming_, confirmed.attempt_, reply);
                },
                [&](const policy::orphan& orphaned)
                {
                    with_.metrics_.count(
                        "poplarroute_orphans_total", {{"service", service}});
                    log_event(
                        log_level::warning,
                        "orphan_cancelled",
                        {{"endpoint", orphaned.endpoint_},
                         {"attempt", to_string(orphaned.attempt_)}});
                    drivers::spawn_task(
                        with_.io_, "cancel_orphan", cancel_orphan(orphaned));
                }},
            action);
    }
}

awaitable<reserve_reply> pool_controller::reserve(reserve_request request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        co_return make_refusal(
            policy::refusal_reason::taking_over, takeover_delay);
    }
    const core::time_point now = core::steady_now();
    auto reply = std::make_shared<pending_value<reserve_reply>>(with_.io_);
    found->second.waiting_[request.attempt_] = reply;
    perform(
        request.service_,
        found->second.scheduler_->ask(make_pool_request(request, now), now));
    const auto answered =
        co_await reply->wait(core::duration{request.due_in_ms_} + reply_slack);
    if (answered)
    {
        co_return *answered;
    }
    end_request abandoned;
    abandoned.service_ = request.service_;
    abandoned.attempt_ = request.attempt_;
    end_attempt(abandoned);
    co_return make_refusal(
        policy::refusal_reason::target_missed, core::duration{1'000});
}

awaitable<reserve_reply> pool_controller::wait_for_decode_memory(
    prefilled_request request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        co_return make_refusal(
            policy::refusal_reason::taking_over, takeover_delay);
    }
    auto reply = std::make_shared<pending_value<reserve_reply>>(with_.io_);
    found->second.confirming_[request.attempt_] = reply;
    perform(
        request.service_,
        found->second.scheduler_->place_decode(
            request.attempt_, core::steady_now()));
    const auto answered =
        co_await reply->wait(core::duration{request.wait_ms_});
    const auto still_owned = pools_.find(request.service_);
    if (still_owned != pools_.end())
    {
        still_owned->second.confirming_.erase(request.attempt_);
    }
    co_return answered
        ? *answered
        : make_refusal(
              policy::refusal_reason::target_missed, core::duration{0});
}

void pool_controller::record_transfer(const transferred_request& request)
{
    const auto found = pools_.find(request.service_);
    if (found != pools_.end())
    {
        perform(
            request.service_,
            found->second.scheduler_->transferred(
                request.attempt_, core::steady_now()));
    }
}

void pool_controller::end_attempt(const end_request& request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        return;
    }
    policy::ending ending;
    ending.attempt_ = request.attempt_;
    ending.completed_ = request.completed_;
    ending.freed_ = request.freed_;
    ending.endpoint_lost_ = request.endpoint_lost_;
    ending.lost_endpoint_ = request.lost_endpoint_;
    ending.output_tokens_ = request.output_tokens_;
    ending.prefill_.ms_ = request.prefill_ms_;
    ending.decode_.ms_ = request.decode_ms_;
    ending.prefilled_tokens_ = request.prefilled_tokens_;
    found->second.waiting_.erase(request.attempt_);
    perform(
        request.service_,
        found->second.scheduler_->end(ending, core::steady_now()));
}

void pool_controller::renew(const renew_request& request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        return;
    }
    for (const renewed_placement& placement : request.places_)
    {
        found->second.scheduler_->renew(
            placement.attempt_,
            placement.decode_,
            placement.pieces_,
            core::steady_now());
    }
}

void pool_controller::host_gone(const control::membership_update& dead_process)
{
    for (auto& [service, owned_pool] : pools_)
    {
        perform(
            service,
            owned_pool.scheduler_->host_gone(
                dead_process.host_,
                dead_process.incarnation_,
                core::steady_now()));
    }
}

awaitable<void> pool_controller::hand_over(renew_request placements)
{
    const core::host_id next_owner =
        owner_of(with_.identity().zone_, placements.service_);
    const auto address = with_.address_of(next_owner);
    if (next_owner.empty() || !address || next_owner == with_.identity().host_)
    {
        co_return;
    }
    co_await ask<empty_reply>(
        with_.peers_,
        *address,
        method::hand_over,
        placements,
        hand_over_timeout);
    log_event(
        log_level::info,
        "pool_handed_over",
        {{"service", placements.service_}, {"to", next_owner}});
}

awaitable<void> pool_controller::hand_over_all()
{
    std::vector<renew_request> owned;
    for (const auto& [service, owned_pool] : pools_)
    {
        renew_request placements;
        placements.service_ = service;
        for (const policy::running_placement& placement :
             owned_pool.scheduler_->running_places())
        {
            placements.places_.push_back(
                {placement.attempt_, placement.decode_, placement.pieces_});
        }
        owned.push_back(std::move(placements));
    }
    // This host is draining and owns no pool any more, so update_owned_pools()
    // releases every pool and nothing more is granted here.
    update_owned_pools();
    for (renew_request& placements : owned)
    {
        co_await hand_over(std::move(placements));
    }
}

void pool_controller::set_metrics(
    const core::service_id& service, const pool& owned_pool) const
{
    const drivers::metric_labels labels{{"service", service}};
    with_.metrics_.set(
        "poplarroute_pool_running",
        labels,
        static_cast<double>(owned_pool.scheduler_->running()));
    with_.metrics_.set(
        "poplarroute_pool_waiting",
        labels,
        static_cast<double>(owned_pool.scheduler_->waiting()));
}

nlohmann::json pool_controller::status() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [service, owned_pool] : pools_)
    {
        nlohmann::json row;
        row["service"] = service;
        row["zone"] = with_.identity().zone_;
        row["running"] = owned_pool.scheduler_->running();
        row["waiting"] = owned_pool.scheduler_->waiting();
        const policy::pool_counts& counts = owned_pool.scheduler_->counts();
        row["granted"] = counts.granted_;
        row["promised"] = counts.promised_;
        row["refused"] = counts.refused_;
        row["orphans"] = counts.orphans_;
        row["expired"] = counts.expired_;
        row["endpoints"] = nlohmann::json::array();
        for (const policy::endpoint_status& endpoint :
             owned_pool.scheduler_->status(core::steady_now()))
        {
            row["endpoints"].push_back(
                {{"name", endpoint.name_},
                 {"used_pieces", endpoint.used_pieces_},
                 {"pieces", endpoint.pieces_},
                 {"running", endpoint.running_},
                 {"window", endpoint.window_},
                 {"usable", endpoint.usable_}});
        }
        out.push_back(std::move(row));
    }
    return out;
}

void pool_controller::take_over(const renew_request& request)
{
    handed_over_at_[request.service_] = core::steady_now();
    update_owned_pools();
    const auto found = pools_.find(request.service_);
    if (found != pools_.end())
    {
        found->second.scheduler_->allow_grants(core::steady_now());
        handed_over_at_.erase(request.service_);
    }
    renew(request);
}

} // namespace poplarroute::node
