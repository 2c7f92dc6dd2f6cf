#include "policy/trial_endpoints.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/digest.hpp"

namespace poplarroute::policy
{

namespace
{

/// Time for which the same endpoints have the trial's requests: long enough to
/// load them, and short against the shortest trials.
constexpr core::duration turn_duration{1'000};

} // namespace

trial_endpoints choose_trial_endpoints(
    std::span<const core::endpoint_id> targets,
    std::uint64_t rollout_id,
    double share,
    core::duration elapsed)
{
    trial_endpoints out;
    if (targets.empty())
    {
        return out;
    }
    std::vector<std::pair<std::uint64_t, core::endpoint_id>> ranked;
    ranked.reserve(targets.size());
    for (const core::endpoint_id& name : targets)
    {
        ranked.emplace_back(
            core::stable_hash(std::to_string(rollout_id) + "/" + name), name);
    }
    std::sort(ranked.begin(), ranked.end());
    const std::size_t all = ranked.size();
    const auto count = std::max<std::size_t>(
        static_cast<std::size_t>(share * static_cast<double>(all)), 1);
    const auto turn = static_cast<std::size_t>(
        std::max<std::int64_t>(elapsed.ms_, 0) / turn_duration.ms_);
    for (std::size_t at = 0; at < std::min(count, all); ++at)
    {
        out.names_.insert(ranked[(turn * count + at) % all].second);
    }
    out.share_ = std::min(
        static_cast<double>(out.names_.size()) / static_cast<double>(all),
        max_trial_share);
    return out;
}

} // namespace poplarroute::policy
