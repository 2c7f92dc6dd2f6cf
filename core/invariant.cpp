#include "core/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace poplarroute::core
{

namespace
{

void report_and_abort(std::string_view what)
{
    std::fprintf(
        stderr,
        "event=invariant_broken what=\"%.*s\"\n",
        static_cast<int>(what.size()),
        what.data());
    std::abort();
}

invariant_handler current_handler = report_and_abort;

} // namespace

invariant_handler set_invariant_handler(invariant_handler handler)
{
    invariant_handler previous = current_handler;
    current_handler = handler;
    return previous;
}

void invariant_broken(std::string_view what)
{
    current_handler(what);
    std::abort();
}

} // namespace poplarroute::core
