#include "main/ctl/subcommands.hpp"

#include <cmath>

#include "core/codec.hpp"
#include "node/rollout_orders.hpp"

namespace poplarroute::main::ctl
{

using nlohmann::json;

namespace
{

constexpr double ms_per_second = 1'000;

json make_summary(const control::rollout& item)
{
    return {
        {"id", item.id_},
        {"service", item.service_},
        {"target", item.target_},
        {"from", item.from_},
        {"barred", item.barred_},
        {"state",
         item.is_running() ? "running"
                           : std::string(control::to_string(item.phase_))},
        {"phase", item.phase_},
        {"ordered_at_ms", item.ordered_at_ms_},
        {"deadline_ms", item.deadline_ms_},
        {"reserved", item.reserved_}};
}

json make_steps(const control::rollout& item)
{
    json out = json::array();
    for (const control::rollout_step& step : item.steps_)
    {
        out.push_back(
            {{"phase", step.phase_},
             {"at_ms", step.at_ms_},
             {"reason", step.reason_}});
    }
    return out;
}

/// Sends an order to the first member that decides it, and prints the outcome.
/// \return the exit status.
int send_order(cli_context& context, const node::rollout_order& order)
{
    const auto answer = context.client_.call_any(
        node::method::rollouts_order, core::encode_cbor(order));
    if (!core::is_ok(answer))
    {
        return context.print_error(core::failure(answer));
    }
    const auto reply =
        core::decode_cbor<node::rollout_order_reply>(core::value(answer));
    if (!reply)
    {
        return context.print_error(
            {core::errc::invalid, "the reply cannot be read"});
    }
    if (!reply->accepted_)
    {
        return context.print_error(
            {reply->conflicts_ ? core::errc::conflict : core::errc::invalid,
             reply->problem_});
    }
    context.print_document(
        {{"service", order.service_},
         {order.withdraws_ ? "withdrawn" : "accepted", true}});
    return exit_done;
}

core::result<node::rollout_history> read_history(
    cli_context& context, const core::service_id& service)
{
    const auto answer = context.client_.call_any(
        node::method::rollouts_show,
        core::encode_cbor(node::rollout_query{service}));
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    auto history =
        core::decode_cbor<node::rollout_history>(core::value(answer));
    if (!history)
    {
        return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    if (history->rollouts_.empty())
    {
        return core::error{
            core::errc::not_found, "the service has had no roll-out"};
    }
    return std::move(*history);
}

} // namespace

int rollout_start(cli_context& context, const argument_list& arguments)
{
    const double deadline_ms = context.deadline_s_ * ms_per_second;
    const bool is_in_range =
        deadline_ms > 0 &&
        deadline_ms <= static_cast<double>(node::max_rollout_deadline.ms_);
    if (!is_in_range)
    {
        return context.print_error(
            {core::errc::invalid, "--deadline is not within a day"});
    }
    node::rollout_order order;
    order.service_ = arguments[0];
    order.target_ = arguments[1];
    order.deadline_ms_ = std::llround(deadline_ms);
    return send_order(context, order);
}

int rollout_cancel(cli_context& context, const argument_list& arguments)
{
    node::rollout_order order;
    order.service_ = arguments[0];
    order.withdraws_ = true;
    return send_order(context, order);
}

int rollout_status(cli_context& context, const argument_list& arguments)
{
    const auto history = read_history(context, arguments[0]);
    if (!core::is_ok(history))
    {
        return context.print_error(core::failure(history));
    }
    context.print_document(make_summary(core::value(history).rollouts_.back()));
    return exit_done;
}

int rollout_history(cli_context& context, const argument_list& arguments)
{
    const auto history = read_history(context, arguments[0]);
    if (!core::is_ok(history))
    {
        return context.print_error(core::failure(history));
    }
    json out = json::array();
    for (const control::rollout& item : core::value(history).rollouts_)
    {
        json entry = make_summary(item);
        entry["steps"] = make_steps(item);
        out.push_back(std::move(entry));
    }
    context.print_document(out);
    return exit_done;
}

} // namespace poplarroute::main::ctl
