#include "policy/ejection_record.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr time_point start{10'000};

TEST(ejection_record, one_hosts_failure_does_not_eject_for_other_hosts)
{
    ejection_record record;
    record.record_failure("host-1", start);
    EXPECT_TRUE(record.is_ejected_for("host-1", start));
    EXPECT_FALSE(record.is_ejected_for("host-2", start));
}

TEST(ejection_record, two_hosts_failures_eject_for_all_hosts)
{
    ejection_record record;
    record.record_failure("host-1", start);
    record.record_failure("host-2", start + duration{1});
    EXPECT_TRUE(record.is_ejected_for("host-3", start + duration{2}));
}

TEST(ejection_record, a_later_success_outweighs_earlier_failures)
{
    ejection_record record;
    record.record_failure("host-1", start);
    record.record_failure("host-2", start);
    record.record_success("host-3", start + duration{1});
    EXPECT_FALSE(record.is_ejected_for("host-3", start + duration{2}));
    EXPECT_TRUE(record.is_ejected_for("host-1", start + duration{2}));
}

TEST(ejection_record, repeated_failures_extend_the_ejection)
{
    ejection_record record;
    record.record_failure("host-1", start);
    const time_point again = start + duration{500};
    EXPECT_FALSE(record.is_ejected_for("host-1", again));
    record.record_failure("host-1", again);
    EXPECT_TRUE(record.is_ejected_for("host-1", again + duration{999}));
    EXPECT_FALSE(record.is_ejected_for("host-1", again + duration{1'000}));
}

TEST(ejection_record, ejection_for_all_hosts_lasts_for_the_given_time)
{
    ejection_record record;
    record.eject_for_all(start, duration{5'000});
    EXPECT_TRUE(record.is_ejected_for("host-1", start + duration{4'999}));
    EXPECT_FALSE(record.is_ejected_for("host-1", start + duration{5'000}));
}

TEST(ejection_record, a_success_ends_a_hosts_own_ejection)
{
    ejection_record record;
    record.record_failure("host-1", start);
    record.record_success("host-1", start + duration{1});
    EXPECT_FALSE(record.is_ejected_for("host-1", start + duration{2}));
}

} // namespace
} // namespace poplarroute::policy
