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

constexpr core::duration renew_every{2'000};
constexpr core::duration interactive_token_patience{300};
constexpr core::duration batch_token_patience{3'000};
constexpr core::duration longest_request{24LL * 3'600'000};

/// How long a host that starts waits for the control group's word that its
/// version is current. One that is cut off then serves with what it has.
constexpr core::duration confirmation_patience{5'000};

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t request_id_bytes = 8;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

refusal_answer not_run(int status, std::string code, std::string message)
{
    return {status, std::move(code), std::move(message), true, std::nullopt};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

bool has_settled_version(const context& with)
{
    const directory_section& section = with.directory();
    if (section.fleet_.version() == 0)
    {
        return false;
    }
    const core::duration up = core::steady_now() - with.lifecycle().started_at_;
    return section.confirmed_ || up > confirmation_patience;
}

entry_controller::entry_controller(
    context& with,
    pool_gateway& pools,
    escrow_controller& escrow,
    control_link& control,
    crash_watch& crashes)
    : with_(with),
      pools_(pools),
      escrow_(escrow),
      control_(control),
      crashes_(crashes)
{
}

void entry_controller::start()
{
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            stop_withdrawn();
        });
    drivers::spawn(with_.io_, renew_loop());
}

awaitable<void> entry_controller::renew_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(renew_every);
        co_await pools_.renew_all();
        with_.board_.section<quarantine_section>().records_.expire(
            core::steady_now());
    }
}

bool entry_controller::key_still_valid(const std::string& key_id) const
{
    const directory_section& section = with_.directory();
    const auto found = section.fleet_.keys().find(key_id);
    return found != section.fleet_.keys().end() && !found->second.withdrawn_ &&
           section.withdrawn_early_.count(key_id) == 0;
}

void entry_controller::stop_withdrawn()
{
    for (auto& [id, caller] : with_.board_.section<running_section>().callers_)
    {
        if (!caller.first.empty() && !key_still_valid(caller.first))
        {
            caller.second();
        }
    }
}

entry_controller::refusal entry_controller::find_route(
    const drivers::http_request& request, request_facts& facts) const
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
            facts.route_ = route;
            facts.service_ = settings.services_.at(route.service_);
            return std::nullopt;
        }
    }
    if (path_known)
    {
        return not_run(
            405, "method_not_allowed", "No such method on this path.");
    }
    return not_run(404, "not_found", "No route has this path.");
}

entry_controller::refusal entry_controller::check_key(
    const drivers::http_request& request, request_facts& facts) const
{
    if (facts.route_.open_)
    {
        return std::nullopt;
    }
    const std::string_view header =
        drivers::find_header(request.headers_, "Authorization");
    const std::string_view shown = header.starts_with(bearer)
                                       ? header.substr(bearer.size())
                                       : std::string_view();
    core::shown_key key;
    const auto account = with_.directory().fleet_.account_of(shown);
    if (!account || !core::parse_key(shown, key) || !key_still_valid(key.id_))
    {
        return not_run(401, "invalid_key", "The key is not valid.");
    }
    const auto& allowed = facts.route_.accounts_;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), *account) == allowed.end())
    {
        return not_run(
            403, "not_allowed", "This route is not for the account.");
    }
    facts.account_ = *account;
    facts.key_id_ = key.id_;
    const auto& accounts = with_.directory().fleet_.settings().accounts_;
    facts.weight_ = accounts.at(*account).weight_;
    return std::nullopt;
}

