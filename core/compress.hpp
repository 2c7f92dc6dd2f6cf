#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace poplarroute::core
{

/// What compress() optimizes for.
enum class compression
{
    size,
    speed, ///< Several times as fast, with a slightly larger output.
};

/// Compresses bytes with Zstandard.
std::string compress(
    std::string_view bytes, compression preference = compression::size);

/// Decompresses the output of compress(); the input may come from an untrusted
/// source.
/// \return nothing when the bytes are not well formed, or would decompress to
/// more than 64 MiB.
std::optional<std::string> decompress(std::string_view bytes);

} // namespace poplarroute::core
