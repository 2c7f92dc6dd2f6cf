#include "tests/soak/report.hpp"

#include "core/invariant.hpp"

namespace poplarroute::tests::soak
{

void throw_on_broken_invariants()
{
    core::set_invariant_handler(
        [](std::string_view what)
        {
            throw broken("invariant: " + std::string(what));
        });
}

} // namespace poplarroute::tests::soak
