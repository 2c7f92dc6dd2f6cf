#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Entry point that libFuzzer calls by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(
    const std::uint8_t* data, std::size_t size);

namespace poplarroute::fuzz
{

/// Ends the process, so that libFuzzer keeps the input.
inline void require(bool holds)
{
    if (!holds)
    {
        __builtin_trap();
    }
}

inline std::string_view to_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace poplarroute::fuzz
