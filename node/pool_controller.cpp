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

constexpr core::duration tick_every{20};
constexpr int ticks_per_poll = 10;

/// A process that stood still this long may have been taken for dead.
constexpr core::duration longest_stall{1'500};

/// Longer than a host is suspected before it counts as dead, and than a
/// stalled owner goes on without noticing.
constexpr core::duration takeover_wait{3'000};

constexpr core::duration hand_over_deadline{1'000};
constexpr core::duration hand_over_lasts{10'000};
constexpr core::duration slack{50};

policy::work_kind kind_of(
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

policy::want want_of(const reserve_request& request, core::time_point now)
{
    policy::want item;
    item.attempt_ = request.attempt_;
    item.account_ = request.account_;
    item.weight_ = request.weight_;
    item.interactive_ = request.interactive_;
    item.alone_ = request.alone_;
    item.prompt_tokens_ = request.prompt_tokens_;
    item.output_tokens_ = request.output_tokens_;
    item.pieces_ = request.pieces_;
    item.prefix_ = request.prefix_;
    item.arrived_ = now;
    item.first_token_due_ = now + core::duration{request.due_in_ms_};
    item.avoid_.insert(request.avoid_.begin(), request.avoid_.end());
    return item;
}

reserve_reply refused(policy::refusal_reason reason, core::duration wait)
{
    reserve_reply reply;
    reply.reason_ = static_cast<int>(reason);
    reply.retry_after_ms_ = wait.ms_;
    return reply;
}

} // namespace

std::vector<policy::endpoint_facts> facts_of(
    const control::directory& fleet,
    const core::zone_id& zone,
    const core::service_id& service,
    const std::set<core::endpoint_id>& leaving)
{
    std::vector<policy::endpoint_facts> out;
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
        policy::endpoint_facts facts;
        facts.name_ = name;
        facts.address_ = endpoint.address_;
        facts.kind_ = kind_of(found->second, endpoint.role_);
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
      watch_(with, *this),
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
            take_pools();
        });
    take_pools();
    drivers::spawn(with_.io_, run());
}

core::host_id pool_controller::owner_of(
    const core::zone_id& zone, const core::service_id& service) const
{
    std::vector<core::host_id> able;
    for (const core::host_id& host :
         with_.membership().members_->serving_hosts_in(zone))
    {
        if (with_.directory().fleet_.out_of_service_hosts().count(host) == 0)
        {
            able.push_back(host);
        }
    }
    return policy::owner_of(zone + "/" + service, able);
}

std::vector<policy::endpoint_facts> pool_controller::endpoints_of(
    const core::service_id& service) const
{
    return facts_of(
        with_.directory().fleet_,
        with_.identity().zone_,
        service,
        with_.board_.section<platform_section>().leaving_);
}

void pool_controller::take_pools()
{
    const core::time_point now = core::steady_now();
    const control::directory& fleet = with_.directory().fleet_;
    std::set<core::service_id> mine;
    for (const auto& [name, service] : fleet.settings().services_)
    {
        if (owner_of(with_.identity().zone_, name) == with_.identity().host_)
        {
            mine.insert(name);
        }
    }
    for (const core::service_id& service : mine)
    {
        const auto [found, fresh] = pools_.try_emplace(service);
        if (fresh)
        {
            policy::pool_policy chosen;
            policy::parse_policy(with_.identity().settings_.policy_, chosen);
            const bool handed = was_handed(service, now);
            found->second.scheduler_ = std::make_unique<policy::pool_scheduler>(
                chosen, handed ? now : now + takeover_wait);
            log_event(
                log_level::info,
                "pool_taken",
                {{"service", service}, {"handed_over", handed ? 1 : 0}});
        }
        perform(
            service,
            found->second.scheduler_->set_endpoints(
                endpoints_of(service), now));
    }
    for (auto item = pools_.begin(); item != pools_.end();)
    {
        if (mine.count(item->first) != 0)
        {
            ++item;
            continue;
        }
        log_event(log_level::info, "pool_left", {{"service", item->first}});
        for (auto& [attempt, waiting] : item->second.waiting_)
        {
            waiting->set(
                refused(policy::refusal_reason::taking_over, takeover_wait));
        }
        for (auto& [attempt, waiting] : item->second.confirming_)
        {
            waiting->set(
                refused(policy::refusal_reason::taking_over, takeover_wait));
        }
        item = pools_.erase(item);
    }
}

bool pool_controller::was_handed(
    const core::service_id& service, core::time_point now)
{
    const auto found = handed_to_us_.find(service);
    if (found == handed_to_us_.end())
    {
        return false;
    }
    const bool fresh = now - found->second < hand_over_lasts;
    handed_to_us_.erase(found);
    return fresh;
}

void pool_controller::notice_stall(core::time_point now)
{
    const core::duration passed = now - last_tick_;
    last_tick_ = now;
    if (passed < longest_stall || pools_.empty())
    {
        return;
    }
    // Another host may have granted meanwhile: begin again from the
    // endpoints' own reports.
    log_event(
        log_level::warning, "stall_noticed", {{"milliseconds", passed.ms_}});
    for (auto& [service, of] : pools_)
    {
        for (auto& [attempt, waiting] : of.waiting_)
        {
            waiting->set(
                refused(policy::refusal_reason::taking_over, takeover_wait));
        }
        for (auto& [attempt, waiting] : of.confirming_)
        {
            waiting->set(
                refused(policy::refusal_reason::taking_over, takeover_wait));
        }
    }
    pools_.clear();
    take_pools();
}

awaitable<void> pool_controller::run()
{
    for (int ticks = 0;; ++ticks)
    {
        co_await drivers::sleep_for(tick_every);
        const core::time_point now = core::steady_now();
        notice_stall(now);
        const bool poll_now = ticks % ticks_per_poll == 0;
        if (poll_now)
        {
            take_pools();
        }
        for (auto& [service, of] : pools_)
        {
            perform(service, of.scheduler_->tick(now));
            if (!poll_now)
            {
                continue;
            }
            set_metrics(service, of);
            watch_.look_at(service, endpoints_of(service));
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
    const pool& of, const policy::grant& given) const
{
    reserve_reply reply;
    reply.granted_ = true;
    reply.promised_ = given.promised_;
    reply.prefill_ = given.prefill_;
    reply.prefill_address_ = address_of_endpoint(given.prefill_);
    reply.decode_ = given.decode_;
    reply.decode_address_ = address_of_endpoint(given.decode_);
    reply.prefill_boot_ = of.scheduler_->boot_of(given.prefill_);
    reply.decode_boot_ = of.scheduler_->boot_of(given.decode_);
    return reply;
}

awaitable<void> pool_controller::cancel_orphan(policy::orphan left)
{
    // When it does not succeed, the endpoint's next report brings it up again.
    co_await engines_.cancel(
        address_of_endpoint(left.endpoint_), left.attempt_);
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
    pool& of = found->second;
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
                [&](const policy::grant& given)
                {
                    const reserve_reply reply = reply_for(of, given);
                    if (!answer(of.waiting_, given.attempt_, reply))
                    {
                        answer(of.confirming_, given.attempt_, reply);
                    }
                },
                [&](const policy::refusal& no)
                {
                    const reserve_reply reply =
                        refused(no.reason_, no.retry_after_);
                    if (!answer(of.waiting_, no.attempt_, reply))
                    {
                        answer(of.confirming_, no.attempt_, reply);
                    }
                },
                [&](const policy::confirmation& free)
                {
                    reserve_reply reply;
                    reply.granted_ = true;
                    answer(of.confirming_, free.attempt_, reply);
                },
                [&](const policy::orphan& left)
                {
                    with_.metrics_.count(
                        "poplarroute_orphans_total", {{"service", service}});
                    log_event(
                        log_level::warning,
                        "orphan_cancelled",
                        {{"endpoint", left.endpoint_},
                         {"attempt", to_string(left.attempt_)}});
                    drivers::spawn(with_.io_, cancel_orphan(left));
                }},
            action);
    }
}

awaitable<reserve_reply> pool_controller::reserve(reserve_request request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        co_return refused(policy::refusal_reason::taking_over, takeover_wait);
    }
    const core::time_point now = core::steady_now();
    auto reply = std::make_shared<awaited<reserve_reply>>(with_.io_);
    found->second.waiting_[request.attempt_] = reply;
    perform(
        request.service_,
        found->second.scheduler_->ask(want_of(request, now), now));
    const auto got =
        co_await reply->wait(core::duration{request.due_in_ms_} + slack);
    if (got)
    {
        co_return *got;
    }
    end_request given_up;
    given_up.service_ = request.service_;
    given_up.attempt_ = request.attempt_;
    end(given_up);
    co_return refused(
        policy::refusal_reason::target_missed, core::duration{1'000});
}

awaitable<reserve_reply> pool_controller::prefilled(prefilled_request request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        co_return refused(policy::refusal_reason::taking_over, takeover_wait);
    }
    auto reply = std::make_shared<awaited<reserve_reply>>(with_.io_);
    found->second.confirming_[request.attempt_] = reply;
    perform(
        request.service_,
        found->second.scheduler_->place_decode(
            request.attempt_, core::steady_now()));
    const auto got = co_await reply->wait(core::duration{request.wait_ms_});
    const auto still = pools_.find(request.service_);
    if (still != pools_.end())
    {
        still->second.confirming_.erase(request.attempt_);
    }
    co_return got
        ? *got
        : refused(policy::refusal_reason::target_missed, core::duration{0});
}

void pool_controller::transferred(const transferred_request& request)
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

void pool_controller::end(const end_request& request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        return;
    }
    policy::ending how;
    how.attempt_ = request.attempt_;
    how.completed_ = request.completed_;
    how.freed_ = request.freed_;
    how.endpoint_lost_ = request.endpoint_lost_;
    how.lost_endpoint_ = request.lost_endpoint_;
    how.output_tokens_ = request.output_tokens_;
    how.prefill_.ms_ = request.prefill_ms_;
    how.decode_.ms_ = request.decode_ms_;
    how.prefilled_tokens_ = request.prefilled_tokens_;
    found->second.waiting_.erase(request.attempt_);
    perform(
        request.service_,
        found->second.scheduler_->end(how, core::steady_now()));
}

