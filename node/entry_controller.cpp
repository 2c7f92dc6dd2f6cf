#include "node/entry_controller.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <nlohmann/json.hpp>

#include "core/counted.hpp"
#include "core/digest.hpp"
#include "drivers/log.hpp"
#include "node/model_request.hpp"
#include "node/plain_request.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

constexpr core::duration renew_interval{2'000};
constexpr core::duration max_interactive_token_wait{300};
constexpr core::duration max_batch_token_wait{3'000};
constexpr core::duration max_request_duration{24LL * 3'600'000};

/// How long a starting host waits for the control group to confirm that its
/// directory version is current. An isolated host then serves with the version
/// it has.
constexpr core::duration max_confirmation_wait{5'000};

/// A stream may take this many times its target time per token.
constexpr std::int64_t slowest_token_factor = 4;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t request_id_bytes = 8;
constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

refusal_response not_run_refusal(
    int status, std::string code, std::string message)
{
    return {status, std::move(code), std::move(message), true, std::nullopt};
}

/// \return whether a request that was not looked at further can be said not to
/// have run. One that must run once may have run earlier, with the same key.
bool may_promise_not_run(const request_info& info)
{
    return info.route_.idempotent_;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

bool has_usable_version(const context& with)
{
    const directory_section& section = with.directory();
    if (section.fleet_.version() == 0)
    {
        return false;
    }
    const core::duration uptime =
        core::steady_now() - with.lifecycle().started_at_;
    return section.confirmed_ || uptime > max_confirmation_wait;
}

entry_controller::entry_controller(
    context& with,
    pool_client& pools,
    escrow_controller& escrow,
    control_client& control,
    crash_detector& crashes)
    : with_(with),
      pools_(pools),
      escrow_(escrow),
      control_(control),
      crashes_(crashes),
      stop_(with.io_)
{
}

void entry_controller::start()
{
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            cancel_withdrawn_key_requests();
        });
    drivers::spawn_loop(
        with_.io_,
        "renew_loop",
        [this]()
        {
            return renew_loop();
        });
}

awaitable<void> entry_controller::renew_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(renew_interval);
        co_await pools_.renew_placements();
        with_.board_.section<quarantine_section>().records_.expire(
            core::steady_now());
    }
}

bool entry_controller::is_key_valid(const std::string& key_id) const
{
    const directory_section& section = with_.directory();
    const auto found = section.fleet_.keys().find(key_id);
    return found != section.fleet_.keys().end() && !found->second.withdrawn_ &&
           section.early_withdrawn_keys_.count(key_id) == 0;
}

void entry_controller::cancel_withdrawn_key_requests()
{
    for (auto& [id, caller] : with_.board_.section<running_section>().callers_)
    {
        if (!caller.first.empty() && !is_key_valid(caller.first))
        {
            caller.second();
        }
    }
}

entry_controller::optional_refusal entry_controller::find_route(
    const drivers::http_request& request, request_info& info) const
{
    const control::configuration& settings =
        with_.directory().fleet_.settings();
    const std::string_view path = path_of(request.target_);
    bool path_known = false;
    for (const control::route_settings& route : settings.routes_)
    {
        if (route.path_ != path)
        {
            continue;
        }
        path_known = true;
        if (route.method_ == request.method_)
        {
            info.route_ = route;
            info.service_ = settings.services_.at(route.service_);
            return std::nullopt;
        }
    }
    if (path_known)
    {
        return not_run_refusal(
            405, "method_not_allowed", "No such method on this path.");
    }
    return not_run_refusal(404, "not_found", "No route has this path.");
}

