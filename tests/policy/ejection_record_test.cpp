#include "policy/ejection_record.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr time_point start{10'000};

TEST(ejection_record, one_hosts_failure_leaves_the_endpoint_to_the_others)
{
    ejection_record record;
    record.record_failure("host-1", start);
    EXPECT_TRUE(record.is_ejected_for("host-1", start));
    EXPECT_FALSE(record.is_ejected_for("host-2", start));
}

TEST(ejection_record, two_hosts_failures_leave_it_out_for_all)
{
    ejection_record record;
    record.record_failure("host-1", start);
    record.record_failure("host-2", start + duration{1});
    EXPECT_TRUE(record.is_ejected_for("host-3", start + duration{2}));
}

TEST(ejection_record, a_host_that_is_served_outweighs_earlier_failures)
{
    ejection_record record;
    record.record_failure("host-1", start);
    record.record_failure("host-2", start);
    record.record_success("host-3", start + duration{1});
    EXPECT_FALSE(record.is_ejected_for("host-3", start + duration{2}));
    EXPECT_TRUE(record.is_ejected_for("host-1", start + duration{2}));
}

TEST(ejection_record, failing_again_takes_longer_to_return)
{
    ejection_record record;
    record.record_failure("host-1", start);
    const time_point again = start + duration{500};
    EXPECT_FALSE(record.is_ejected_for("host-1", again));
    record.record_failure("host-1", again);
    EXPECT_TRUE(record.is_ejected_for("host-1", again + duration{999}));
    EXPECT_FALSE(record.is_ejected_for("host-1", again + duration{1'000}));
}

TEST(ejection_record, a_replaced_endpoint_stays_out_for_all_for_its_time)
{
    ejection_record record;
    record.eject_for_all(start, duration{5'000});
    EXPECT_TRUE(record.is_ejected_for("host-1", start + duration{4'999}));
    EXPECT_FALSE(record.is_ejected_for("host-1", start + duration{5'000}));
}

TEST(ejection_record, an_answer_ends_a_hosts_own_ejection)
{
    ejection_record record;
    record.record_failure("host-1", start);
    record.record_success("host-1", start + duration{1});
    EXPECT_FALSE(record.is_ejected_for("host-1", start + duration{2}));
}

} // namespace
} // namespace poplarroute::policy
