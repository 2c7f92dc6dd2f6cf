#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace poplarroute::core
{

using host_id = std::string;
using zone_id = std::string;
using account_id = std::string;
using endpoint_id = std::string;
using service_id = std::string;

/// Identifies one attempt at one request, uniquely across the fleet and across
/// restarts.
struct attempt_id
{
    host_id host_;                  ///< The entry host that made the attempt.
    std::uint64_t incarnation_ = 0; ///< Start time of that host's process.
    std::uint64_t number_ = 0;      ///< Sequence number within an incarnation.

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// \return "host.incarnation.number", the form that is sent to endpoints.
std::string to_string(const attempt_id& attempt);

/// Parses the output of to_string().
/// \param text the three parts with dots between them.
/// \param out receives the id when the text is well formed.
/// \return whether the text is well formed.
bool parse(std::string_view text, attempt_id& out);

} // namespace poplarroute::core
