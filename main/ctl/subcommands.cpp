#include "main/ctl/subcommands.hpp"

#include <algorithm>
#include <iostream>

#include "core/ini.hpp"

namespace poplarroute::main::ctl
{

namespace
{

bool starts_with(const argument_list& arguments, const argument_list& name)
{
    return arguments.size() >= name.size() &&
           std::equal(name.begin(), name.end(), arguments.begin());
}

} // namespace

const std::vector<subcommand>& all_subcommands()
{
    static const std::vector<subcommand> all{
        {"check", "FILE ...", "check files and print every problem", 1, check},
        {"certificates",
         "FOLDER HOST ...",
         "create the certificates of a test deployment",
         2,
         certificates},
        {"init",
         "NAME@IP:PORT ...",
         "form the control group from members without stored data",
         1,
         init},
        {"team",
         "",
         "generate a configuration from the questionnaire or from --answers, "
         "and "
         "show the difference",
         0,
         team},
        {"config show", "", "show the configuration in force", 0, config_show},
        {"config history",
         "",
         "show earlier configurations as differences",
         0,
         config_history},
        {"config submit", "FILE", "submit a configuration", 1, config_submit},
        {"key issue",
         "ACCOUNT",
         "issue an API key; it is shown only once",
         1,
         key_issue},
        {"key withdraw",
         "KEY-ID",
         "withdraw an API key permanently",
         1,
         key_withdraw},
        {"key list", "", "list all API keys, without secrets", 0, key_list},
        {"zone out",
         "ZONE",
         "take an availability zone out of service: no new requests go there",
         1,
         zone_out},
        {"zone in",
         "ZONE",
         "return an availability zone to service",
         1,
         zone_in},
        {"host out",
         "HOST",
         "take a host out of service: no new requests go there",
         1,
         host_out},
        {"host in", "HOST", "return a host to service", 1, host_in},
        {"host retire",
         "HOST",
         "declare that a host's process has ended for good",
         1,
         host_retire},
        {"order",
         "ENDPOINT NAME VALUE",
         "send an endpoint an order: load, adapter, version or role",
         3,
         order},
        {"rollout start",
         "SERVICE TARGET",
         "on the users' platform: move a service to the endpoints of a "
         "version, within --deadline seconds; --hosts are group members",
         2,
         rollout_start},
        {"rollout status",
         "SERVICE",
         "on the users' platform: show a service's latest roll-out",
         1,
         rollout_status},
        {"rollout history",
         "SERVICE",
         "on the users' platform: show the steps of a service's roll-outs and "
         "what decided them",
         1,
         rollout_history},
        {"rollout cancel",
         "SERVICE",
         "on the users' platform: withdraw a running roll-out, which is rolled "
         "back",
         1,
         rollout_cancel},
        {"control replace",
         "NAME@IP:PORT",
         "replace a member of the control group whose disk was lost",
         1,
         control_replace},
        {"status",
         "",
         "show the state of the control group and of each host",
         0,
         status},
        {"report burn",
         "",
         "show the error-budget burn rate of each account and route",
         0,
         report_burn},
    };
    return all;
}

int run_subcommand(cli_context& context, const argument_list& arguments)
{
    for (const subcommand& item : all_subcommands())
    {
        const argument_list name = core::split_list(item.name_, ' ');
        if (!starts_with(arguments, name))
        {
            continue;
        }
        const argument_list rest(
            arguments.begin() + static_cast<std::ptrdiff_t>(name.size()),
            arguments.end());
        if (rest.size() < item.min_argument_count_)
        {
            std::cerr << "poplarctl " << item.name_ << " " << item.arguments_
                      << ": arguments are missing\n";
            return exit_usage;
        }
        return item.run_(context, rest);
    }
    std::cerr << "poplarctl: unknown command; see --help\n";
    return exit_usage;
}

} // namespace poplarroute::main::ctl
