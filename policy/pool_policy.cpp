#include "policy/pool_policy.hpp"

#include <algorithm>

#include "core/result.hpp"

namespace poplarroute::policy
{

namespace
{

const std::map<std::string_view, pool_policy>& policies()
{
    static const std::map<std::string_view, pool_policy> all{
        {"reserve_first", reserve_first()},
        {"reserve_ahead", reserve_ahead()},
        {"round_robin", round_robin()},
        {"least_loaded", least_loaded()},
        {"prefill_first", prefill_first()},
    };
    return all;
}

core::endpoint_id min_running_endpoint(
    std::span<const core::endpoint_id> candidates,
    const std::map<core::endpoint_id, std::int64_t>& running)
{
    const auto load_of = [&](const core::endpoint_id& name)
    {
        const auto found = running.find(name);
        return found == running.end() ? std::int64_t(0) : found->second;
    };
    return *std::min_element(
        candidates.begin(),
        candidates.end(),
        [&](const core::endpoint_id& left, const core::endpoint_id& right)
        {
            return load_of(left) < load_of(right);
        });
}

} // namespace

bool parse_policy(std::string_view name, pool_policy& out)
{
    const auto found = policies().find(name);
    if (found == policies().end())
    {
        return false;
    }
    out = found->second;
    return true;
}

bool checks_memory(const pool_policy& policy)
{
    return std::holds_alternative<reserve_first>(policy) ||
           std::holds_alternative<reserve_ahead>(policy);
}

core::endpoint_id choose_without_memory_check(
    pool_policy& policy,
    std::span<const core::endpoint_id> candidates,
    const std::map<core::endpoint_id, std::int64_t>& running,
    bool prefill)
{
    return std::visit(
        core::overloaded{
            [&](round_robin& rotation)
            {
                std::size_t& next =
                    prefill ? rotation.next_prefill_ : rotation.next_decode_;
                return candidates[next++ % candidates.size()];
            },
            [&](const auto&)
            {
                return min_running_endpoint(candidates, running);
            }},
        policy);
}

} // namespace poplarroute::policy
