#include "policy/stream_scheduler.hpp"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr std::int64_t engine_memory = 100'000;

std::vector<engine_info> small_fleet()
{
    std::vector<engine_info> out;
    for (const char* name : {"reader-1", "reader-2", "decode-1", "decode-2"})
    {
        engine_info facts;
        facts.name_ = name;
        facts.zone_ = "zone-a";
        facts.reads_prompts_ = facts.name_.starts_with("reader");
        facts.slots_ = 16;
        facts.memory_tokens_ = engine_memory;
        out.push_back(std::move(facts));
    }
    return out;
}

stream_request want_of(std::string id, time_point now)
{
    stream_request out;
    out.id_ = std::move(id);
    out.host_ = "host-1";
    out.zone_ = "zone-a";
    out.prompt_tokens_ = 5'000;
    out.most_output_ = 9'000;
    out.first_event_deadline_ = now + duration{700};
    out.queue_deadline_ = now + duration{4'000};
    return out;
}

const stream_placement* only_place(
    const std::vector<stream_decision>& decisions)
{
    return decisions.size() == 1 ? std::get_if<stream_placement>(&decisions[0])
                                 : nullptr;
}

TEST(stream_scheduler, places_on_a_reader_and_a_decode_engine)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.ask(want_of("a", now), now);
    const auto decisions = scheduler.decide(now);
    const stream_placement* place = only_place(decisions);
    ASSERT_NE(place, nullptr);
    EXPECT_TRUE(place->reader_.starts_with("reader"));
    EXPECT_TRUE(place->decoder_.starts_with("decode"));
}

TEST(stream_scheduler, refuses_at_once_what_no_engine_can_hold)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    stream_request large = want_of("a", now);
    large.prompt_tokens_ = engine_memory + 1;
    scheduler.ask(large, now);
    const auto decisions = scheduler.decide(now);
    ASSERT_EQ(decisions.size(), 1U);
    const auto* refused = std::get_if<stream_refusal>(&decisions[0]);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->reason_, stream_refusal_reason::too_large);
}

