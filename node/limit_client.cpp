#include "node/limit_client.hpp"

#include <utility>

#include "drivers/log.hpp"
#include "node/fleet_sections.hpp"
#include "node/leader_notes.hpp"
#include "node/limit_messages.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// Longest time for which a request waits for the leader's grant.
constexpr core::duration grant_timeout{60};

/// Time after a request that the leader did not answer in which it is not asked
/// again.
constexpr core::duration failed_ask_backoff{500};

/// How long after it was asked for a request may be sent. A process that was
/// paused must not use a grant from before the pause.
constexpr core::duration grant_validity{250};

} // namespace

limit_client::limit_client(context& with) : with_(with) {}

send_permit limit_client::take_own_share(const core::endpoint_id& to)
{
    const core::time_point now = core::steady_now();
    const bool granted =
        with_.board_.section<endpoint_section>().limits_.take_own_share(
            to, with_.board_.section<group_section>().hosts_, now);
    return {granted, now + grant_validity};
}

awaitable<send_permit> limit_client::take(core::endpoint_id to)
{
    policy::endpoint_allowance& limits =
        with_.board_.section<endpoint_section>().limits_;
    const core::time_point asked_at = core::steady_now();
    if (!limits.statements().limit_of(to))
    {
        co_return send_permit{true, std::nullopt};
    }
    if (!limits.may_have_room(to, asked_at))
    {
        co_return send_permit{};
    }
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    const bool has_failed = ask_failed_at_.ms_ > 0 &&
                            asked_at - ask_failed_at_ <= failed_ask_backoff;
    if (leader.empty() || has_failed)
    {
        co_return take_own_share(to);
    }
    limit_request request;
    request.endpoint_ = to;
    request.limits_ = to_limit_messages(limits.statements(), asked_at);
    with_.metrics_.count("poplarroute_limit_requests_total");
    const core::result<limit_reply> answer = co_await ask<limit_reply>(
        with_.peers_, leader, method::limits_take, request, grant_timeout);
    const core::time_point now = core::steady_now();
    if (!core::is_ok(answer))
    {
        ask_failed_at_ = now;
        co_return take_own_share(to);
    }
    ask_failed_at_ = {};
    const limit_reply& reply = core::value(answer);
    record_limits(limits, reply.limits_, asked_at, now);
    if (!reply.granted_)
    {
        limits.record_refusal(to, core::duration{reply.wait_ms_}, now);
        co_return send_permit{};
    }
    co_return send_permit{true, asked_at + grant_validity};
}

void limit_client::record(
    const core::endpoint_id& from, const policy::limit_statement& statement)
{
    policy::endpoint_allowance& limits =
        with_.board_.section<endpoint_section>().limits_;
    if (!limits.record(from, statement))
    {
        return;
    }
    log_event(
        log_level::info,
        statement.per_second_ ? "endpoint_limited" : "endpoint_limit_ended",
        {{"endpoint", from},
         {"milli_per_second", milli_per_second_of(statement)}});
    with_.metrics_.count(
        "poplarroute_endpoint_limits_total",
        {{"kind", statement.per_second_ ? "named" : "ended"}});
    engine_event_message event;
    event.limits_ = to_limit_messages(limits.statements(), core::steady_now());
    send_to_leader(with_, std::move(event));
}

} // namespace poplarroute::node
