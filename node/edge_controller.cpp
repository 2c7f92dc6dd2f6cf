#include "node/edge_controller.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "core/counted.hpp"
#include "core/digest.hpp"
#include "drivers/log.hpp"
#include "node/plain_edge.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// A host that has just started has a catalog and a list of endpoints within
/// some 300 ms. Requests wait for them, rather than come back after a refusal.
constexpr core::duration start_patience{500};
constexpr core::duration start_check{20};
constexpr core::duration retry_without_catalog{400};

/// Fractions of the bound on second sends that hosts use for plain calls, and
/// for streams while they reach no leader, which has the larger fraction of
/// those; the rest is for requests that come unevenly to hosts and windows.
constexpr double plain_resends = 0.6;
constexpr double lone_stream_resends = 0.2;

/// The least that a refused account is told to wait.
constexpr core::duration least_rate_retry{100};

/// A request that ends its endpoints is refused for minutes.
constexpr core::duration retry_quarantined{10'000};

/// An endpoint that crashed refuses connections by then, and one that is up
/// takes them.
constexpr core::duration crash_settles{40};
constexpr core::duration crash_patience{300};
constexpr core::duration crash_deadline{1'000};

/// What makes a request the same when it is sent again.
std::string digest_of(const edge_call& call)
{
    std::string all = call.request_.method_;
    all += '\n';
    all += call.request_.target_;
    all += '\n';
    all += call.account_;
    all += '\n';
    all += call.request_.body_;
    return std::to_string(core::stable_hash(all));
}

awaitable<void> report_loss(
    context& with, std::string address, crash_message told)
{
    co_await drivers::sleep_for(crash_settles);
    const bool up =
        co_await with.http_.takes_connections(address, crash_patience);
    const core::host_id leader = with.board_.section<group_section>().leader_;
    if (up || leader.empty())
    {
        co_return;
    }
    log_event(
        log_level::warning,
        "endpoint_crashed",
        {{"endpoint", told.crash_},
         {"digest", told.digest_},
         {"weight", told.weight_}});
    co_await ask<empty_reply>(
        with.peers_, leader, method::crash_report, told, crash_deadline);
}

} // namespace

awaitable<void> answer_own(
    drivers::http_exchange& exchange,
    const wire_dialect& dialect,
    const edge_request& request,
    int status,
    std::optional<core::duration> retry_after)
{
    drivers::header_list headers = dialect.own_headers(request, retry_after);
    std::string body = "{\"status\":" + std::to_string(status) + "}";
    co_await exchange.send(status, std::move(headers), std::move(body));
}

void edge_tools::suspect(
    const edge_call& call,
    const core::endpoint_id& endpoint,
    policy::evidence weight)
{
    const known_endpoint* known = find(endpoint);
    if (known != nullptr)
    {
        drivers::spawn(
            with_.io_,
            report_loss(
                with_,
                known->listed_.address_,
                {call.digest_, endpoint, static_cast<int>(weight)}));
    }
}

edge_controller::edge_controller(context& with, const wire_dialect& dialect)
    : with_(with),
      tools_{with, dialect, {}, {}},
      own_desk_(with, stream_desk::reach::own_host),
      places_(with, own_desk_)
{
}

void edge_controller::start()
{
    own_desk_.start();
    with_.board_.section<catalog_section>().on_change_.emplace_back(
        [this]()
        {
            refresh_allowances();
        });
}

void edge_controller::refresh_allowances()
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    const fleet_bounds& bounds =
        with_.board_.section<settings_section>().settings_.bounds_;
    for (const auto& [name, service] : section.view_->whole().services_)
    {
        tools_.resends_[name].set_bound(
            resend_bound_of(bounds),
            with_.board_.section<group_section>().hosts_,
            service.engine_ ? lone_stream_resends : plain_resends);
    }
}

std::optional<edge_controller::refusal> edge_controller::find_account(
    edge_call& call)
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

void edge_controller::choose_target(edge_call& call) const
{
    std::int64_t weights = 0;
    for (const control::route_target& target : call.route_.targets_)
    {
        weights += std::max<std::int64_t>(target.weight_, 0);
    }
    auto point = static_cast<std::int64_t>(
        core::stable_hash(call.request_.attempt_) %
        static_cast<std::uint64_t>(std::max<std::int64_t>(weights, 1)));
    for (const control::route_target& target : call.route_.targets_)
    {
        if (target.weight_ > 0 && point < target.weight_)
        {
            call.service_ = target.service_;
            return;
        }
        point -= std::max<std::int64_t>(target.weight_, 0);
    }
    call.service_ = call.route_.targets_.front().service_;
}

