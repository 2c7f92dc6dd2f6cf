#include "node/limit_client.hpp"

#include <utility>

#include "drivers/log.hpp"
#include "node/fleet_sections.hpp"
#include "node/limit_messages.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// Longest time for which a request waits for the leader's grant.
constexpr core::duration grant_timeout{60};

/// Time after a failed question in which the leader is not asked again.
constexpr core::duration failed_ask_backoff{500};

/// How long after it was asked for a request may be sent. A process that was
/// paused must not use a grant of before.
constexpr core::duration grant_validity{250};

constexpr core::duration tell_timeout{1'000};

constexpr double milli = 1'000;

awaitable<void> tell_leader(
    context& with, core::host_id leader, engine_event_message event)
{
    co_await ask<empty_reply>(
        with.peers_, leader, method::streams_note, event, tell_timeout);
}

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
    const bool has_failed = asked_in_vain_at_.ms_ > 0 &&
                            asked_at - asked_in_vain_at_ <= failed_ask_backoff;
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
        asked_in_vain_at_ = now;
        co_return take_own_share(to);
    }
    asked_in_vain_at_ = {};
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
         {"milli_per_second",
          static_cast<std::int64_t>(
              statement.per_second_.value_or(0) * milli)}});
    with_.metrics_.count(
        "poplarroute_endpoint_limits_total",
        {{"kind", statement.per_second_ ? "named" : "ended"}});
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    if (leader.empty())
    {
        return;
    }
    engine_event_message event;
    event.host_ = with_.identity().host_;
    event.limits_ = to_limit_messages(limits.statements(), core::steady_now());
    drivers::spawn(with_.io_, tell_leader(with_, leader, std::move(event)));
}

} // namespace poplarroute::node
