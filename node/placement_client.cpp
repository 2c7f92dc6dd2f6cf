#include "node/placement_client.hpp"

#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "drivers/log.hpp"
#include "node/leader_notes.hpp"

namespace poplarroute::node
{

namespace
{

/// Added to a stream's longest queue time, for the reply's round trip.
constexpr core::duration reply_margin{400};

/// Interval at which pending requests check for a change of leader.
constexpr core::duration leader_check_interval{60};
constexpr core::duration notify_timeout{1'000};

} // namespace

placement_client::placement_client(
    context& with, placement_controller& local, rollout_client& rollouts)
    : with_(with), local_controller_(local), rollouts_(rollouts)
{
}

/// \return nothing when the leader did not answer.
awaitable<std::optional<placement_reply>> placement_client::ask_leader(
    core::host_id leader, placement_request request)
{
    const core::time_point started_at = core::steady_now();
    const core::duration timeout =
        core::duration{request.give_up_ms_} + reply_margin;
    const core::result<placement_reply> reply = co_await ask<placement_reply>(
        with_.peers_, leader, method::streams_place, request, timeout);
    if (core::is_ok(reply))
    {
        co_return core::value(reply);
    }
    const bool caller_left =
        core::failure(reply).code_ == core::errc::timeout &&
        core::steady_now() - started_at < timeout;
    if (caller_left)
    {
        co_return std::nullopt;
    }
    drivers::log_event(
        drivers::log_level::warning,
        "place_unanswered",
        {{"id", request.id_},
         {"leader", leader},
         {"problem", core::failure(reply).message_},
         {"after_ms", (core::steady_now() - started_at).ms_}});
    co_return std::nullopt;
}

awaitable<void> placement_client::wait_for_leader_change(core::host_id leader)
{
    const group_section& group = with_.board_.section<group_section>();
    while (group.leader_ == leader)
    {
        co_await drivers::sleep_for(leader_check_interval);
    }
}

awaitable<placement_reply> placement_client::place_locally(
    placement_request request)
{
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const core::account_id account = request.account_;
    const std::int64_t price = request.price_;
    const core::time_point now = core::steady_now();
    if (price > 0 && !meter.admit(account, price, now))
    {
        co_return make_over_rate_reply(
            meter.inputs(account, price, now),
            meter.wait_for(account, price, now));
    }
    rollouts_.restrict_local_placement(request);
    placement_reply reply =
        co_await local_controller_.place(std::move(request));
    if (price > 0 && !reply.placed_)
    {
        meter.refund(account, price);
    }
    co_return reply;
}

awaitable<placement_reply> placement_client::place(placement_request request)
{
    using namespace drivers::asio::experimental::awaitable_operators;
    const core::time_point started_at = core::steady_now();
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    with_.board_.section<meter_section>().meter_.record_use(
        request.account_, started_at);
    if (!leader.empty())
    {
        const auto reply = co_await (
            ask_leader(leader, request) || wait_for_leader_change(leader));
        if (reply.index() == 0 && std::get<0>(reply))
        {
            co_return *std::get<0>(reply);
        }
    }
    const core::duration elapsed = core::steady_now() - started_at;
    request.on_time_ms_ -= elapsed.ms_;
    request.give_up_ms_ -= elapsed.ms_;
    placement_reply local_reply = co_await place_locally(std::move(request));
    local_reply.decided_locally_ = true;
    co_return local_reply;
}

awaitable<void> placement_client::send_stream_end(
    core::host_id leader, stream_end_message ending)
{
    // A lost message is corrected by the placements reported in the next watch.
    co_await ask<empty_reply>(
        with_.peers_, leader, method::streams_end, ending, notify_timeout);
}

void placement_client::end_stream(stream_end_message ending)
{
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    local_controller_.end_stream(ending);
    if (!leader.empty())
    {
        drivers::spawn_task(
            with_.io_,
            "send_stream_end",
            send_stream_end(leader, std::move(ending)));
    }
}

void placement_client::record_engine_event(engine_event_message event)
{
    event.host_ = with_.identity().host_;
    local_controller_.record_engine_event(event);
    send_to_leader(with_, std::move(event));
}

} // namespace poplarroute::node
