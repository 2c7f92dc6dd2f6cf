#include "node/ingress_controller.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "core/counted.hpp"
#include "core/digest.hpp"
#include "core/ini.hpp"
#include "drivers/log.hpp"
#include "node/leader_notes.hpp"
#include "node/plain_forwarder.hpp"
#include "node/relayed_exchange.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// How long requests wait for a host that has just started. It has a catalog
/// and a list of endpoints within about 300 ms; waiting for them spares callers
/// a refusal and a retry.
constexpr core::duration startup_wait{500};
constexpr core::duration startup_check_interval{20};
constexpr core::duration no_catalog_retry_after{400};

/// Fractions of the bound on retries that hosts use for plain calls, and for
/// streams while no leader is reachable. The leader uses the larger fraction of
/// the bound for streams. The rest absorbs requests that are spread unevenly
/// over hosts and windows.
constexpr double plain_retry_fraction = 0.6;
constexpr double isolated_stream_retry_fraction = 0.2;

/// Number of requests of other hosts that this one serves at a time.
constexpr std::size_t max_relayed = 96;

/// Minimum Retry-After of a request whose account is over its rate.
constexpr core::duration min_over_rate_retry_after{100};

/// Retry-After of a quarantined request, which stays refused for minutes.
constexpr core::duration quarantined_retry_after{10'000};

/// Time between a broken connection and the probe for a crash. By then an
/// endpoint that crashed refuses connections, and one that is up accepts them.
constexpr core::duration crash_probe_delay{40};
constexpr core::duration crash_probe_timeout{300};
constexpr core::duration crash_report_timeout{1'000};

/// \return a digest of the method, target, account and body; a repeated request
/// has the same one.
std::string request_digest(const ingress_call& call)
{
    std::string hashed = call.request_.method_;
    hashed += '\n';
    hashed += call.request_.target_;
    hashed += '\n';
    hashed += call.account_;
    hashed += '\n';
    hashed += call.request_.body_;
    return std::to_string(core::stable_hash(hashed));
}

/// Reports to the leader that an endpoint crashed, if it refuses connections.
awaitable<void> report_if_crashed(
    context& with,
    std::string address,
    crash_message report,
    core::time_point sent_at)
{
    co_await drivers::sleep_for(crash_probe_delay);
    const bool may_probe =
        with.board_.section<endpoint_section>().notices_.may_send(
            report.crash_,
            policy::call_purpose::housekeeping,
            core::steady_now());
    if (!may_probe)
    {
        // It has turned this host away a moment ago, so it is up.
        co_return;
    }
    const bool accepts_connections =
        co_await with.http_.accepts_connections(address, crash_probe_timeout);
    const core::host_id leader = with.board_.section<group_section>().leader_;
    if (accepts_connections || leader.empty())
    {
        co_return;
    }
    report.ran_ms_ = (core::steady_now() - sent_at).ms_;
    log_event(
        log_level::warning,
        "endpoint_crashed",
        {{"endpoint", report.crash_},
         {"digest", report.digest_},
         {"weight", report.weight_},
         {"ran_ms", report.ran_ms_},
         {"parts", core::join_list(report.parts_, ',')}});
    co_await ask<empty_reply>(
        with.peers_,
        leader,
        method::crash_report,
        report,
        crash_report_timeout);
}

} // namespace

awaitable<void> send_local_response(
    drivers::http_exchange& exchange,
    const wire_codec& codec,
    const ingress_request& request,
    int status,
    std::optional<core::duration> retry_after)
{
    drivers::header_list headers =
        codec.local_response_headers(request, retry_after);
    std::string body = "{\"status\":" + std::to_string(status) + "}";
    co_await exchange.send(status, std::move(headers), std::move(body));
}

void ingress_context::check_for_crash(
    const ingress_call& call,
    const core::endpoint_id& endpoint,
    policy::evidence weight,
    bool has_just_begun,
    core::time_point sent_at)
{
    const known_endpoint* known = find_endpoint(endpoint);
    if (known == nullptr)
    {
        return;
    }
    crash_message report;
    report.digest_ = call.digest_;
    report.crash_ = endpoint;
    report.weight_ = static_cast<int>(weight);
    report.service_ = call.service_;
    if (has_just_begun)
    {
        report.parts_ = call.request_.shared_parts_;
    }
    std::string address = known->listed_.address_;
    drivers::spawn_task(
        with_.io_,
        "report_if_crashed",
        report_if_crashed(
            with_, std::move(address), std::move(report), sent_at));
}

void ingress_context::report_answered(const ingress_call& call)
{
    const group_section& group = with_.board_.section<group_section>();
    const bool is_wanted = group.suspects_parts_ &&
                           (!group.suspect_digests_ ||
                            group.suspect_digests_->count(call.digest_) != 0);
    if (!is_wanted)
    {
        return;
    }
    engine_event_message event;
    event.service_ = call.service_;
    event.answered_ = true;
    event.answered_digest_ = call.digest_;
    send_to_leader(with_, std::move(event));
}

bool ingress_context::is_quarantined(const ingress_call& call) const
{
    const std::set<std::string>& crashers =
        with_.board_.section<group_section>().crashers_;
    if (crashers.empty())
    {
        return false;
    }
    const auto& parts = call.request_.shared_parts_;
    return crashers.count(call.digest_) != 0 ||
           std::any_of(
               parts.begin(),
               parts.end(),
               [&](const std::string& part)
               {
                   return crashers.count(policy::prompt_part_quarantine::key_of(
                              call.service_, part)) != 0;
               });
}

ingress_controller::ingress_controller(
    context& with, const wire_codec& codec, rollout_client& rollouts)
    : with_(with),
      ingress_{
          with,
          codec,
          rollouts,
          {},
          {},
          endpoint_client(with, codec),
          origin_client(with),
          relay_client(with, codec)},
      local_placements_(with, placement_controller::scope::own_host),
      placements_(with, local_placements_, rollouts),
      reach_(with),
      stop_(with.io_)
{
}

void ingress_controller::start()
{
    local_placements_.start();
    ingress_.origins_.start();
    reach_.start();
    started_at_ = core::steady_now();
    const auto update = [this]()
    {
        update_retry_allowances();
    };
    with_.board_.section<catalog_section>().on_change_.emplace_back(update);
    with_.board_.section<group_section>().on_hosts_change_.emplace_back(update);
}

void ingress_controller::set_metrics() const
{
    static constexpr const char* time_gauge = "poplarroute_endpoint_call_ms";
    static constexpr const char* pace_gauge = "poplarroute_endpoint_pace";
    with_.metrics_.clear(time_gauge);
    with_.metrics_.clear(pace_gauge);
    for (const auto& [service, balancer] : ingress_.balancers_)
    {
        auto speeds = balancer.speeds(core::steady_now());
        speeds.resize(std::min(speeds.size(), max_speed_gauges));
        for (const policy::endpoint_speed_view& item : speeds)
        {
            const drivers::metric_labels labels{
                {"service", service}, {"endpoint", item.name_}};
            with_.metrics_.set(time_gauge, labels, item.usual_ms_);
            with_.metrics_.set(pace_gauge, labels, item.pace_);
        }
    }
}

void ingress_controller::update_retry_allowances()
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    if (!section.view_)
    {
        return;
    }
    const fleet_settings& settings =
        with_.board_.section<settings_section>().settings_;
    const fleet_bounds& bounds = settings.bounds_;
    for (const auto& [name, service] : section.view_->whole().services_)
    {
        policy::retry_allowance& allowance = ingress_.retry_allowances_[name];
        if (!settings.first_start_)
        {
            allowance.accrue_from(started_at_);
        }
        allowance.set_bound(
            retry_bound_of(bounds),
            with_.board_.section<group_section>().hosts_,
            service.engine_ ? isolated_stream_retry_fraction
                            : plain_retry_fraction);
    }
}

