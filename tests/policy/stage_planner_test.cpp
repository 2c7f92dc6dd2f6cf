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

/// One engine prefills eleven prompts per second, or decodes 2.7 streams per
/// second.
constexpr stage_rates burst{11, 2.7, 20};
constexpr stage_rates large_burst{11, 2.7, 60};

std::vector<staged_engine> fleet(int prefill_engines, int decode_engines)
{
    std::vector<staged_engine> out;
    const int total = prefill_engines + decode_engines;
    out.reserve(static_cast<std::size_t>(total));
    for (int index = 0; index < total; ++index)
    {
        out.push_back(
            {"engine-" + std::to_string(index),
             "zone-" + std::to_string(index % 3),
             index < prefill_engines,
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

/// Simulates a fleet that carries out all orders, and whose changes the
/// platform's list shows after three seconds.
/// \return the number of orders.
int simulate(
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

std::int64_t prefill_engines_of(const std::vector<staged_engine>& engines)
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
TEST(stage_planner, moves_idle_prefill_engines_to_decoding)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    simulate(planner, engines, large_burst, start, start + duration{90'000});
    EXPECT_LE(prefill_engines_of(engines), 9);
    EXPECT_GE(prefill_engines_of(engines), 7);
}

TEST(stage_planner, changes_nothing_in_a_balanced_fleet)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(2, 7);
    EXPECT_EQ(
        simulate(planner, engines, burst, start, start + duration{60'000}), 0);
}

TEST(stage_planner, changes_nothing_in_an_idle_fleet)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    const stage_rates calm{11, 2.7, 10};
    EXPECT_EQ(
        simulate(planner, engines, calm, start, start + duration{60'000}), 0);
}

// Load: a zone with all but one of the prefill engines is permanently lost.
TEST(
    stage_planner,
    moves_decode_engines_to_prefill_when_prefill_is_the_bottleneck)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(1, 7);
    simulate(planner, engines, burst, start, start + duration{60'000});
    EXPECT_EQ(prefill_engines_of(engines), 2);
}

TEST(stage_planner, ignores_a_crash_of_some_seconds)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(2, 7);
    engines[0].usable_ = false;
    const time_point back = start + duration{9'000};
    EXPECT_EQ(
        simulate(planner, engines, burst, start + duration{4'500}, back), 0);
    engines[0].usable_ = true;
    EXPECT_EQ(
        simulate(planner, engines, burst, back, back + duration{30'000}), 0);
}

TEST(stage_planner, waits_for_its_predecessors_lease)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(12, 23);
    EXPECT_EQ(simulate(planner, engines, large_burst, start, start + lease), 0);
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

TEST(stage_planner, keeps_two_prefill_engines)
{
    stage_planner planner = leading_planner();
    auto engines = fleet(3, 3);
    const stage_rates slow_decoding{50, 1, 20};
    simulate(planner, engines, slow_decoding, start, start + duration{60'000});
    EXPECT_EQ(prefill_engines_of(engines), 2);
}

} // namespace
} // namespace poplarroute::policy
