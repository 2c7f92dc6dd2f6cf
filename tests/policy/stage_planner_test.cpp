#include "policy/stage_planner.hpp"

#include <string>

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr duration lease{3'000};
constexpr duration change_time{6'000};
constexpr time_point start{100'000};

/// An engine reads eleven prompts a second or decodes 2.7 streams a second.
constexpr stage_rates burst{11, 2.7, 20};
constexpr stage_rates large_burst{11, 2.7, 60};

std::vector<staged_engine> fleet(int readers, int decoders)
{
    std::vector<staged_engine> out;
    const int all = readers + decoders;
    out.reserve(static_cast<std::size_t>(all));
    for (int at = 0; at < all; ++at)
    {
        out.push_back(
            {"engine-" + std::to_string(at),
             "zone-" + std::to_string(at % 3),
             at < readers,
             true});
    }
    return out;
}

stage_planner leading_planner()
{
    stage_planner out;
    out.begin_leading(start, lease);
    out.set_change_time(change_time);
    return out;
}

/// Plays a fleet on which orders work; the list shows them after three seconds.
/// \return how many orders were given.
int play(
    stage_planner& planner,
    std::vector<staged_engine>& engines,
    const stage_rates& rates,
    time_point from,
    time_point until)
{
    std::map<core::endpoint_id, std::pair<bool, time_point>> shown_at;
    int orders = 0;
    for (time_point now = from; now < until; now = now + duration{250})
    {
        for (staged_engine& item : engines)
        {
            const auto found = shown_at.find(item.name_);
            if (found != shown_at.end() && now >= found->second.second)
            {
                item.reads_prompts_ = found->second.first;
            }
        }
        for (const stage_change& change : planner.plan(engines, rates, now))
        {
            planner.record_order(change, now);
            shown_at[change.engine_] = {
                change.reads_prompts_, now + duration{3'000}};
            ++orders;
        }
    }
    return orders;
}

std::int64_t readers_of(const std::vector<staged_engine>& engines)
{
    return std::count_if(
        engines.begin(),
        engines.end(),
        [](const staged_engine& item)
        {
            return item.reads_prompts_;
        });
}

// Load: bursts on a fleet whose decode engines are the bottleneck.
TEST(stage_planner, gives_idle_readers_to_decoding)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    play(planner, engines, large_burst, start, start + duration{90'000});
    EXPECT_LE(readers_of(engines), 9);
    EXPECT_GE(readers_of(engines), 7);
}

TEST(stage_planner, leaves_a_balanced_fleet_alone)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(2, 7);
    EXPECT_EQ(
        play(planner, engines, burst, start, start + duration{60'000}), 0);
}

TEST(stage_planner, leaves_an_idle_fleet_alone)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    const stage_rates calm{11, 2.7, 10};
    EXPECT_EQ(play(planner, engines, calm, start, start + duration{60'000}), 0);
}

// Load: a zone with all but one of the readers is gone for good.
TEST(stage_planner, makes_readers_of_decode_engines_when_reading_binds)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(1, 7);
    play(planner, engines, burst, start, start + duration{60'000});
    EXPECT_EQ(readers_of(engines), 2);
}

TEST(stage_planner, does_not_follow_a_crash_of_some_seconds)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(2, 7);
    engines[0].usable_ = false;
    const time_point back = start + duration{9'000};
    EXPECT_EQ(play(planner, engines, burst, start + duration{4'500}, back), 0);
    engines[0].usable_ = true;
    EXPECT_EQ(play(planner, engines, burst, back, back + duration{30'000}), 0);
}

TEST(stage_planner, waits_for_its_predecessors_lease)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    EXPECT_EQ(play(planner, engines, large_burst, start, start + lease), 0);
}

TEST(stage_planner, changes_few_engines_at_a_time)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    for (time_point now = start; now < start + duration{60'000};
         now = now + duration{250})
    {
        for (const stage_change& change :
             planner.plan(engines, large_burst, now))
        {
            planner.record_order(change, now);
        }
        EXPECT_LE(planner.changing().size(), 3U);
    }
}

TEST(stage_planner, keeps_two_readers)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(3, 3);
    const stage_rates slow_decoding{50, 1, 20};
    play(planner, engines, slow_decoding, start, start + duration{60'000});
    EXPECT_EQ(readers_of(engines), 2);
}

} // namespace
} // namespace poplarroute::policy
