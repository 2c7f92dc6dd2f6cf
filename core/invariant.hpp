#pragma once

#include <string_view>

namespace poplarroute::core
{

/// Called with the broken invariant's sentence; must not return normally.
using invariant_handler = void (*)(std::string_view what);

/// Replaces the handler, which by default reports and aborts the process.
/// \return the handler that was in place.
invariant_handler set_invariant_handler(invariant_handler handler);

/// Reports a broken invariant through the handler.
[[noreturn]] void invariant_broken(std::string_view what);

/// Asserts a promise of the program, in release builds too.
inline void check_invariant(bool holds, std::string_view what)
{
    if (!holds)
    {
        invariant_broken(what);
    }
}

} // namespace poplarroute::core