entry_controller::optional_refusal entry_controller::check_key(
    const drivers::http_request& request, request_info& info) const
{
    if (info.route_.open_)
    {
        return std::nullopt;
    }
    const std::string_view header =
        drivers::find_header(request.headers_, "Authorization");
    const std::string_view presented_key =
        header.starts_with(bearer_prefix) ? header.substr(bearer_prefix.size())
                                          : std::string_view();
    core::api_key key;
    const auto account = with_.directory().fleet_.account_of(presented_key);
    if (!account || !core::parse_api_key(presented_key, key) ||
        !is_key_valid(key.id_))
    {
        return not_run_refusal(401, "invalid_key", "The key is not valid.");
    }
    const auto& allowed = info.route_.accounts_;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), *account) == allowed.end())
    {
        return not_run_refusal(
            403, "not_allowed", "This route is not for the account.");
    }
    info.account_ = *account;
    info.key_id_ = key.id_;
    const auto& accounts = with_.directory().fleet_.settings().accounts_;
    info.weight_ = accounts.at(*account).weight_;
    return std::nullopt;
}

entry_controller::optional_refusal entry_controller::check_host() const
{
    const directory_section& section = with_.directory();
    const core::host_id& self = with_.identity().host_;
    refusal_response refusal =
        not_run_refusal(503, "host_out", "This host takes no new work.");
    refusal.retry_after_ = core::duration{1'000};
    if (with_.lifecycle().draining_ || !has_usable_version(with_) ||
        section.fleet_.is_host_out_of_service(self))
    {
        return refusal;
    }
    return std::nullopt;
}

/// \param longest how long the request may last.
entry_controller::optional_refusal entry_controller::check_stop(
    core::duration longest) const
{
    if (stop_.admits_until(core::steady_now() + longest))
    {
        return std::nullopt;
    }
    refusal_response refusal = not_run_refusal(
        status_unavailable,
        "host_stopping",
        "This host stops before the request is certain to end.");
    refusal.retry_after_ = stopping_retry_after;
    return refusal;
}

entry_controller::optional_refusal entry_controller::check_isolation(
    const request_info& info) const
{
    const directory_section& section = with_.directory();
    if (info.route_.open_)
    {
        return std::nullopt;
    }
    // A host without contact to the control group does not learn of withdrawn
    // keys either.
    const auto& accounts = section.fleet_.settings().accounts_;
    const core::duration limit = accounts.at(info.account_).cut_off_limit_;
    if (core::steady_now() - section.current_as_of_ > limit)
    {
        refusal_response refusal = not_run_refusal(
            503, "cut_off", "This host is cut off for longer than allowed.");
        refusal.retry_after_ = core::duration{1'000};
        return refusal;
    }
    return std::nullopt;
}

awaitable<void> entry_controller::list_models(drivers::http_exchange& exchange)
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto& [name, service] :
         with_.directory().fleet_.settings().services_)
    {
        if (service.kind_ == control::service_kind::model)
        {
            models.push_back({{"id", service.model_}, {"object", "model"}});
        }
    }
    const nlohmann::json list{{"object", "list"}, {"data", std::move(models)}};
    drivers::header_list headers{{"Content-Type", "application/json"}};
    std::string body = list.dump();
    co_await exchange.send(status_ok, std::move(headers), std::move(body));
}

