#include "tests/soak/report.hpp"

#include "core/invariant.hpp"

namespace poplarroute::tests::soak
{

void throw_on_violated_invariants()
{
    core::set_invariant_handler(
        [](std::string_view what)
        {
            throw check_failure("invariant: " + std::string(what));
        });
}

} // namespace poplarroute::tests::soak
