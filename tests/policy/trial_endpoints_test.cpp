#include "policy/trial_endpoints.hpp"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::policy
{
namespace
{

// Guards against a trial in which one endpoint, which may be the only faulty or
// the only sound one, stands for its whole version, and against one that loads
// its endpoints less than the switch will.
RC_GTEST_PROP(trial_endpoints, have_their_turns_under_full_load, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 60);
    const auto id = *rc::gen::arbitrary<std::uint64_t>();
    const double share = *rc::gen::inRange(1, 30) / 100.0;
    std::vector<core::endpoint_id> targets;
    for (std::size_t at = 0; at < count; ++at)
    {
        targets.push_back("i-" + std::to_string(at));
    }
    std::set<core::endpoint_id> seen;
    for (std::int64_t at_ms = 0; at_ms < 61'000; at_ms += 1'000)
    {
        const trial_endpoints now =
            choose_trial_endpoints(targets, id, share, core::duration{at_ms});
        RC_ASSERT(!now.names_.empty());
        const auto chosen = static_cast<double>(now.names_.size());
        RC_ASSERT(chosen <= std::max(share * static_cast<double>(count), 1.0));
        RC_ASSERT(
            now.share_ * static_cast<double>(count) >=
            std::min(chosen, max_trial_share * static_cast<double>(count)) -
                1e-9);
        RC_ASSERT(now.share_ <= max_trial_share);
        seen.insert(now.names_.begin(), now.names_.end());
    }
    RC_ASSERT(seen.size() == count);
}

TEST(trial_endpoints, none_without_a_target)
{
    EXPECT_TRUE(
        choose_trial_endpoints({}, 1, 0.1, core::duration{0}).names_.empty());
}

} // namespace
} // namespace poplarroute::policy