std::optional<ingress_controller::refusal> ingress_controller::find_account(
    ingress_call& call)
{
    const control::catalog_account* account =
        call.catalog_->account_of(call.request_.key_);
    if (account == nullptr)
    {
        if (call.route_.open_ || call.catalog_->whole().accounts_.empty())
        {
            return std::nullopt;
        }
        return refusal{status_unauthorized, "unknown_key", std::nullopt, ""};
    }
    call.account_ = account->name_;
    call.priority_ = account->priority_.value_or(call.route_.priority_);
    if (account->counts_tokens_)
    {
        call.price_ =
            call.request_.counts_tokens_
                ? call.request_.prompt_tokens_ + call.request_.most_output_
                : account->default_call_tokens_;
    }
    else
    {
        call.price_ = 1;
    }
    return std::nullopt;
}

void ingress_controller::choose_service(ingress_call& call) const
{
    std::int64_t total_weight = 0;
    for (const control::route_target& target : call.route_.targets_)
    {
        total_weight += std::max<std::int64_t>(target.weight_, 0);
    }
    auto weight_position = static_cast<std::int64_t>(
        core::stable_hash(call.request_.attempt_) %
        static_cast<std::uint64_t>(std::max<std::int64_t>(total_weight, 1)));
    for (const control::route_target& target : call.route_.targets_)
    {
        if (target.weight_ > 0 && weight_position < target.weight_)
        {
            call.service_ = target.service_;
            return;
        }
        weight_position -= std::max<std::int64_t>(target.weight_, 0);
    }
    call.service_ = call.route_.targets_.front().service_;
}