awaitable<void> entry_controller::answer(drivers::http_exchange& exchange)
{
    using namespace drivers::asio::experimental::awaitable_operators;
    const core::counted active(active_);
    if (exchange.request().method_ == "GET" &&
        path_of(exchange.request().target_) == "/v1/models")
    {
        co_await list_models(exchange);
        co_return;
    }
    request_info info;
    info.arrived_ = core::steady_now();
    info.id_ = "req-" + core::random_hex(request_id_bytes);
    request_outcome outcome;
    // check_host() decides first: a host without a usable directory version
    // knows neither routes nor keys.
    const optional_refusal route_missing = find_route(exchange.request(), info);
    optional_refusal refusal = check_host();
    refusal = refusal ? refusal : route_missing;
    refusal = refusal ? refusal : check_key(exchange.request(), info);
    refusal = refusal ? refusal : check_isolation(info);
    if (refusal)
    {
        refusal->not_run_ = may_promise_not_run(info);
        outcome.code_ = refusal->code_;
        outcome.result_ = refusal->status_ == status_unavailable
                              ? service_result::refused
                              : service_result::excluded;
        co_await refuse(exchange, *refusal);
        report_outcome(info, outcome);
        co_return;
    }
    pending_value<int> key_withdrawn(with_.io_);
    running_section& running = with_.board_.section<running_section>();
    const std::uint64_t caller = running.next_caller_id_++;
    running.callers_[caller] = {
        info.key_id_,
        [&key_withdrawn]()
        {
            key_withdrawn.set(1);
        }};
    const auto completed = co_await (
        answer_route(exchange, info, outcome) || exchange.gone() ||
        key_withdrawn.wait(max_request_duration) || stop_.closed());
    running.callers_.erase(caller);
    if (completed.index() == 1)
    {
        outcome.code_ = "caller_gone";
        outcome.result_ = service_result::excluded;
        exchange.abort_response();
    }
    if (completed.index() == 2)
    {
        outcome.code_ = "key_withdrawn";
        outcome.result_ = service_result::excluded;
        if (exchange.opened())
        {
            exchange.abort_response();
        }
        else
        {
            refusal_response withdrawn =
                not_run_refusal(401, "invalid_key", "The key was withdrawn.");
            withdrawn.not_run_ = !outcome.may_have_run_;
            co_await refuse(exchange, std::move(withdrawn));
        }
    }
    if (completed.index() == 3)
    {
        outcome.code_ = "host_stopped";
        outcome.result_ = service_result::failed;
        co_await end_unfinished(exchange, outcome);
    }
    report_outcome(info, outcome);
}

/// Ends a request that still runs when the host stops: with an answer, unless
/// one has begun.
awaitable<void> entry_controller::end_unfinished(
    drivers::http_exchange& exchange, const request_outcome& outcome)
{
    if (exchange.opened())
    {
        exchange.abort_response();
        co_return;
    }
    refusal_response refusal = not_run_refusal(
        outcome.may_have_run_ ? status_bad_gateway : status_unavailable,
        "host_stopped",
        "The host stopped before the request had ended.");
    refusal.not_run_ = !outcome.may_have_run_;
    if (refusal.not_run_)
    {
        refusal.retry_after_ = stopping_retry_after;
    }
    co_await refuse(exchange, std::move(refusal));
}

awaitable<void> entry_controller::answer_route(
    drivers::http_exchange& exchange,
    request_info& info,
    request_outcome& outcome)
{
    if (info.service_.kind_ == control::service_kind::model)
    {
        co_await answer_model(exchange, info, outcome);
    }
    else
    {
        co_await answer_plain(exchange, info, outcome);
    }
}

awaitable<bool> entry_controller::charge_account(
    drivers::http_exchange& exchange,
    const request_info& info,
    std::int64_t tokens,
    request_outcome& outcome)
{
    if (info.account_.empty())
    {
        co_return true;
    }
    const auto& accounts = with_.directory().fleet_.settings().accounts_;
    const auto account = accounts.find(info.account_);
    if (account != accounts.end() && tokens > account->second.burst_)
    {
        outcome.code_ = "too_large";
        outcome.result_ = service_result::excluded;
        refusal_response refusal = not_run_refusal(
            413, "too_large", "The request exceeds the account's burst.");
        co_await refuse(exchange, std::move(refusal));
        co_return false;
    }
    const core::duration max_wait = info.route_.interactive_
                                        ? max_interactive_token_wait
                                        : max_batch_token_wait;
    const charge_outcome charged =
        co_await escrow_.charge(info.account_, tokens, max_wait);
    if (charged.paid_)
    {
        co_return true;
    }
    refusal_response refusal = not_run_refusal(
        429, "rate_limited", "The account's tokens are used up for now.");
    refusal.not_run_ = may_promise_not_run(info);
    refusal.retry_after_ = charged.retry_after_;
    outcome.code_ = refusal.code_;
    outcome.result_ = service_result::excluded;
    co_await refuse(exchange, std::move(refusal));
    co_return false;
}