std::optional<edge_controller::refusal> edge_controller::charge(edge_call& call)
{
    const control::catalog_service* service =
        call.catalog_->find_service(call.service_);
    const bool placed = service != nullptr && service->engine_;
    if (call.account_.empty() || placed)
    {
        // Streams are charged where they are placed.
        return std::nullopt;
    }
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const core::time_point now = core::steady_now();
    if (meter.admit(call.account_, call.price_, now))
    {
        call.paid_ = true;
        return std::nullopt;
    }
    const core::duration wait = std::max(
        meter.wait_for(call.account_, call.price_, now), least_rate_retry);
    return refusal{
        status_too_many,
        "over_rate",
        wait,
        meter.inputs(call.account_, call.price_, now)};
}

std::optional<edge_controller::refusal> edge_controller::prepare(
    edge_call& call)
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    if (!section.view_)
    {
        return refusal{
            status_unavailable, "no_catalog_yet", retry_without_catalog, ""};
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
    call.due_ = call.arrived_ + limit;
    if (auto refused = find_account(call))
    {
        return refused;
    }
    choose_target(call);
    call.digest_ = digest_of(call);
    if (with_.board_.section<group_section>().crashers_.count(call.digest_) !=
        0)
    {
        return refusal{
            status_unavailable,
            "quarantined",
            retry_quarantined,
            "digest " + call.digest_};
    }
    return charge(call);
}

bool edge_controller::has_started() const
{
    return with_.board_.section<catalog_section>().view_ != nullptr &&
           with_.board_.section<endpoint_section>().read_at_.ms_ != 0;
}

awaitable<void> edge_controller::until_started() const
{
    const core::time_point until = core::steady_now() + start_patience;
    while (!has_started() && core::steady_now() < until)
    {
        co_await drivers::sleep_for(start_check);
    }
}

awaitable<void> edge_controller::carry(
    drivers::http_exchange& exchange, edge_call& call, edge_end& end)
{
    tools_.resends_[call.service_].request(core::steady_now());
    const control::catalog_service* service =
        call.catalog_->find_service(call.service_);
    if (service != nullptr && service->engine_)
    {
        stream_edge work(tools_, places_, call, end);
        co_await work.run(exchange);
        co_return;
    }
    plain_edge work(tools_, call, end);
    co_await work.run(exchange);
}

awaitable<void> edge_controller::answer(drivers::http_exchange& exchange)
{
    using namespace drivers::asio::experimental::awaitable_operators;
    const core::counted active(active_);
    edge_call call;
    call.arrived_ = core::steady_now();
    call.request_ = tools_.dialect_.decode_request(exchange.request());
    edge_end end;
    co_await until_started();
    const std::optional<refusal> refused = prepare(call);
    if (refused)
    {
        end.status_ = refused->status_;
        end.outcome_ = refused->outcome_;
        end.detail_ = refused->inputs_;
        co_await answer_own(
            exchange,
            tools_.dialect_,
            call.request_,
            refused->status_,
            refused->retry_after_);
        note_end(call, end);
        co_return;
    }
    const auto ended = co_await (carry(exchange, call, end) || exchange.gone());
    if (ended.index() == 1)
    {
        end.outcome_ = "caller_left";
        exchange.abandon();
    }
    if (end.sends_ == 0 && call.paid_)
    {
        with_.board_.section<meter_section>().meter_.refund(
            call.account_, call.price_);
    }
    note_end(call, end);
}

void edge_controller::note_end(const edge_call& call, const edge_end& end)
{
    const core::time_point now = core::steady_now();
    const std::int64_t took = (now - call.arrived_).ms_;
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    log_event(
        end.outcome_ == "answered" ? log_level::info : log_level::warning,
        "request_end",
        {{"id", call.request_.attempt_},
         {"route", call.route_.name_},
         {"account", call.account_},
         {"service", call.service_},
         {"status", end.status_},
         {"outcome", end.outcome_},
         {"detail", end.detail_},
         {"endpoint", end.endpoint_},
         {"reader", end.reader_},
         {"sends", end.sends_},
         {"waited_ms", end.waited_ms_},
         {"read_ms", end.read_ms_},
         {"first_event_ms", end.first_event_ms_},
         {"events", end.events_},
         {"took_ms", took},
         {"catalog", call.catalog_ ? call.catalog_->whole().version_ : 0},
         {"list_age_ms", (now - list.read_at_).ms_}});
    with_.metrics_.count(
        "poplarroute_requests_total",
        {{"service", call.service_}, {"outcome", end.outcome_}});
    with_.metrics_.observe_ms(
        "poplarroute_request_ms",
        {{"service", call.service_}},
        static_cast<double>(took));
    if (end.first_event_ms_ >= 0)
    {
        with_.metrics_.observe_ms(
            "poplarroute_first_token_ms",
            {{"service", call.service_}},
            static_cast<double>(end.first_event_ms_));
    }
}

} // namespace poplarroute::node
