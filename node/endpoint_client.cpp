#include "node/endpoint_client.hpp"

#include <algorithm>
#include <utility>

#include "drivers/log.hpp"
#include "node/leader_notes.hpp"
#include "node/reach_monitor.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

constexpr int min_error_status = 300;

} // namespace

endpoint_client::endpoint_client(context& with, const wire_codec& codec)
    : with_(with), codec_(codec), limits_(with)
{
}

/// \return why a call may not be sent now; nothing when it may. It is then
/// counted as sent.
std::optional<core::error> endpoint_client::find_objection(
    const core::endpoint_id& to, policy::call_purpose purpose)
{
    policy::endpoint_notices& notices =
        with_.board_.section<endpoint_section>().notices_;
    const core::time_point now = core::steady_now();
    if (!notices.may_send(to, purpose, now))
    {
        with_.metrics_.count("poplarroute_calls_withheld_total");
        const bool leaving = notices.is_leaving(to, now);
        return core::error{
            core::errc::withheld,
            leaving ? "the endpoint is leaving"
                    : "the endpoint has turned this host away"};
    }
    notices.record_send(to, now);
    return std::nullopt;
}

void endpoint_client::record_notice(
    const core::endpoint_id& from, const policy::endpoint_notice& notice)
{
    if (!notice.leaving_ && !notice.stay_away_)
    {
        return;
    }
    endpoint_section& section = with_.board_.section<endpoint_section>();
    const core::time_point now = core::steady_now();
    policy::listed_state listed{from};
    core::service_id service;
    const auto known = section.endpoints_.find(from);
    if (known != section.endpoints_.end())
    {
        listed = to_listed_state(known->second.listed_);
        service = known->second.listed_.service_;
    }
    const bool newly_leaving = section.notices_.record(listed, notice, now);
    if (notice.stay_away_)
    {
        with_.metrics_.count(
            "poplarroute_endpoint_notices_total", {{"kind", "stay_away"}});
        log_event(
            log_level::info,
            "endpoint_turned_away",
            {{"endpoint", from},
             {"service", service},
             {"stay_away_ms", notice.stay_away_->ms_}});
    }
    if (!newly_leaving)
    {
        return;
    }
    with_.metrics_.count(
        "poplarroute_endpoint_notices_total", {{"kind", "leaving"}});
    log_event(
        log_level::info,
        "endpoint_leaving",
        {{"endpoint", from},
         {"service", service},
         {"listed", listed.leaving_ ? "leaving" : "ready"},
         {"list_age_ms", (now - section.read_at_).ms_}});
    // A lost event is made up for by the next watch, which names the endpoint
    // as well.
    engine_event_message event;
    event.service_ = service;
    event.leaving_ = from;
    send_to_leader(with_, std::move(event));
}

/// Takes the permissions to send a call.
/// \param call is not sent after they end.
/// \return why it may not be sent; nothing when it may.
awaitable<std::optional<core::error>> endpoint_client::prepare(
    core::endpoint_id to,
    policy::call_purpose purpose,
    drivers::http_call& call)
{
    if (purpose == policy::call_purpose::request)
    {
        const send_permit permit = co_await limits_.take(to);
        if (!permit.granted_)
        {
            with_.metrics_.count("poplarroute_calls_withheld_total");
            co_return core::error{
                core::errc::withheld, "the endpoint's limit leaves no room"};
        }
        if (permit.until_)
        {
            call.send_before_ = std::min(
                call.send_before_.value_or(*permit.until_), *permit.until_);
        }
    }
    co_return find_objection(to, purpose);
}

/// Records what an answer says of further calls.
void endpoint_client::record_answer(
    const core::endpoint_id& from,
    policy::call_purpose purpose,
    core::time_point sent_at,
    int status,
    const drivers::header_list& headers)
{
    const policy::endpoint_notice notice = codec_.notice_of(status, headers);
    record_notice(from, notice);
    // Only answers to requests are sure to name a limit that is in force.
    const bool ends_limit = !notice.limit_ && notice.is_limit_readable_ &&
                            purpose == policy::call_purpose::request &&
                            status < min_error_status;
    if (notice.limit_)
    {
        limits_.record(from, {notice.limit_, core::steady_now()});
    }
    else if (ends_limit)
    {
        limits_.record(from, {std::nullopt, sent_at});
    }
}

/// Records what a call showed of the path to an endpoint.
/// \param failure null: it answered.
void endpoint_client::record_reach(
    const core::endpoint_id& to, const core::error* failure)
{
    const auto& list = with_.board_.section<endpoint_section>().endpoints_;
    const auto found = list.find(to);
    if (found == list.end())
    {
        return;
    }
    policy::endpoint_reach& reach =
        with_.board_.section<reach_section>()
            .services_[found->second.listed_.service_];
    const core::time_point now = core::steady_now();
    if (failure == nullptr)
    {
        reach.record_reached(to, now);
    }
    else if (failure->code_ == core::errc::unreachable)
    {
        reach.record_unreached(to, now);
    }
    else if (failure->code_ != core::errc::withheld)
    {
        reach.record_doubt(now);
    }
}

awaitable<core::result<drivers::http_response>> endpoint_client::request(
    core::endpoint_id to, policy::call_purpose purpose, drivers::http_call call)
{
    if (auto objection = co_await prepare(to, purpose, call))
    {
        co_return std::move(*objection);
    }
    const core::time_point sent_at = core::steady_now();
    core::result<drivers::http_response> reply =
        co_await with_.http_.request(std::move(call));
    record_reach(to, core::is_ok(reply) ? nullptr : &core::failure(reply));
    if (core::is_ok(reply))
    {
        const drivers::http_response& response = core::value(reply);
        record_answer(
            to, purpose, sent_at, response.status_, response.headers_);
    }
    co_return std::move(reply);
}

awaitable<core::result<std::unique_ptr<drivers::http_stream>>>
endpoint_client::open(
    core::endpoint_id to, policy::call_purpose purpose, drivers::http_call call)
{
    if (auto objection = co_await prepare(to, purpose, call))
    {
        co_return std::move(*objection);
    }
    const core::time_point sent_at = core::steady_now();
    core::result<std::unique_ptr<drivers::http_stream>> opened =
        co_await with_.http_.open(std::move(call));
    record_reach(to, core::is_ok(opened) ? nullptr : &core::failure(opened));
    if (core::is_ok(opened))
    {
        const drivers::http_stream& stream = *core::value(opened);
        record_answer(to, purpose, sent_at, stream.status(), stream.headers());
    }
    co_return std::move(opened);
}

} // namespace poplarroute::node
