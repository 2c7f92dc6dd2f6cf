#pragma once

#include <string>
#include <vector>

#include "core/result.hpp"

namespace poplarroute::main::ctl
{

/// Makes a fleet's certificates for a trial: an authority of its own, one
/// certificate per host and one for an operator.
/// \param folder where the files go; private keys are readable by the owner
/// only.
/// \param hosts the hosts' names.
/// \param operator_name the operator's name.
/// \param days how long they are valid.
/// \return the file that could not be made.
core::result<core::done> make_certificates(
    const std::string& folder,
    const std::vector<std::string>& hosts,
    const std::string& operator_name,
    int days);

} // namespace poplarroute::main::ctl
