#include "main/ctl/subcommands.hpp"

#include <fstream>
#include <iostream>

#include "core/codec.hpp"
#include "main/ctl/burn_report.hpp"
#include "node/messages.hpp"
#include "node/order_messages.hpp"

namespace poplarroute::main::ctl
{

using nlohmann::json;

namespace
{

/// \return the version of the directory that an operator's command is decided
/// on: the stated one, or that in force now.
core::result<std::uint64_t> read_base_version(cli_context& context)
{
    if (context.base_version_ >= 0)
    {
        return static_cast<std::uint64_t>(context.base_version_);
    }
    const auto fleet = context.read_state("status");
    if (!core::is_ok(fleet))
    {
        return core::failure(fleet);
    }
    return core::value(fleet).value("version", std::uint64_t(0));
}

int submit_out_of_service_change(
    cli_context& context,
    bool is_zone,
    bool is_out_of_service,
    const std::string& name)
{
    const auto base = read_base_version(context);
    if (!core::is_ok(base))
    {
        return context.print_error(core::failure(base));
    }
    const control::set_out_of_service command{
        context.make_origin(),
        is_zone,
        name,
        is_out_of_service,
        core::value(base)};
    return context.wait_and_print_reply(
        context.client_.submit(command), {{"name", name}});
}

} // namespace

int zone_out(cli_context& context, const argument_list& arguments)
{
    return submit_out_of_service_change(context, true, true, arguments[0]);
}

int zone_in(cli_context& context, const argument_list& arguments)
{
    return submit_out_of_service_change(context, true, false, arguments[0]);
}

int host_out(cli_context& context, const argument_list& arguments)
{
    return submit_out_of_service_change(context, false, true, arguments[0]);
}

int host_in(cli_context& context, const argument_list& arguments)
{
    return submit_out_of_service_change(context, false, false, arguments[0]);
}

int host_retire(cli_context& context, const argument_list& arguments)
{
    const auto base = read_base_version(context);
    if (!core::is_ok(base))
    {
        return context.print_error(core::failure(base));
    }
    const control::retire_host command{
        context.make_origin(),
        arguments[0],
        "the operator's word",
        core::value(base)};
    return context.wait_and_print_reply(
        context.client_.submit(command), {{"host", arguments[0]}});
}

int order(cli_context& context, const argument_list& arguments)
{
    const node::order_request request{
        context.make_origin().id_,
        context.operator_name_,
        arguments[0],
        arguments[1],
        arguments[2]};
    const auto answer = context.client_.call_any(
        node::method::order, core::encode_cbor(request));
    if (!core::is_ok(answer))
    {
        return context.print_error(core::failure(answer));
    }
    const auto reply =
        core::decode_cbor<node::order_reply>(core::value(answer));
    context.print_document(
        {{"endpoint", arguments[0]}, {"fence", reply ? reply->fence_ : 0}});
    return exit_done;
}

int status(cli_context& context, const argument_list&)
{
    json out;
    const auto fleet = context.read_state("status");
    out["fleet"] = core::is_ok(fleet) ? core::value(fleet)
                                      : json(core::failure(fleet).message_);
    out["hosts"] = json::array();
    const auto answers = context.client_.call_all(node::method::status, "");
    for (std::size_t index = 0; index < answers.size(); ++index)
    {
        if (core::is_ok(answers[index]))
        {
            out["hosts"].push_back(
                json::parse(core::value(answers[index]), nullptr, false));
        }
        else
        {
            out["hosts"].push_back(
                {{"address", context.client_.hosts()[index]},
                 {"error", core::failure(answers[index]).message_}});
        }
    }
    context.print_document(out);
    return core::is_ok(fleet) ? exit_done : exit_unreachable;
}

int report_burn(cli_context& context, const argument_list&)
{
    std::vector<json> hosts;
    for (const auto& answer : context.client_.call_all(node::method::burn, ""))
    {
        if (core::is_ok(answer))
        {
            hosts.push_back(json::parse(core::value(answer), nullptr, false));
        }
    }
    if (hosts.empty())
    {
        return context.print_error(
            {core::errc::unreachable, "no host answers"});
    }
    const json report = make_burn_report(hosts, context.objective_per_mille_);
    if (!context.html_path_.empty())
    {
        std::ofstream(context.html_path_) << format_burn_report_html(report);
    }
    if (context.print_json_)
    {
        context.print_document(report);
    }
    else
    {
        std::cout << format_burn_report(report);
    }
    return exit_done;
}

} // namespace poplarroute::main::ctl