void pool_controller::renew(const renew_request& request)
{
    const auto found = pools_.find(request.service_);
    if (found == pools_.end())
    {
        return;
    }
    for (const renewed_place& place : request.places_)
    {
        found->second.scheduler_->renew(
            place.attempt_, place.decode_, place.pieces_, core::steady_now());
    }
}

void pool_controller::host_gone(const control::membership_update& gone)
{
    for (auto& [service, of] : pools_)
    {
        perform(
            service,
            of.scheduler_->host_gone(
                gone.host_, gone.incarnation_, core::steady_now()));
    }
}

awaitable<void> pool_controller::hand_over(renew_request places)
{
    const core::host_id next =
        owner_of(with_.identity().zone_, places.service_);
    const auto address = with_.address_of(next);
    if (next.empty() || !address || next == with_.identity().host_)
    {
        co_return;
    }
    co_await ask<empty_reply>(
        with_.peers_, *address, method::hand_over, places, hand_over_deadline);
    log_event(
        log_level::info,
        "pool_handed_over",
        {{"service", places.service_}, {"to", next}});
}

awaitable<void> pool_controller::hand_over_all()
{
    std::vector<renew_request> owned;
    for (const auto& [service, of] : pools_)
    {
        renew_request places;
        places.service_ = service;
        for (const policy::running_place& place :
             of.scheduler_->running_places())
        {
            places.places_.push_back(
                {place.attempt_, place.decode_, place.pieces_});
        }
        owned.push_back(std::move(places));
    }
    // From here on this host grants nothing: it no longer serves, so
    // take_pools() lets every pool go.
    take_pools();
    for (renew_request& places : owned)
    {
        co_await hand_over(std::move(places));
    }
}

