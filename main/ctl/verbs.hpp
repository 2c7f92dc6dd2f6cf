#pragma once

#include <string>
#include <vector>

#include "main/ctl/session.hpp"

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

/// \return all verbs, in the order of the help page.
const std::vector<verb>& all_verbs();

/// Runs the verb that the words call.
/// \return the exit status.
int run_verb(session& with, const words& given);

} // namespace poplarroute::main::ctl
