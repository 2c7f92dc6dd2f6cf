#pragma once

#include <string>
#include <vector>

#include "core/result.hpp"

namespace poplarroute::main::ctl
{

/// Creates the certificates of a test deployment: a certificate authority, one
/// certificate for each host and one for an operator.
/// \param folder folder for the files; only the owner can read the private
/// keys.
/// \param hosts names of the hosts.
/// \param operator_name name of the operator.
/// \param days validity of the certificates in days.
/// \return an error that names the file that could not be written.
core::result<core::done> make_certificates(
    const std::string& folder,
    const std::vector<std::string>& hosts,
    const std::string& operator_name,
    int days);

} // namespace poplarroute::main::ctl