void pool_controller::set_metrics(
    const core::service_id& service, const pool& of) const
{
    const drivers::metric_labels labels{{"service", service}};
    with_.metrics_.set(
        "poplarroute_pool_running",
        labels,
        static_cast<double>(of.scheduler_->running()));
    with_.metrics_.set(
        "poplarroute_pool_waiting",
        labels,
        static_cast<double>(of.scheduler_->waiting()));
}

nlohmann::json pool_controller::status() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [service, of] : pools_)
    {
        nlohmann::json one;
        one["service"] = service;
        one["zone"] = with_.identity().zone_;
        one["running"] = of.scheduler_->running();
        one["waiting"] = of.scheduler_->waiting();
        const policy::pool_counts& counts = of.scheduler_->counts();
        one["granted"] = counts.granted_;
        one["promised"] = counts.promised_;
        one["refused"] = counts.refused_;
        one["orphans"] = counts.orphans_;
        one["expired"] = counts.expired_;
        one["endpoints"] = nlohmann::json::array();
        for (const policy::endpoint_status& item :
             of.scheduler_->status(core::steady_now()))
        {
            one["endpoints"].push_back(
                {{"name", item.name_},
                 {"used_pieces", item.used_pieces_},
                 {"pieces", item.pieces_},
                 {"running", item.running_},
                 {"window", item.window_},
                 {"usable", item.usable_}});
        }
        out.push_back(std::move(one));
    }
    return out;
}

void pool_controller::take_over(const renew_request& request)
{
    handed_to_us_[request.service_] = core::steady_now();
    take_pools();
    const auto found = pools_.find(request.service_);
    if (found != pools_.end())
    {
        found->second.scheduler_->allow_grants(core::steady_now());
        handed_to_us_.erase(request.service_);
    }
    renew(request);
}

} // namespace poplarroute::node
