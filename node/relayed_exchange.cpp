#include "node/relayed_exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "node/relay_messages.hpp"

namespace poplarroute::node
{

namespace
{

constexpr std::int64_t max_waited_ms = 3'600'000;

std::int64_t parse_ms(std::string_view text)
{
    std::int64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return std::clamp<std::int64_t>(out, 0, max_waited_ms);
}

/// \return whether another host may still serve the request: this one has not
/// sent it, for a reason of its own.
bool is_declined(const ingress_result& result)
{
    const bool has_reason =
        result.unreached_ || result.outcome_ == "no_catalog_yet" ||
        result.outcome_ == "host_stopping" || result.outcome_ == relay_declined;
    return has_reason && result.sends_ == 0 &&
           result.status_ == status_unavailable;
}

} // namespace

relayed_exchange::relayed_exchange(
    drivers::http_exchange& inner, const ingress_result& result)
    : inner_(inner), result_(result)
{
    request_ = inner.request();
    waited_ = core::duration{parse_ms(
        drivers::find_header(request_.headers_, relay_header::waited))};
    charged_ =
        drivers::find_header(request_.headers_, relay_header::charged) == "1";
    std::erase_if(
        request_.headers_,
        [](const auto& item)
        {
            return is_relay_header(item.first);
        });
}

void relayed_exchange::read_headers(ingress_call& call) const
{
    call.relayed_ = true;
    call.charged_ = charged_;
    call.arrived_at_ = core::steady_now() - waited_;
}

void relayed_exchange::add_result(drivers::header_list& headers) const
{
    headers.emplace_back(
        relay_header::outcome,
        is_declined(result_) ? relay_declined : result_.outcome_);
    headers.emplace_back(relay_header::sends, std::to_string(result_.sends_));
}

awaitable<void> relayed_exchange::send(
    int status, drivers::header_list headers, std::string body)
{
    mark_response_started();
    add_result(headers);
    co_await inner_.send(status, std::move(headers), std::move(body));
}

awaitable<void> relayed_exchange::start_stream(
    int status, drivers::header_list headers)
{
    mark_response_started();
    add_result(headers);
    co_await inner_.start_stream(status, std::move(headers));
}

awaitable<bool> relayed_exchange::write(std::string_view piece)
{
    return inner_.write(piece);
}

awaitable<void> relayed_exchange::finish()
{
    return inner_.finish();
}

void relayed_exchange::abort_response()
{
    inner_.abort_response();
}

awaitable<void> relayed_exchange::gone()
{
    return inner_.gone();
}

bool relayed_exchange::is_abandoned()
{
    return inner_.is_abandoned();
}

} // namespace poplarroute::node
