#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>

namespace poplarroute::tests::soak
{

/// Thrown when an invariant of the program or a check of a run is broken.
class broken : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What happened in a run: faults made and things achieved, by name.
using counts = std::map<std::string, std::uint64_t>;

/// Makes the program's own invariants throw `broken` in this process.
void throw_on_broken_invariants();

/// Checks a condition of a run.
inline void require(bool holds, const std::string& what)
{
    if (!holds)
    {
        throw broken(what);
    }
}

} // namespace poplarroute::tests::soak
