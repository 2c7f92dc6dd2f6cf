#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poplarroute::core
{

/// \return the bytes in Zstandard's format.
std::string compress(std::string_view bytes);

/// Reads what compress wrote, also from a stranger.
/// \return nothing when the bytes are not well formed, or hold more than 64
/// MiB.
std::optional<std::string> decompress(std::string_view bytes);

} // namespace poplarroute::core
