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

/// One try of one request, unique across the fleet and across restarts.
struct attempt_id
{
    host_id host_;                  ///< The entry host that made the attempt.
    std::uint64_t incarnation_ = 0; ///< That host's process, by start time.
    std::uint64_t number_ = 0;      ///< Counts up within one incarnation.

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// \return "host.incarnation.number", the form that endpoints see.
std::string to_string(const attempt_id& attempt);

/// Reads what to_string wrote.
/// \param text the three dotted parts.
/// \param out receives the id when the text is well formed.
/// \return whether it was.
bool parse(std::string_view text, attempt_id& out);

} // namespace poplarroute::core