/// \return whether this host charges a request. The leader charges streams when
/// it places them.
bool ingress_controller::is_charged_here(const ingress_call& call)
{
    const control::catalog_service* service =
        call.catalog_->find_service(call.service_);
    const bool is_stream = service != nullptr && service->engine_;
    return !call.account_.empty() && !is_stream;
}

awaitable<void> ingress_controller::refresh_level(const ingress_call& call)
{
    meter_section& section = with_.board_.section<meter_section>();
    if (!section.refresh_ || !is_charged_here(call))
    {
        co_return;
    }
    const bool needs_level = !section.meter_.needs_no_level(
        call.account_, call.price_, core::steady_now());
    if (needs_level)
    {
        co_await section.refresh_(call.account_);
    }
}

std::optional<ingress_controller::refusal> ingress_controller::charge(
    ingress_call& call)
{
    if (!is_charged_here(call))
    {
        return std::nullopt;
    }
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const core::time_point now = core::steady_now();
    if (meter.admit_unasked(call.account_, call.price_, now) ||
        meter.admit(call.account_, call.price_, now))
    {
        call.charged_ = true;
        return std::nullopt;
    }
    const core::duration wait = std::max(
        meter.wait_for(call.account_, call.price_, now),
        min_over_rate_retry_after);
    return refusal{
        status_too_many,
        "over_rate",
        wait,
        meter.inputs(call.account_, call.price_, now)};
}

/// \return the refusal of a request that may last beyond this host's stop: up
/// to its deadline, or as the slowest recent streams show.
std::optional<ingress_controller::refusal> ingress_controller::check_stop(
    const ingress_call& call)
{
    if (stop_.admits_until(call.deadline_))
    {
        return std::nullopt;
    }
    const core::time_point now = core::steady_now();
    const control::catalog_service* service =
        call.catalog_->find_service(call.service_);
    std::optional<core::duration> longest;
    if (service != nullptr && service->engine_)
    {
        longest = ingress_.stream_times_[call.service_].longest(
            call.request_.most_output_, now);
    }
    if (longest && stop_.admits_until(now + *longest))
    {
        return std::nullopt;
    }
    const core::duration may_last = longest.value_or(call.deadline_ - now);
    return refusal{
        status_unavailable,
        "host_stopping",
        stopping_retry_after,
        "it may last " + std::to_string(may_last.ms_) + " ms"};
}

std::optional<ingress_controller::refusal> ingress_controller::admit(
    ingress_call& call)
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    if (!section.view_)
    {
        return refusal{
            status_unavailable, "no_catalog_yet", no_catalog_retry_after, ""};
    }
    call.catalog_ = section.view_;
    const control::catalog_route* route = call.catalog_->find_route(
        call.request_.virtual_host_, call.request_.path_);
    if (route == nullptr)
    {
        return refusal{status_not_found, "no_route", std::nullopt, ""};
    }
    call.route_ = *route;
    call.priority_ = route->priority_;
    const core::duration limit =
        call.request_.deadline_
            ? std::min(*call.request_.deadline_, route->time_limit_)
            : route->time_limit_;
    call.deadline_ = call.arrived_at_ + limit;
    if (auto refused = find_account(call))
    {
        return refused;
    }
    choose_service(call);
    if (auto refused = check_stop(call))
    {
        return refused;
    }
    call.digest_ = request_digest(call);
    if (ingress_.is_quarantined(call))
    {
        return refusal{
            status_unavailable,
            "quarantined",
            quarantined_retry_after,
            "digest " + call.digest_ + ", parts " +
                core::join_list(call.request_.shared_parts_, ',')};
    }
    return std::nullopt;
}

bool ingress_controller::is_ready() const
{
    return with_.board_.section<catalog_section>().view_ != nullptr &&
           with_.board_.section<endpoint_section>().read_at_.ms_ != 0;
}

awaitable<void> ingress_controller::wait_until_ready() const
{
    const core::time_point until = core::steady_now() + startup_wait;
    while (!is_ready() && core::steady_now() < until)
    {
        co_await drivers::sleep_for(startup_check_interval);
    }
}

awaitable<void> ingress_controller::forward(
    drivers::http_exchange& exchange,
    ingress_call& call,
    ingress_result& result)
{
    if (!call.relayed_)
    {
        ingress_.retry_allowances_[call.service_].request(core::steady_now());
    }
    if (ingress_.relay_.has_lost(call.service_) &&
        co_await ingress_.relay_.hand_on(exchange, call, result))
    {
        co_return;
    }
    const control::catalog_service* service =
        call.catalog_->find_service(call.service_);
    if (service != nullptr && service->engine_)
    {
        stream_forwarder forwarder(ingress_, placements_, call, result);
        co_await forwarder.run(exchange);
        co_return;
    }
    plain_forwarder forwarder(ingress_, call, result);
    co_await forwarder.run(exchange);
}

