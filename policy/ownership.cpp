#include "policy/ownership.hpp"

#include "core/digest.hpp"

namespace poplarroute::policy
{

core::host_id owner_of(
    std::string_view resource, std::span<const core::host_id> hosts)
{
    core::host_id best;
    std::uint64_t best_score = 0;
    for (const core::host_id& host : hosts)
    {
        const std::uint64_t score =
            core::stable_hash(std::string(resource) + "|" + host);
        const bool wins = best.empty() || score > best_score ||
                          (score == best_score && host < best);
        if (wins)
        {
            best = host;
            best_score = score;
        }
    }
    return best;
}

} // namespace poplarroute::policy
