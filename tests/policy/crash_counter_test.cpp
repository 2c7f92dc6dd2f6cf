#include "policy/crash_counter.hpp"

#include <gtest/gtest.h>

#include "policy/quarantine.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

// Guards against an endpoint that starts again under its id, whose crashes
// counted as one: what crashes it was never refused.
TEST(crash_counter, tells_the_crashes_of_a_restarted_endpoint_apart)
{
    crash_counter crashes;
    const std::string first =
        crashes.record("e", time_point{1'000}, time_point{1'100});
    const std::string second =
        crashes.record("e", time_point{3'000}, time_point{3'100});
    EXPECT_NE(first, second);
    EXPECT_NE(crashes.record("f", time_point{900}, time_point{3'100}), first);
}

TEST(crash_counter, gives_all_reports_of_a_crash_one_id)
{
    crash_counter crashes;
    const std::string first =
        crashes.record("e", time_point{1'000}, time_point{1'100});
    EXPECT_EQ(crashes.record("e", time_point{500}, time_point{1'200}), first);
    EXPECT_EQ(crashes.record("e", time_point{1'050}, time_point{1'300}), first);
}

TEST(quarantine, an_answer_clears_a_suspect_but_no_quarantined_request)
{
    quarantine records;
    const duration span{60'000};
    const time_point now{1'000};
    records.crashed("d", "e#1", evidence::just_started, span, now);
    EXPECT_TRUE(records.has_suspects(now));
    EXPECT_TRUE(records.answered("d", now));
    EXPECT_FALSE(records.has_suspects(now));
    records.crashed("d", "e#2", evidence::just_started, span, now);
    EXPECT_EQ(records.look_up("d", now), suspicion::suspect);
    records.crashed("d", "e#3", evidence::just_started, span, now);
    EXPECT_FALSE(records.answered("d", now));
    EXPECT_EQ(records.look_up("d", now), suspicion::quarantined);
}

TEST(quarantine, keeps_a_record_for_as_long_as_asked)
{
    quarantine records;
    records.crashed(
        "d", "e#1", evidence::alone, duration{1'000}, time_point{0});
    records.keep_until("d", time_point{100'000});
    records.expire(time_point{99'999});
    EXPECT_EQ(records.look_up("d", time_point{99'999}), suspicion::quarantined);
}

} // namespace
} // namespace poplarroute::policy