awaitable<void> entry_controller::answer_model(
    drivers::http_exchange& exchange,
    const request_info& info,
    request_outcome& outcome)
{
    const bool chat = info.route_.path_.ends_with("chat/completions");
    const auto parsed = parse_completion(exchange.request().body_, chat);
    if (!core::is_ok(parsed))
    {
        outcome.code_ = "bad_request";
        outcome.result_ = service_result::excluded;
        refusal_response refusal =
            not_run_refusal(400, "bad_request", core::failure(parsed).message_);
        co_await refuse(exchange, std::move(refusal));
        co_return;
    }
    const completion_request& completion = core::value(parsed);
    if (completion.model_ != info.service_.model_)
    {
        outcome.code_ = "model_not_found";
        outcome.result_ = service_result::excluded;
        refusal_response refusal = not_run_refusal(
            404, "model_not_found", "This route has no such model.");
        co_await refuse(exchange, std::move(refusal));
        co_return;
    }
    const control::latency_target& target = info.route_.interactive_
                                                ? info.service_.interactive_
                                                : info.service_.batch_;
    const core::duration longest =
        target.first_token_ + target.between_tokens_ * (completion.max_tokens_ *
                                                        slowest_token_factor);
    if (const optional_refusal refusal = check_stop(longest))
    {
        outcome.code_ = refusal->code_;
        outcome.result_ = service_result::refused;
        co_await refuse(exchange, *refusal);
        co_return;
    }
    const std::int64_t price =
        completion.prompt_tokens_ + completion.max_tokens_;
    const bool paid = co_await charge_account(exchange, info, price, outcome);
    if (!paid)
    {
        co_return;
    }
    // Unused tokens are refunded, also when the coroutine is destroyed early.
    struct refund_on_exit
    {
        escrow_controller& escrow_;
        const request_info& info_;
        const request_outcome& outcome_;
        std::int64_t price_;

        ~refund_on_exit()
        {
            if (!info_.account_.empty())
            {
                escrow_.refund(info_.account_, price_ - outcome_.used_tokens_);
            }
        }
    };
    const refund_on_exit refund{escrow_, info, outcome, price};
    model_request request(
        with_, pools_, crashes_, retry_budget_, info, completion, exchange);
    co_await request.run(outcome);
}

awaitable<void> entry_controller::answer_plain(
    drivers::http_exchange& exchange,
    const request_info& info,
    request_outcome& outcome)
{
    if (optional_refusal refusal = check_stop(max_plain_request_time))
    {
        refusal->not_run_ = may_promise_not_run(info);
        outcome.code_ = refusal->code_;
        outcome.result_ = service_result::refused;
        co_await refuse(exchange, *refusal);
        co_return;
    }
    const bool paid = co_await charge_account(
        exchange, info, info.service_.call_cost_, outcome);
    if (!paid)
    {
        co_return;
    }
    struct release_claim_on_exit
    {
        plain_request& request_;

        ~release_claim_on_exit()
        {
            request_.release_claim();
        }
    };
    plain_request request(
        with_, pools_, control_, retry_budget_, info, exchange);
    const release_claim_on_exit claim{request};
    co_await request.run(outcome);
}

void entry_controller::report_outcome(
    const request_info& info, const request_outcome& outcome)
{
    const core::time_point now = core::steady_now();
    const std::string route =
        info.route_.name_.empty() ? "none" : info.route_.name_;
    history_.add(info.account_, route, outcome.result_, now);
    with_.metrics_.count(
        "poplarroute_requests_total",
        {{"route", route}, {"end", outcome.code_}});
    with_.metrics_.observe_ms(
        "poplarroute_request_ms",
        {{"route", route}},
        static_cast<double>((now - info.arrived_).ms_));
    if (outcome.code_ != "ok")
    {
        with_.metrics_.count(
            "poplarroute_refusals_total",
            {{"code", outcome.code_}, {"account", info.account_}});
    }
    log_event(
        log_level::info,
        "request_done",
        {{"request", info.id_},
         {"account", info.account_},
         {"route", route},
         {"end", outcome.code_},
         {"attempts", outcome.attempts_},
         {"attempt", to_string(outcome.last_attempt_)},
         {"endpoint", outcome.endpoint_},
         {"version", with_.directory().fleet_.version()},
         {"milliseconds", (now - info.arrived_).ms_}});
}

} // namespace poplarroute::node
