#include "node/relay_client.hpp"

#include <algorithm>
#include <utility>

#include "core/counted.hpp"
#include "node/ingress_call.hpp"
#include "node/reach_monitor.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration question_timeout{300};
constexpr core::duration connect_timeout{150};

/// How long the leader's word on hosts counts, and for how much longer it has
/// to do when no leader answers.
constexpr core::duration hosts_validity{1'000};
constexpr core::duration last_resort_validity{30'000};

/// Number of hosts to which one request is offered.
constexpr std::size_t max_offers = 3;

/// Requests that this host has handed to one other at a time.
constexpr std::size_t max_in_flight_per_host = 64;

/// Time without bytes after which the other host counts as lost. It ends a
/// stream by itself when an engine stalls.
constexpr core::duration silence_timeout{15'000};

/// Time that the other host needs to answer at the deadline.
constexpr core::duration answer_margin{100};

constexpr std::size_t max_answer_bytes = drivers::max_response_bytes;

int integer_of(std::string_view text)
{
    int out = 0;
    for (const char digit : text)
    {
        if (digit < '0' || digit > '9' || out > 1'000)
        {
            return 0;
        }
        out = out * 10 + (digit - '0');
    }
    return out;
}

bool is_event_stream(const drivers::header_list& headers)
{
    return drivers::find_header(headers, "Content-Type") == "text/event-stream";
}

} // namespace

relay_client::relay_client(context& with, const wire_codec& codec)
    : with_(with), codec_(codec)
{
}

bool relay_client::has_lost(const core::service_id& service)
{
    return with_.board_.section<reach_section>().lost_.count(service) != 0;
}

/// \return hosts that reach a service, as the leader names them; if no leader
/// answers, as it did before.
awaitable<std::vector<std::string>> relay_client::find_hosts(
    core::service_id service)
{
    const core::time_point now = core::steady_now();
    const bool is_known = hosts_.count(service) != 0;
    known_hosts& known = hosts_[service];
    const bool is_usable =
        is_known && now - known.heard_at_ < last_resort_validity;
    const bool is_fresh = is_usable && now - known.heard_at_ < hosts_validity;
    const bool is_asking =
        is_usable && now - known.asked_at_ < question_timeout;
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    if (is_fresh || is_asking || leader.empty())
    {
        co_return is_usable ? known.addresses_ : std::vector<std::string>();
    }
    relay_hosts_request request;
    request.host_ = with_.identity().host_;
    request.zone_ = with_.identity().zone_;
    request.service_ = service;
    known.asked_at_ = now;
    const core::result<relay_hosts_reply> reply =
        co_await ask<relay_hosts_reply>(
            with_.peers_,
            leader,
            method::relay_hosts,
            request,
            question_timeout);
    known_hosts& updated = hosts_[service];
    if (core::is_ok(reply))
    {
        updated.addresses_ = core::value(reply).addresses_;
        updated.heard_at_ = now;
    }
    co_return updated.addresses_;
}

awaitable<bool> relay_client::hand_on(
    drivers::http_exchange& exchange,
    ingress_call& call,
    ingress_result& result,
    std::optional<std::int64_t> resume_after)
{
    if (call.relayed_)
    {
        co_return false;
    }
    std::vector<std::string> hosts = co_await find_hosts(call.service_);
    std::stable_sort(
        hosts.begin(),
        hosts.end(),
        [this](const std::string& left, const std::string& right)
        {
            return in_flight_[left] < in_flight_[right];
        });
    hosts.resize(std::min(hosts.size(), max_offers));
    for (std::string& address : hosts)
    {
        if (in_flight_[address] >= max_in_flight_per_host ||
            time_left(call).ms_ == 0)
        {
            continue;
        }
        const core::counted running(in_flight_[address]);
        const attempt_result ended =
            co_await send(address, exchange, call, result, resume_after);
        with_.metrics_.count(
            "poplarroute_requests_handed_on_total",
            {{"service", call.service_},
             {"result",
              ended == attempt_result::answered   ? "answered"
              : ended == attempt_result::declined ? "declined"
                                                  : "lost"}});
        if (ended == attempt_result::declined)
        {
            continue;
        }
        if (ended == attempt_result::lost)
        {
            const bool late = time_left(call).ms_ == 0;
            result.status_ = late ? status_timeout : status_bad_gateway;
            result.outcome_ = late ? "timed_out" : "host_lost";
            if (exchange.opened())
            {
                exchange.abort_response();
            }
            else
            {
                co_await send_local_response(
                    exchange,
                    codec_,
                    call.request_,
                    result.status_,
                    std::nullopt);
            }
        }
        co_return true;
    }
    co_return false;
}

drivers::http_call relay_client::make_call(
    const std::string& address,
    const drivers::http_exchange& exchange,
    const ingress_call& call,
    std::optional<std::int64_t> resume_after) const
{
    const drivers::http_request& request = exchange.request();
    drivers::http_call out;
    out.address_ = address;
    out.method_ = request.method_;
    out.target_ = request.target_;
    out.body_ = request.body_;
    for (const auto& [name, value] : request.headers_)
    {
        if (!drivers::is_connection_header(name) && !is_relay_header(name))
        {
            out.headers_.emplace_back(name, value);
        }
    }
    out.headers_.emplace_back(relay_header::from, with_.identity().host_);
    out.headers_.emplace_back(
        relay_header::waited,
        std::to_string((core::steady_now() - call.arrived_at_).ms_));
    out.headers_.emplace_back(relay_header::charged, call.charged_ ? "1" : "0");
    if (resume_after)
    {
        codec_.add_resumption(out.headers_, call.request_, *resume_after);
    }
    out.timeout_ = time_left(call) + answer_margin;
    out.connect_timeout_ = std::min(connect_timeout, out.timeout_);
    // An answer on a kept connection could be a late one.
    out.own_connection_ = true;
    return out;
}

awaitable<relay_client::attempt_result> relay_client::send(
    std::string address,
    drivers::http_exchange& exchange,
    ingress_call& call,
    ingress_result& result,
    std::optional<std::int64_t> resume_after)
{
    result.relayed_to_ = address;
    result.is_handed_on_ = true;
    core::result<std::unique_ptr<drivers::http_stream>> opened =
        co_await with_.http_.open(
            make_call(address, exchange, call, resume_after));
    if (!core::is_ok(opened))
    {
        const bool is_unreached =
            core::failure(opened).code_ == core::errc::unreachable;
        result.detail_ = "handed on: " + core::failure(opened).message_;
        result.is_handed_on_ = !is_unreached;
        co_return is_unreached ? attempt_result::declined
                               : attempt_result::lost;
    }
    result.is_handed_on_ = false;
    drivers::http_stream& answer = *core::value(opened);
    const drivers::header_list headers = answer.headers();
    const std::string outcome(
        drivers::find_header(headers, relay_header::outcome));
    if (outcome == relay_declined)
    {
        result.detail_ = "the other host does not take it";
        co_return attempt_result::declined;
    }
    result.sends_ +=
        integer_of(drivers::find_header(headers, relay_header::sends));
    result.outcome_ = outcome;
    const bool continues =
        answer.status() == result.status_ && is_event_stream(headers);
    if (exchange.opened() && !continues)
    {
        result.detail_ = "the other host does not go on with the stream";
        co_return attempt_result::lost;
    }
    co_await pass_answer(answer, exchange, call, result);
    co_return result.status_ == 0 ? attempt_result::lost
                                  : attempt_result::answered;
}

/// Passes the other host's answer to the caller. The result has no status when
/// the answer broke before any of it was passed on.
awaitable<void> relay_client::pass_answer(
    drivers::http_stream& answer,
    drivers::http_exchange& exchange,
    ingress_call& call,
    ingress_result& result)
{
    drivers::header_list headers;
    for (const auto& [name, value] : answer.headers())
    {
        if (!is_relay_header(name) && !drivers::is_connection_header(name))
        {
            headers.emplace_back(name, value);
        }
    }
    result.status_ = answer.status();
    if (!is_event_stream(headers))
    {
        drivers::byte_hold held(with_.http_.budget());
        core::result<std::string> body = co_await answer.read_rest(
            time_left(call) + answer_margin, max_answer_bytes, held);
        if (!core::is_ok(body))
        {
            result.status_ = 0;
            co_return;
        }
        co_await exchange.send(
            result.status_, std::move(headers), std::move(core::value(body)));
        co_return;
    }
    if (!exchange.opened())
    {
        result.opened_ = true;
        co_await exchange.start_stream(result.status_, std::move(headers));
    }
    for (;;)
    {
        core::result<std::optional<std::string>> piece =
            co_await answer.read_some(silence_timeout);
        if (core::is_ok(piece) && !core::value(piece))
        {
            result.outcome_ = "answered";
            co_await exchange.finish();
            co_return;
        }
        if (!core::is_ok(piece) ||
            !co_await exchange.write(*core::value(piece)))
        {
            result.outcome_ = "stream_broken";
            exchange.abort_response();
            co_return;
        }
    }
}

} // namespace poplarroute::node
