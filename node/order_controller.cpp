#include "node/order_controller.hpp"

#include "control/state_machine.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;

namespace
{

constexpr core::duration command_timeout{5'000};

} // namespace

order_controller::order_controller(context& with, control_client& client)
    : with_(with), control_client_(client), engines_(with.http_)
{
}

void order_controller::start()
{
    with_.calls_.add_typed<order_request, order_reply>(
        method::order,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, order_request request)
            -> awaitable<core::result<order_reply>>
        {
            return execute_order(std::move(request));
        });
}

awaitable<core::result<order_reply>> order_controller::execute_order(
    order_request request)
{
    const auto& endpoints = with_.directory().fleet_.settings().endpoints_;
    const auto found = endpoints.find(request.endpoint_);
    if (found == endpoints.end())
    {
        co_return error{errc::not_found, "there is no such endpoint"};
    }
    const std::string address = found->second.address_;
    const control::acquire_fencing_number command{
        {request.id_, request.operator_, core::wall_ms()}, request.endpoint_};
    const core::time_point submitted_at = core::steady_now();
    const auto reply =
        co_await control_client_.submit(command, command_timeout);
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    const control::command_reply& fence_reply = core::value(reply);
    if (fence_reply.verdict_ != control::verdict::accepted)
    {
        co_return error{errc::invalid, fence_reply.message_};
    }
    const core::duration wait{fence_reply.wait_ms_};
    co_await drivers::sleep_for(wait);
    const core::duration elapsed = core::steady_now() - submitted_at;
    if (elapsed > wait + control::order_lifetime)
    {
        // A stall has used up the time slot: a later order may already have
        // been sent.
        co_return error{errc::timeout, "the order's turn is over"};
    }
    const auto sent = co_await engines_.order(
        address,
        fence_reply.version_,
        request.name_,
        request.value_,
        submitted_at + wait + control::order_lifetime);
    if (!core::is_ok(sent))
    {
        co_return core::failure(sent);
    }
    drivers::log_event(
        drivers::log_level::info,
        "order_carried_out",
        {{"endpoint", request.endpoint_},
         {"order", request.name_},
         {"fence", fence_reply.version_}});
    co_return order_reply{fence_reply.version_};
}

} // namespace poplarroute::node