entry_controller::refusal entry_controller::check_host() const
{
    const directory_section& section = with_.directory();
    const core::host_id& self = with_.identity().host_;
    refusal_answer busy =
        not_run(503, "host_out", "This host takes no new work.");
    busy.retry_after_ = core::duration{1'000};
    if (with_.lifecycle().draining_ || !has_settled_version(with_) ||
        section.fleet_.is_host_out_of_service(self))
    {
        return busy;
    }
    return std::nullopt;
}

entry_controller::refusal entry_controller::check_cut_off(
    const request_facts& facts) const
{
    const directory_section& section = with_.directory();
    if (facts.route_.open_)
    {
        return std::nullopt;
    }
    // A host that hears nothing of the control group cannot hear of a
    // withdrawal either.
    const auto& accounts = section.fleet_.settings().accounts_;
    const core::duration limit = accounts.at(facts.account_).cut_off_limit_;
    if (core::steady_now() - section.current_at_ > limit)
    {
        refusal_answer cut = not_run(
            503, "cut_off", "This host is cut off for longer than allowed.");
        cut.retry_after_ = core::duration{1'000};
        return cut;
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
    request_facts facts;
    facts.arrived_ = core::steady_now();
    facts.id_ = "req-" + core::random_hex(request_id_bytes);
    request_end end;
    // A host that has no settled version knows neither routes nor keys.
    refusal no = check_host();
    no = no ? no : find_route(exchange.request(), facts);
    no = no ? no : check_key(exchange.request(), facts);
    no = no ? no : check_cut_off(facts);
    if (no)
    {
        end.code_ = no->code_;
        end.result_ = no->status_ == status_unavailable
                          ? service_result::refused
                          : service_result::excluded;
        co_await refuse(exchange, *no);
        note_end(facts, end);
        co_return;
    }
    awaited<int> withdrawn(with_.io_);
    running_section& running = with_.board_.section<running_section>();
    const std::uint64_t caller = running.next_caller_++;
    running.callers_[caller] = {
        facts.key_id_,
        [&withdrawn]()
        {
            withdrawn.set(1);
        }};
    const auto ended = co_await (
        answer_route(exchange, facts, end) || exchange.gone() ||
        withdrawn.wait(longest_request));
    running.callers_.erase(caller);
    if (ended.index() == 1)
    {
        end.code_ = "caller_gone";
        end.result_ = service_result::excluded;
        exchange.abandon();
    }
    if (ended.index() == 2)
    {
        end.code_ = "key_withdrawn";
        end.result_ = service_result::excluded;
        if (exchange.opened())
        {
            exchange.abandon();
        }
        else
        {
            refusal_answer why =
                not_run(401, "invalid_key", "The key was withdrawn.");
            why.not_run_ = !end.may_have_run_;
            co_await refuse(exchange, std::move(why));
        }
    }
    note_end(facts, end);
}

awaitable<void> entry_controller::answer_route(
    drivers::http_exchange& exchange, request_facts& facts, request_end& end)
{
    if (facts.service_.kind_ == control::service_kind::model)
    {
        co_await answer_model(exchange, facts, end);
    }
    else
    {
        co_await answer_plain(exchange, facts, end);
    }
}

awaitable<bool> entry_controller::pay(
    drivers::http_exchange& exchange,
    const request_facts& facts,
    std::int64_t tokens,
    request_end& end)
{
    if (facts.account_.empty())
    {
        co_return true;
    }
    const auto& accounts = with_.directory().fleet_.settings().accounts_;
    const auto account = accounts.find(facts.account_);
    if (account != accounts.end() && tokens > account->second.burst_)
    {
        end.code_ = "too_large";
        end.result_ = service_result::excluded;
        refusal_answer large = not_run(
            413, "too_large", "The request exceeds the account's burst.");
        co_await refuse(exchange, std::move(large));
        co_return false;
    }
    const core::duration patience = facts.route_.interactive_
                                        ? interactive_token_patience
                                        : batch_token_patience;
    const charge_outcome charged =
        co_await escrow_.charge(facts.account_, tokens, patience);
    if (charged.paid_)
    {
        co_return true;
    }
    refusal_answer why = not_run(
        429, "rate_limited", "The account's tokens are used up for now.");
    // Of a non-idempotent call an earlier attempt may have run.
    why.not_run_ = facts.route_.idempotent_;
    why.retry_after_ = charged.retry_after_;
    end.code_ = why.code_;
    end.result_ = service_result::excluded;
    co_await refuse(exchange, std::move(why));
    co_return false;
}

awaitable<void> entry_controller::answer_model(
    drivers::http_exchange& exchange,
    const request_facts& facts,
    request_end& end)
{
    const bool chat = facts.route_.path_.ends_with("chat/completions");
    const auto parsed = parse_completion(exchange.request().body_, chat);
    if (!core::is_ok(parsed))
    {
        end.code_ = "bad_request";
        end.result_ = service_result::excluded;
        refusal_answer bad =
            not_run(400, "bad_request", core::failure(parsed).message_);
        co_await refuse(exchange, std::move(bad));
        co_return;
    }
    const completion_request& asked = core::value(parsed);
    if (asked.model_ != facts.service_.model_)
    {
        end.code_ = "model_not_found";
        end.result_ = service_result::excluded;
        refusal_answer unknown =
            not_run(404, "model_not_found", "This route has no such model.");
        co_await refuse(exchange, std::move(unknown));
        co_return;
    }
    const std::int64_t price = asked.prompt_tokens_ + asked.max_tokens_;
    const bool paid = co_await pay(exchange, facts, price, end);
    if (!paid)
    {
        co_return;
    }
    // What was not used goes back, also when the coroutine is ended from
    // outside.
    struct refund_at_end
    {
        escrow_controller& escrow_;
        const request_facts& facts_;
        const request_end& end_;
        std::int64_t price_;

        ~refund_at_end()
        {
            if (!facts_.account_.empty())
            {
                escrow_.refund(facts_.account_, price_ - end_.used_tokens_);
            }
        }
    };
    const refund_at_end refund{escrow_, facts, end, price};
    model_request request(
        with_, pools_, crashes_, retries_, facts, asked, exchange);
    co_await request.run(end);
}

awaitable<void> entry_controller::answer_plain(
    drivers::http_exchange& exchange,
    const request_facts& facts,
    request_end& end)
{
    const bool paid =
        co_await pay(exchange, facts, facts.service_.call_cost_, end);
    if (!paid)
    {
        co_return;
    }
    struct claim_at_end
    {
        plain_request& request_;

        ~claim_at_end()
        {
            request_.give_back_claim();
        }
    };
    plain_request request(with_, pools_, control_, retries_, facts, exchange);
    const claim_at_end claim{request};
    co_await request.run(end);
}

void entry_controller::note_end(
    const request_facts& facts, const request_end& end)
{
    const core::time_point now = core::steady_now();
    const std::string route =
        facts.route_.name_.empty() ? "none" : facts.route_.name_;
    burn_.add(facts.account_, route, end.result_, now);
    with_.metrics_.count(
        "poplarroute_requests_total", {{"route", route}, {"end", end.code_}});
    with_.metrics_.observe_ms(
        "poplarroute_request_ms",
        {{"route", route}},
        static_cast<double>((now - facts.arrived_).ms_));
    if (end.code_ != "ok")
    {
        with_.metrics_.count(
            "poplarroute_refusals_total",
            {{"code", end.code_}, {"account", facts.account_}});
    }
    log_event(
        log_level::info,
        "request_done",
        {{"request", facts.id_},
         {"account", facts.account_},
         {"route", route},
         {"end", end.code_},
         {"attempts", end.attempts_},
         {"attempt", to_string(end.last_attempt_)},
         {"endpoint", end.endpoint_},
         {"version", with_.directory().fleet_.version()},
         {"milliseconds", (now - facts.arrived_).ms_}});
}

} // namespace poplarroute::node
