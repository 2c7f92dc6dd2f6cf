#include "main/ctl/subcommands.hpp"

#include <algorithm>
#include <iostream>

#include "core/ini.hpp"

namespace poplarroute::main::ctl
{

namespace
{

bool starts_with_words(const words& given, const words& name)
{
    return given.size() >= name.size() &&
           std::equal(name.begin(), name.end(), given.begin());
}

} // namespace

const std::vector<verb>& all_verbs()
{
    static const std::vector<verb> all{
        {"check", "FILE ...", "list all mistakes of files", 1, check},
        {"certificates",
         "FOLDER HOST ...",
         "make certificates for a trial",
         2,
         certificates},
        {"init",
         "NAME@IP:PORT ...",
         "form the control group of blank members",
         1,
         init},
        {"team",
         "",
         "ask the questionnaire, or read --answers, and show the change",
         0,
         team},
        {"config show", "", "the configuration in force", 0, config_show},
        {"config history", "", "earlier configurations", 0, config_history},
        {"config submit",
         "FILE",
         "put a configuration in force",
         1,
         config_submit},
        {"key issue", "ACCOUNT", "make a key; it is shown once", 1, key_issue},
        {"key withdraw", "KEY-ID", "end a key for good", 1, key_withdraw},
        {"key list", "", "all keys, without secrets", 0, key_list},
        {"zone out", "ZONE", "give a zone no new work", 1, zone_out},
        {"zone in", "ZONE", "give a zone work again", 1, zone_in},
        {"host out", "HOST", "give a host no new work", 1, host_out},
        {"host in", "HOST", "give a host work again", 1, host_in},
        {"host retire",
         "HOST",
         "say that a host's process is gone for good",
         1,
         host_retire},
        {"order",
         "ENDPOINT NAME VALUE",
         "give an endpoint an order: load, adapter, version or role",
         3,
         order},
        {"control replace",
         "NAME@IP:PORT",
         "take in a member whose disk was lost",
         1,
         control_replace},
        {"status", "", "what is in force and where work goes", 0, status},
        {"report burn", "", "service-level burn", 0, report_burn},
    };
    return all;
}

int run_verb(session& with, const words& given)
{
    for (const verb& item : all_verbs())
    {
        const words name = core::split_list(item.name_, ' ');
        if (!starts_with_words(given, name))
        {
            continue;
        }
        const words rest(
            given.begin() + static_cast<std::ptrdiff_t>(name.size()),
            given.end());
        if (rest.size() < item.least_)
        {
            std::cerr << "poplarctl " << item.name_ << " " << item.arguments_
                      << ": arguments are missing\n";
            return exit_usage;
        }
        return item.run_(with, rest);
    }
    std::cerr << "poplarctl: no such verb; see --help\n";
    return exit_usage;
}

} // namespace poplarroute::main::ctl
