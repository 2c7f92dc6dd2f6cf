#pragma once

#include <string>
#include <vector>

#include "main/ctl/cli_context.hpp"

namespace poplarroute::main::ctl
{

using words = std::vector<std::string>;

/// One verb of poplarctl, such as "key issue".
struct verb
{
    std::string name_;      ///< The words that call it.
    std::string arguments_; ///< What follows them.
    std::string help_;
    std::size_t least_ = 0; ///< Words that must follow.
    int (*run_)(session& with, const words& given);
};

// What the verbs do, by subject: see all_verbs() for each one's help.

int check(session& with, const words& given);
int team(session& with, const words& given);
int config_show(session& with, const words& given);
int config_history(session& with, const words& given);
int config_submit(session& with, const words& given);

int key_issue(session& with, const words& given);
int key_withdraw(session& with, const words& given);
int key_list(session& with, const words& given);

int zone_out(session& with, const words& given);
int zone_in(session& with, const words& given);
int host_out(session& with, const words& given);
int host_in(session& with, const words& given);
int host_retire(session& with, const words& given);
int order(session& with, const words& given);
int status(session& with, const words& given);
int report_burn(session& with, const words& given);

int init(session& with, const words& given);
int control_replace(session& with, const words& given);
int certificates(session& with, const words& given);

/// \return all verbs, in the order of the help page.
const std::vector<verb>& all_verbs();

/// Runs the verb that the words call.
/// \return the exit status.
int run_verb(session& with, const words& given);

} // namespace poplarroute::main::ctl
