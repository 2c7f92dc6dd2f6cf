#pragma once

#include <span>
#include <vector>

#include "node/catalog_messages.hpp"
#include "policy/endpoint_limits.hpp"

namespace poplarroute::node
{

/// \return a limit in thousandths of a request per second; 0: none is named.
std::int64_t milli_per_second_of(const policy::limit_statement& statement);

/// \return the limits that this process knows, with the age of each.
std::vector<endpoint_limit_message> to_limit_messages(
    const policy::limit_statements& statements, core::time_point now);

/// Takes limits that another process knows.
/// \param sent_at earliest time at which it can have stated their age.
/// \return whether an endpoint has begun or ended to be limited.
bool record_limits(
    policy::endpoint_allowance& limits,
    std::span<const endpoint_limit_message> told,
    core::time_point sent_at,
    core::time_point now);

} // namespace poplarroute::node