TEST(stream_scheduler, places_those_still_on_time_before_late_ones)
{
    stream_scheduler scheduler;
    const time_point now{10'000};
    stream_request late = want_of("late", now);
    late.first_event_deadline_ = now - duration{1};
    scheduler.ask(late, now - duration{800});
    scheduler.ask(want_of("early", now), now);
    auto fleet = small_fleet();
    fleet.erase(fleet.begin() + 1); // One reader bears one prompt at a time.
    scheduler.set_engines(fleet);
    const auto first = scheduler.decide(now);
    ASSERT_FALSE(first.empty());
    const auto* place = std::get_if<stream_placement>(&first[0]);
    ASSERT_NE(place, nullptr);
    EXPECT_EQ(place->id_, "early");
}

// Load: more than the engines carry, for longer than callers wait.
TEST(stream_scheduler, refuses_at_its_objective_what_others_will_overtake)
{
    stream_scheduler scheduler;
    scheduler.set_engines({});
    std::vector<engine_info> full = small_fleet();
    for (engine_info& facts : full)
    {
        facts.slots_ = 1;
    }
    scheduler.set_engines(full);
    const time_point start{10'000};
    for (const char* id : {"a", "b", "early"})
    {
        scheduler.ask(want_of(id, start), start);
    }
    EXPECT_EQ(scheduler.decide(start).size(), 2U); // Both decode engines taken.
    const time_point later = start + duration{701};
    scheduler.ask(want_of("fresh", later), later);
    const auto decisions = scheduler.decide(later);
    ASSERT_EQ(decisions.size(), 1U);
    const auto* refused = std::get_if<stream_refusal>(&decisions[0]);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->id_, "early");
    EXPECT_EQ(refused->reason_, stream_refusal_reason::overtaken);
    EXPECT_GE(refused->retry_after_.ms_, 300);
}

TEST(stream_scheduler, a_caller_that_returns_keeps_its_first_objective)
{
    stream_scheduler scheduler;
    const time_point now{10'000};
    stream_request first = want_of("first", now);
    first.digest_ = "d";
    first.queue_deadline_ = now + duration{10};
    scheduler.ask(first, now);
    const time_point later = now + duration{1'500};
    scheduler.decide(later); // No engine: it is refused.
    stream_request again = want_of("again", later);
    again.digest_ = "d";
    scheduler.ask(again, later);
    scheduler.ask(want_of("fresh", later), later);
    auto fleet = small_fleet();
    fleet.erase(fleet.begin() + 1);
    scheduler.set_engines(fleet);
    const auto decisions = scheduler.decide(later);
    ASSERT_FALSE(decisions.empty());
    const auto* place = std::get_if<stream_placement>(&decisions[0]);
    ASSERT_NE(place, nullptr);
    EXPECT_EQ(place->id_, "fresh");
}

TEST(stream_scheduler, frees_what_a_silent_host_held)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.ask(want_of("a", now), now);
    scheduler.decide(now);
    EXPECT_EQ(scheduler.running(), 1U);
    scheduler.expire(now + duration{10'000});
    EXPECT_EQ(scheduler.running(), 0U);
}

TEST(stream_scheduler, takes_over_places_from_hosts_after_a_change_of_leader)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{20'000};
    const std::vector<reported_placement> held{
        {"a", "decode-1", 5'000, 5'000, duration{500}}};
    scheduler.reconcile("host-1", held, now);
    EXPECT_EQ(scheduler.running(), 1U);
    EXPECT_GT(scheduler.memory_utilization(now), 0);
    scheduler.reconcile("host-1", {}, now + duration{5'000});
    EXPECT_EQ(scheduler.running(), 0U);
}

// Load: all readers are gone, or out of a host's reach.
TEST(stream_scheduler, lets_decode_engines_read_when_there_is_no_reader)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.failed("reader-1", "host-1", now);
    scheduler.failed("reader-2", "host-1", now);
    scheduler.ask(want_of("a", now), now);
    const auto decisions = scheduler.decide(now);
    const stream_placement* place = only_place(decisions);
    ASSERT_NE(place, nullptr);
    EXPECT_TRUE(place->reader_.empty());
    EXPECT_TRUE(place->decoder_.starts_with("decode"));
}

// Found on the bench: after engines of a zone had come back as new processes,
// streams went on being placed on the old ones until the list showed it, and
// their prompts were read for nothing.
TEST(stream_scheduler, gives_nothing_to_an_engine_that_has_been_replaced)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.replaced("decode-1", now);
    for (int index = 0; index < 3; ++index)
    {
        scheduler.ask(want_of("s" + std::to_string(index), now), now);
    }
    for (const stream_decision& item : scheduler.decide(now))
    {
        const auto* place = std::get_if<stream_placement>(&item);
        if (place != nullptr)
        {
            EXPECT_EQ(place->decoder_, "decode-2");
        }
    }
}

// A cut between zones breaks the streams that cross it, and moves between
// zones take twice as long.
TEST(stream_scheduler, keeps_a_stream_in_its_callers_zone_while_there_is_room)
{
    std::vector<engine_info> fleet = small_fleet();
    for (engine_info& facts : small_fleet())
    {
        facts.name_ += "-b";
        facts.zone_ = "zone-b";
        fleet.push_back(facts);
    }
    stream_scheduler scheduler;
    scheduler.set_engines(fleet);
    time_point now{1'000};
    for (int index = 0; index < 4; ++index)
    {
        now = now + duration{150};
        stream_request want = want_of("s" + std::to_string(index), now);
        want.zone_ = "zone-b";
        scheduler.ask(want, now);
        const auto decisions = scheduler.decide(now);
        const stream_placement* place = only_place(decisions);
        ASSERT_NE(place, nullptr);
        EXPECT_TRUE(place->decoder_.ends_with("-b")) << place->decoder_;
        EXPECT_TRUE(place->reader_.ends_with("-b")) << place->reader_;
        scheduler.prefill_finished(want.id_);
    }
}

TEST(stream_scheduler, keeps_an_engine_for_hosts_that_still_reach_it)
{
    stream_scheduler scheduler;
    auto fleet = small_fleet();
    fleet.pop_back(); // One decode engine.
    scheduler.set_engines(fleet);
    const time_point now{1'000};
    scheduler.failed("decode-1", "host-2", now);
    scheduler.ask(want_of("a", now), now);
    EXPECT_NE(only_place(scheduler.decide(now)), nullptr);

    stream_request cut_off = want_of("b", now);
    cut_off.host_ = "host-2";
    scheduler.ask(cut_off, now);
    EXPECT_TRUE(scheduler.decide(now).empty());
}

// Load: ten hosts without a leader place six streams each at one time, on six
// engines that bear eleven each. The fullest may get no more than its memory.
TEST(stream_scheduler, hosts_that_place_unseen_by_each_other_spread_out)
{
    std::vector<engine_info> fleet;
    for (int index = 0; index < 9; ++index)
    {
        engine_info facts;
        facts.name_ = "engine-" + std::to_string(index);
        facts.zone_ = "zone-a";
        facts.reads_prompts_ = index >= 6;
        facts.slots_ = 16;
        facts.memory_tokens_ = engine_memory;
        fleet.push_back(facts);
    }
    constexpr int hosts = 10;
    std::map<core::endpoint_id, int> placed;
    int all = 0;
    for (int host = 0; host < hosts; ++host)
    {
        stream_scheduler scheduler(static_cast<std::uint64_t>(host) + 1);
        scheduler.set_engines(fleet);
        scheduler.set_scheduling_hosts(hosts);
        time_point now{1'000};
        for (int step = 0; step < 6; ++step)
        {
            now = now + duration{200};
            const std::string id = "s" + std::to_string(step);
            scheduler.ask(want_of(id, now), now);
            for (const stream_decision& item : scheduler.decide(now))
            {
                if (const auto* place = std::get_if<stream_placement>(&item))
                {
                    ++placed[place->decoder_];
                    ++all;
                    scheduler.prefill_finished(id);
                }
            }
        }
    }
    EXPECT_EQ(all, hosts * 6);
    for (const auto& [engine, count] : placed)
    {
        EXPECT_LE(count, 16) << engine;
    }
    EXPECT_EQ(placed.size(), 6U);
}

// Load: twenty streams a second for a second, on engines that bear ten.
RC_GTEST_PROP(
    stream_scheduler, never_fills_an_engine_beyond_its_memory, (unsigned seed))
{
    std::mt19937 random(seed);
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    time_point now{1'000};
    std::map<std::string, std::pair<std::string, std::int64_t>> placed;
    for (int step = 0; step < 200; ++step)
    {
        now = now + duration{static_cast<std::int64_t>(random() % 60)};
        stream_request want = want_of("s" + std::to_string(step), now);
        want.prompt_tokens_ =
            500 + static_cast<std::int64_t>(random() % 10'000);
        const std::int64_t prompt = want.prompt_tokens_;
        const std::string id = want.id_;
        scheduler.ask(std::move(want), now);
        placed[id] = {"", prompt};
        for (const stream_decision& item : scheduler.decide(now))
        {
            if (const auto* place = std::get_if<stream_placement>(&item))
            {
                placed[place->id_].first = place->decoder_;
            }
        }
        std::map<std::string, std::int64_t> prompts;
        for (const auto& [key, value] : placed)
        {
            prompts[value.first] += value.first.empty() ? 0 : value.second;
        }
        for (const auto& [engine, tokens] : prompts)
        {
            RC_ASSERT(tokens <= engine_memory);
        }
        if (random() % 4 == 0)
        {
            const std::string gone = "s" + std::to_string(random() % 200);
            stream_result end;
            end.id_ = gone;
            scheduler.finished(end, now);
            placed.erase(gone);
        }
    }
}

} // namespace
} // namespace poplarroute::policy
