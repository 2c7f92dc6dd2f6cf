#include "node/order_controller.hpp"

#include "control/state_machine.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;

namespace
{

constexpr core::duration command_patience{5'000};

} // namespace

order_controller::order_controller(context& with, control_link& link)
    : with_(with), link_(link), engines_(with.http_)
{
}

void order_controller::start()
{
    with_.calls_.add_typed<order_request, order_reply>(
        method::order,
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, order_request request)
            -> awaitable<core::result<order_reply>>
        {
            return carry_out(std::move(request));
        });
}

awaitable<core::result<order_reply>> order_controller::carry_out(
    order_request request)
{
    const auto& endpoints = with_.directory().fleet_.settings().endpoints_;
    const auto found = endpoints.find(request.endpoint_);
    if (found == endpoints.end())
    {
        co_return error{errc::not_found, "there is no such endpoint"};
    }
    const std::string address = found->second.address_;
    const control::acquire_fencing_number take{
        {request.id_, request.operator_, core::wall_ms()}, request.endpoint_};
    const core::time_point asked = core::steady_now();
    const auto turn = co_await link_.submit(take, command_patience);
    if (!core::is_ok(turn))
    {
        co_return core::failure(turn);
    }
    const control::command_reply& drawn = core::value(turn);
    if (drawn.verdict_ != control::verdict::accepted)
    {
        co_return error{errc::invalid, drawn.message_};
    }
    const core::duration wait{drawn.wait_ms_};
    co_await drivers::sleep_for(wait);
    const core::duration since = core::steady_now() - asked;
    if (since > wait + control::order_lifetime)
    {
        // A stall has used the turn up: a later order may already be out.
        co_return error{errc::timeout, "the order's turn is over"};
    }
    const auto done = co_await engines_.order(
        address, drawn.version_, request.name_, request.value_);
    if (!core::is_ok(done))
    {
        co_return core::failure(done);
    }
    drivers::log_event(
        drivers::log_level::info,
        "order_carried_out",
        {{"endpoint", request.endpoint_},
         {"order", request.name_},
         {"fence", drawn.version_}});
    co_return order_reply{drawn.version_};
}

} // namespace poplarroute::node
