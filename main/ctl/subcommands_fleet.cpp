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

int change_out(session& with, bool zone, bool out, const std::string& name)
{
    const control::set_out order{with.origin(), zone, name, out};
    return with.show_reply(with.link_.submit(order), {{"name", name}});
}

} // namespace

int zone_out(session& with, const words& given)
{
    return change_out(with, true, true, given[0]);
}

int zone_in(session& with, const words& given)
{
    return change_out(with, true, false, given[0]);
}

int host_out(session& with, const words& given)
{
    return change_out(with, false, true, given[0]);
}

int host_in(session& with, const words& given)
{
    return change_out(with, false, false, given[0]);
}

int host_retire(session& with, const words& given)
{
    const control::retire_host order{
        with.origin(), given[0], "the operator's word"};
    return with.show_reply(with.link_.submit(order), {{"host", given[0]}});
}

int order(session& with, const words& given)
{
    const node::order_request request{
        with.origin().id_, with.operator_, given[0], given[1], given[2]};
    const auto answer =
        with.link_.call_any(node::method::order, core::to_bytes(request));
    if (!core::is_ok(answer))
    {
        return with.fail(core::failure(answer));
    }
    const auto reply = core::from_bytes<node::order_reply>(core::value(answer));
    with.print({{"endpoint", given[0]}, {"fence", reply ? reply->fence_ : 0}});
    return exit_done;
}

int status(session& with, const words&)
{
    json out;
    const auto fleet = with.read("status");
    out["fleet"] = core::is_ok(fleet) ? core::value(fleet)
                                      : json(core::failure(fleet).message_);
    out["hosts"] = json::array();
    const auto answers = with.link_.call_all(node::method::status, "");
    for (std::size_t at = 0; at < answers.size(); ++at)
    {
        if (core::is_ok(answers[at]))
        {
            out["hosts"].push_back(
                json::parse(core::value(answers[at]), nullptr, false));
        }
        else
        {
            out["hosts"].push_back(
                {{"address", with.link_.hosts()[at]},
                 {"error", core::failure(answers[at]).message_}});
        }
    }
    with.print(out);
    return core::is_ok(fleet) ? exit_done : exit_unreachable;
}

int report_burn(session& with, const words&)
{
    std::vector<json> hosts;
    for (const auto& answer : with.link_.call_all(node::method::burn, ""))
    {
        if (core::is_ok(answer))
        {
            hosts.push_back(json::parse(core::value(answer), nullptr, false));
        }
    }
    if (hosts.empty())
    {
        return with.fail({core::errc::unreachable, "no host answers"});
    }
    const json report = make_burn_report(hosts, with.objective_);
    if (!with.html_.empty())
    {
        std::ofstream(with.html_) << burn_html(report);
    }
    if (with.json_)
    {
        with.print(report);
    }
    else
    {
        std::cout << burn_text(report);
    }
    return exit_done;
}

} // namespace poplarroute::main::ctl
