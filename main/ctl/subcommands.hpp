#pragma once

#include <string>
#include <vector>

#include "main/ctl/cli_context.hpp"

namespace poplarroute::main::ctl
{

/// Words of the command line besides its options.
using argument_list = std::vector<std::string>;

/// A subcommand of poplarctl, such as "key issue".
struct subcommand
{
    std::string name_;      ///< One word or more, separated by spaces.
    std::string arguments_; ///< Synopsis of its arguments.
    std::string help_;
    std::size_t min_argument_count_ = 0; ///< Number of required arguments.
    int (*run_)(cli_context& context, const argument_list& arguments);
};

// Functions of the subcommands, by subject; all_subcommands() has the help of
// each. They return the exit status.

int check(cli_context& context, const argument_list& arguments);
int team(cli_context& context, const argument_list& arguments);
int config_show(cli_context& context, const argument_list& arguments);
int config_history(cli_context& context, const argument_list& arguments);
int config_submit(cli_context& context, const argument_list& arguments);

int key_issue(cli_context& context, const argument_list& arguments);
int key_withdraw(cli_context& context, const argument_list& arguments);
int key_list(cli_context& context, const argument_list& arguments);

int zone_out(cli_context& context, const argument_list& arguments);
int zone_in(cli_context& context, const argument_list& arguments);
int host_out(cli_context& context, const argument_list& arguments);
int host_in(cli_context& context, const argument_list& arguments);
int host_retire(cli_context& context, const argument_list& arguments);
int order(cli_context& context, const argument_list& arguments);
int status(cli_context& context, const argument_list& arguments);
int report_burn(cli_context& context, const argument_list& arguments);

int rollout_start(cli_context& context, const argument_list& arguments);
int rollout_status(cli_context& context, const argument_list& arguments);
int rollout_history(cli_context& context, const argument_list& arguments);
int rollout_cancel(cli_context& context, const argument_list& arguments);

int init(cli_context& context, const argument_list& arguments);
int control_replace(cli_context& context, const argument_list& arguments);
int certificates(cli_context& context, const argument_list& arguments);

/// \return all subcommands, in the order of the help text.
const std::vector<subcommand>& all_subcommands();

/// Runs the subcommand that the first arguments name.
/// \return the exit status.
int run_subcommand(cli_context& context, const argument_list& arguments);

} // namespace poplarroute::main::ctl
