#include "policy/pool_types.hpp"

namespace poplarroute::policy
{

std::string_view name_of(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::target_missed:
        return "target_missed";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::no_endpoint:
        return "no_endpoint";
    case refusal_reason::none_usable:
        return "none_usable";
    case refusal_reason::taking_over:
        return "taking_over";
    }
    return "no_endpoint";
}

} // namespace poplarroute::policy
