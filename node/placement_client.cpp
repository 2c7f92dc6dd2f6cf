#include "node/placement_client.hpp"

#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

/// Beyond a stream's own patience, for the answer's way.
constexpr core::duration place_slack{400};

/// How soon a change of leader is seen by those that wait for it.
constexpr core::duration leader_check{60};
constexpr core::duration note_deadline{1'000};

} // namespace

placement_link::placement_link(context& with, stream_desk& own)
    : with_(with), own_(own)
{
}

/// \return nothing when the leader did not answer.
awaitable<std::optional<place_reply>> placement_link::ask_leader(
    core::host_id leader, want_message want)
{
    const core::time_point asked_at = core::steady_now();
    const core::duration deadline =
        core::duration{want.give_up_ms_} + place_slack;
    const core::result<place_reply> told = co_await ask<place_reply>(
        with_.peers_, leader, method::streams_place, want, deadline);
    if (core::is_ok(told))
    {
        co_return core::value(told);
    }
    const bool caller_left = core::failure(told).code_ == core::errc::timeout &&
                             core::steady_now() - asked_at < deadline;
    if (caller_left)
    {
        co_return std::nullopt;
    }
    drivers::log_event(
        drivers::log_level::warning,
        "place_unanswered",
        {{"id", want.id_},
         {"leader", leader},
         {"problem", core::failure(told).message_},
         {"after_ms", (core::steady_now() - asked_at).ms_}});
    co_return std::nullopt;
}

awaitable<void> placement_link::until_leader_changes(core::host_id leader)
{
    const group_section& group = with_.board_.section<group_section>();
    while (group.leader_ == leader)
    {
        co_await drivers::sleep_for(leader_check);
    }
}

awaitable<place_reply> placement_link::place_alone(want_message want)
{
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const core::account_id account = want.account_;
    const std::int64_t price = want.price_;
    const core::time_point now = core::steady_now();
    if (price > 0 && !meter.admit(account, price, now))
    {
        co_return refuse_over_rate(
            meter.inputs(account, price, now),
            meter.wait_for(account, price, now));
    }
    place_reply reply = co_await own_.place(std::move(want));
    if (price > 0 && !reply.placed_)
    {
        meter.refund(account, price);
    }
    co_return reply;
}

awaitable<place_reply> placement_link::place(want_message want)
{
    using namespace drivers::asio::experimental::awaitable_operators;
    const core::time_point asked_at = core::steady_now();
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    if (!leader.empty())
    {
        const auto told =
            co_await (ask_leader(leader, want) || until_leader_changes(leader));
        if (told.index() == 0 && std::get<0>(told))
        {
            co_return *std::get<0>(told);
        }
    }
    const core::duration gone = core::steady_now() - asked_at;
    want.on_time_ms_ -= gone.ms_;
    want.give_up_ms_ -= gone.ms_;
    place_reply own = co_await place_alone(std::move(want));
    own.alone_ = true;
    co_return own;
}

awaitable<void> placement_link::tell_end(
    core::host_id leader, end_message ending)
{
    // What gets lost is made good by the list of places in the next watch.
    co_await ask<empty_reply>(
        with_.peers_, leader, method::streams_end, ending, note_deadline);
}

awaitable<void> placement_link::tell_note(
    core::host_id leader, note_message what)
{
    co_await ask<empty_reply>(
        with_.peers_, leader, method::streams_note, what, note_deadline);
}

void placement_link::end(end_message ending)
{
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    own_.end(ending);
    if (!leader.empty())
    {
        drivers::spawn(with_.io_, tell_end(leader, std::move(ending)));
    }
}

void placement_link::note(note_message what)
{
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    what.host_ = with_.identity().host_;
    own_.note(what);
    if (!leader.empty())
    {
        drivers::spawn(with_.io_, tell_note(leader, std::move(what)));
    }
}

} // namespace poplarroute::node
