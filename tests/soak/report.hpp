#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>

namespace poplarroute::tests::soak
{

/// Thrown when an invariant of the program or a check of a run fails.
class check_failure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Numbers of faults injected and operations completed in a run, by name.
using event_counts = std::map<std::string, std::uint64_t>;

/// Makes violated invariants of the program throw `check_failure` in this
/// process.
void throw_on_violated_invariants();

/// Throws `check_failure` if a condition of a run does not hold.
inline void require(bool holds, const std::string& what)
{
    if (!holds)
    {
        throw check_failure(what);
    }
}

} // namespace poplarroute::tests::soak
