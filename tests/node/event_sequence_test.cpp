#include "node/event_sequence.hpp"

#include <limits>

#include <gtest/gtest.h>

namespace poplarroute::node
{
namespace
{

using position = event_sequence::position;

TEST(event_sequence, drops_the_events_that_a_caller_has)
{
    event_sequence events(std::nullopt);
    events.begin_run();
    EXPECT_EQ(events.add(1, true), position::next);
    EXPECT_EQ(events.add(2, true), position::next);
    events.begin_run();
    EXPECT_EQ(events.add(1, true), position::duplicate);
    EXPECT_EQ(events.add(2, true), position::duplicate);
    EXPECT_EQ(events.add(3, true), position::next);
    EXPECT_EQ(events.last(), 3);
}

// Guards against a stream that goes on at another engine without some events.
TEST(event_sequence, finds_that_a_resumed_stream_skips_events)
{
    event_sequence events(std::nullopt);
    events.begin_run();
    events.add(1, true);
    events.add(2, true);
    events.begin_run();
    EXPECT_EQ(events.add(4, true), position::gap);
    EXPECT_EQ(events.last(), 2);
}

TEST(event_sequence, knows_the_step_of_a_stream_from_its_first_event)
{
    event_sequence events(std::nullopt);
    events.begin_run();
    events.add(1, true);
    events.begin_run();
    EXPECT_EQ(events.add(3, true), position::gap);
    EXPECT_EQ(events.add(2, true), position::next);
}

TEST(event_sequence, accepts_steps_of_several_tokens_and_a_shorter_last_one)
{
    event_sequence events(std::nullopt);
    events.begin_run();
    events.add(5, true);
    events.add(10, true);
    events.begin_run();
    EXPECT_EQ(events.add(20, true), position::gap);
    EXPECT_EQ(events.add(13, true), position::next);
}

TEST(event_sequence, accepts_any_later_event_of_an_irregular_stream)
{
    event_sequence events(std::nullopt);
    events.begin_run();
    events.add(1, true);
    events.add(4, true);
    events.add(5, true);
    events.begin_run();
    EXPECT_EQ(events.add(9, true), position::next);
}

TEST(event_sequence, goes_on_for_a_caller_that_resumes)
{
    event_sequence events(7);
    events.begin_run();
    EXPECT_EQ(events.add(7, true), position::duplicate);
    EXPECT_EQ(events.add(8, true), position::next);
    events.begin_run();
    EXPECT_EQ(events.add(10, true), position::gap);
}

TEST(event_sequence, cannot_resume_after_events_without_an_id)
{
    event_sequence events(std::nullopt);
    events.begin_run();
    events.add(1, true);
    events.add(std::nullopt, false);
    EXPECT_TRUE(events.is_resumable());
    events.begin_run();
    EXPECT_EQ(events.add(std::nullopt, false), position::next);
    EXPECT_EQ(events.add(std::nullopt, true), position::gap);
    EXPECT_EQ(events.add(2, true), position::next);
    events.add(std::nullopt, true);
    EXPECT_FALSE(events.is_resumable());
}

TEST(event_sequence, accepts_the_largest_ids)
{
    event_sequence events(std::numeric_limits<std::int64_t>::min());
    events.begin_run();
    EXPECT_EQ(
        events.add(std::numeric_limits<std::int64_t>::max(), true),
        position::next);
}

} // namespace
} // namespace poplarroute::node
