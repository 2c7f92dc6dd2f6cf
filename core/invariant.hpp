#pragma once

#include <string_view>

namespace poplarroute::core
{

/// Called with the description of the invariant that does not hold. It must
/// not return normally.
using invariant_handler = void (*)(std::string_view what);

/// Replaces the handler. The default one prints the invariant to standard
/// error and aborts the process.
/// \return the previous handler.
invariant_handler set_invariant_handler(invariant_handler handler);

/// Passes an invariant that does not hold to the handler.
[[noreturn]] void invariant_broken(std::string_view what);

/// Checks an invariant of the program, in release builds too.
inline void check_invariant(bool holds, std::string_view what)
{
    if (!holds)
    {
        invariant_broken(what);
    }
}

} // namespace poplarroute::core