awaitable<void> ingress_controller::handle(drivers::http_exchange& exchange)
{
    const core::counted active(active_);
    ingress_call call;
    call.arrived_at_ = core::steady_now();
    call.request_ = ingress_.codec_.decode_request(exchange.request());
    ingress_result result;
    co_await wait_until_ready();
    co_await serve(exchange, call, result);
}

awaitable<void> ingress_controller::handle_relayed(
    drivers::http_exchange& exchange)
{
    const core::counted active(active_);
    const core::counted relayed(relayed_);
    ingress_call call;
    ingress_result result;
    relayed_exchange answer(exchange, result);
    answer.read_headers(call);
    call.request_ = ingress_.codec_.decode_request(answer.request());
    if (relayed_ <= max_relayed)
    {
        co_await serve(answer, call, result);
        co_return;
    }
    result.status_ = status_unavailable;
    result.outcome_ = relay_declined;
    co_await send_local_response(
        answer,
        ingress_.codec_,
        call.request_,
        result.status_,
        no_catalog_retry_after);
    record_result(call, result);
}

awaitable<void> ingress_controller::serve(
    drivers::http_exchange& exchange,
    ingress_call& call,
    ingress_result& result)
{
    using namespace drivers::asio::experimental::awaitable_operators;
    const bool charged_before = call.charged_;
    std::optional<refusal> refused = admit(call);
    if (!refused && !charged_before)
    {
        co_await refresh_level(call);
        refused = charge(call);
    }
    if (refused)
    {
        result.status_ = refused->status_;
        result.outcome_ = refused->outcome_;
        result.detail_ = refused->inputs_;
        co_await send_local_response(
            exchange,
            ingress_.codec_,
            call.request_,
            refused->status_,
            refused->retry_after_);
        record_result(call, result);
        co_return;
    }
    const auto ended = co_await (
        forward(exchange, call, result) || exchange.gone() || stop_.closed());
    if (ended.index() == 1)
    {
        result.outcome_ = "caller_left";
        exchange.abort_response();
    }
    else if (ended.index() == 2)
    {
        co_await end_unfinished(exchange, call, result);
    }
    if (result.sends_ == 0 && call.charged_ && !charged_before)
    {
        with_.board_.section<meter_section>().meter_.refund(
            call.account_, call.price_);
    }
    record_result(call, result);
}

/// Ends a request that still runs when the host stops: with an answer, unless
/// one has begun.
awaitable<void> ingress_controller::end_unfinished(
    drivers::http_exchange& exchange,
    const ingress_call& call,
    ingress_result& result)
{
    result.outcome_ = "host_stopped";
    if (exchange.opened())
    {
        exchange.abort_response();
        co_return;
    }
    result.status_ = status_bad_gateway;
    std::optional<core::duration> retry_after;
    if (result.sends_ == 0 && !result.is_handed_on_)
    {
        result.status_ = status_unavailable;
        retry_after = stopping_retry_after;
    }
    co_await send_local_response(
        exchange, ingress_.codec_, call.request_, result.status_, retry_after);
}

void ingress_controller::record_result(
    const ingress_call& call, const ingress_result& result)
{
    const core::time_point now = core::steady_now();
    const std::int64_t took_ms = (now - call.arrived_at_).ms_;
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    log_event(
        result.outcome_ == "answered" ? log_level::info : log_level::warning,
        "request_end",
        {{"id", call.request_.attempt_},
         {"route", call.route_.name_},
         {"account", call.account_},
         {"service", call.service_},
         {"status", result.status_},
         {"outcome", result.outcome_},
         {"detail", result.detail_},
         {"refusals", result.refusals_},
         {"endpoint", result.endpoint_},
         {"version", result.version_},
         {"resumes", call.request_.resumes_},
         {"began", result.began_},
         {"origin", result.origin_},
         {"reader", result.reader_},
         {"sends", result.sends_},
         {"waited_ms", result.waited_ms_},
         {"read_ms", result.read_ms_},
         {"first_event_ms", result.first_event_ms_},
         {"events", result.events_},
         {"took_ms", took_ms},
         {"catalog", call.catalog_ ? call.catalog_->whole().version_ : 0},
         {"list_age_ms", (now - list.read_at_).ms_},
         {"relayed", call.relayed_ ? 1 : 0},
         {"relayed_to", result.relayed_to_}});
    with_.metrics_.count(
        "poplarroute_requests_total",
        {{"service", call.service_}, {"outcome", result.outcome_}});
    with_.metrics_.observe_ms(
        "poplarroute_request_ms",
        {{"service", call.service_}},
        static_cast<double>(took_ms));
    if (result.first_event_ms_ >= 0)
    {
        with_.metrics_.observe_ms(
            "poplarroute_first_token_ms",
            {{"service", call.service_}},
            static_cast<double>(result.first_event_ms_));
    }
}

} // namespace poplarroute::node
