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

constexpr std::int64_t engine_memory_tokens = 100'000;

std::vector<engine_info> small_fleet()
{
    std::vector<engine_info> out;
    for (const char* name : {"prefill-1", "prefill-2", "decode-1", "decode-2"})
    {
        engine_info info;
        info.name_ = name;
        info.zone_ = "zone-a";
        info.reads_prompts_ = info.name_.starts_with("prefill");
        info.slots_ = 16;
        info.memory_tokens_ = engine_memory_tokens;
        out.push_back(std::move(info));
    }
    return out;
}

stream_request make_request(std::string id, time_point now)
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

const stream_placement* only_placement(
    const std::vector<stream_decision>& decisions)
{
    return decisions.size() == 1 ? std::get_if<stream_placement>(&decisions[0])
                                 : nullptr;
}

TEST(stream_scheduler, places_on_a_prefill_and_a_decode_engine)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.ask(make_request("a", now), now);
    const auto decisions = scheduler.decide(now);
    const stream_placement* placement = only_placement(decisions);
    ASSERT_NE(placement, nullptr);
    EXPECT_TRUE(placement->reader_.starts_with("prefill"));
    EXPECT_TRUE(placement->decoder_.starts_with("decode"));
}

// A stream that has failed at every decode engine, or whose host all of them
// turned away, would only wait for its caller's patience to end.
TEST(stream_scheduler, refuses_at_once_streams_that_avoid_all_decode_engines)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    stream_request request = make_request("a", now);
    request.avoid_ = {"decode-1", "decode-2"};
    scheduler.ask(request, now);
    const auto decisions = scheduler.decide(now);
    ASSERT_EQ(decisions.size(), 1U);
    const auto* refusal = std::get_if<stream_refusal>(&decisions[0]);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason_, stream_refusal_reason::no_engine);
}

TEST(stream_scheduler, decode_engines_prefill_when_all_prefill_engines_failed)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    stream_request request = make_request("a", now);
    request.avoid_ = {"prefill-1", "prefill-2"};
    scheduler.ask(request, now);
    const auto decisions = scheduler.decide(now);
    const stream_placement* placement = only_placement(decisions);
    ASSERT_NE(placement, nullptr);
    EXPECT_TRUE(placement->reader_.empty());
}

TEST(stream_scheduler, refuses_at_once_streams_that_fit_no_engine)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    stream_request large_request = make_request("a", now);
    large_request.prompt_tokens_ = engine_memory_tokens + 1;
    scheduler.ask(large_request, now);
    const auto decisions = scheduler.decide(now);
    ASSERT_EQ(decisions.size(), 1U);
    const auto* refusal = std::get_if<stream_refusal>(&decisions[0]);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason_, stream_refusal_reason::too_large);
}

TEST(stream_scheduler, places_streams_on_time_before_late_ones)
{
    stream_scheduler scheduler;
    const time_point now{10'000};
    stream_request late = make_request("late", now);
    late.first_event_deadline_ = now - duration{1};
    scheduler.ask(late, now - duration{800});
    scheduler.ask(make_request("early", now), now);
    auto fleet = small_fleet();
    // A single prefill engine takes one prompt at a time.
    fleet.erase(fleet.begin() + 1);
    scheduler.set_engines(fleet);
    const auto first = scheduler.decide(now);
    ASSERT_FALSE(first.empty());
    const auto* placement = std::get_if<stream_placement>(&first[0]);
    ASSERT_NE(placement, nullptr);
    EXPECT_EQ(placement->id_, "early");
}

// Load: more streams than the engines can carry, for longer than callers wait.
TEST(stream_scheduler, refuses_late_streams_while_others_are_on_time)
{
    stream_scheduler scheduler;
    scheduler.set_engines({});
    std::vector<engine_info> full = small_fleet();
    for (engine_info& info : full)
    {
        info.slots_ = 1;
    }
    scheduler.set_engines(full);
    const time_point start{10'000};
    for (const char* id : {"a", "b", "early"})
    {
        scheduler.ask(make_request(id, start), start);
    }
    // Two streams fill both decode engines.
    EXPECT_EQ(scheduler.decide(start).size(), 2U);
    const time_point later = start + duration{701};
    scheduler.ask(make_request("fresh", later), later);
    const auto decisions = scheduler.decide(later);
    ASSERT_EQ(decisions.size(), 1U);
    const auto* refusal = std::get_if<stream_refusal>(&decisions[0]);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->id_, "early");
    EXPECT_EQ(refusal->reason_, stream_refusal_reason::overtaken);
    EXPECT_GE(refusal->retry_after_.ms_, 300);
}

TEST(stream_scheduler, a_caller_that_returns_keeps_its_first_deadline)
{
    stream_scheduler scheduler;
    const time_point now{10'000};
    stream_request first = make_request("first", now);
    first.digest_ = "d";
    first.queue_deadline_ = now + duration{10};
    scheduler.ask(first, now);
    const time_point later = now + duration{1'500};
    scheduler.decide(later); // Refused, since there is no engine.
    stream_request again = make_request("again", later);
    again.digest_ = "d";
    scheduler.ask(again, later);
    scheduler.ask(make_request("fresh", later), later);
    auto fleet = small_fleet();
    fleet.erase(fleet.begin() + 1);
    scheduler.set_engines(fleet);
    const auto decisions = scheduler.decide(later);
    ASSERT_FALSE(decisions.empty());
    const auto* placement = std::get_if<stream_placement>(&decisions[0]);
    ASSERT_NE(placement, nullptr);
    EXPECT_EQ(placement->id_, "fresh");
}

TEST(stream_scheduler, releases_the_placements_of_a_silent_host)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.ask(make_request("a", now), now);
    scheduler.decide(now);
    EXPECT_EQ(scheduler.running(), 1U);
    scheduler.expire(now + duration{10'000});
    EXPECT_EQ(scheduler.running(), 0U);
}

TEST(stream_scheduler, learns_placements_from_hosts_after_a_change_of_leader)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{20'000};
    const std::vector<reported_placement> reported{
        {"a", "decode-1", 5'000, 5'000, duration{500}}};
    scheduler.reconcile("host-1", reported, now);
    EXPECT_EQ(scheduler.running(), 1U);
    EXPECT_GT(scheduler.memory_utilization(now), 0);
    scheduler.reconcile("host-1", {}, now + duration{5'000});
    EXPECT_EQ(scheduler.running(), 0U);
}

// Load: all prefill engines are lost, or unreachable from a host.
TEST(
    stream_scheduler,
    decode_engines_prefill_when_no_prefill_engine_is_available)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.failed("prefill-1", "host-1", now);
    scheduler.failed("prefill-2", "host-1", now);
    scheduler.ask(make_request("a", now), now);
    const auto decisions = scheduler.decide(now);
    const stream_placement* placement = only_placement(decisions);
    ASSERT_NE(placement, nullptr);
    EXPECT_TRUE(placement->reader_.empty());
    EXPECT_TRUE(placement->decoder_.starts_with("decode"));
}

// Guards against wasted prefills after the engines of a zone have restarted as
// new processes: streams were placed on the old engines until the platform's
// list showed the new ones.
TEST(stream_scheduler, places_nothing_on_an_engine_that_was_replaced)
{
    stream_scheduler scheduler;
    scheduler.set_engines(small_fleet());
    const time_point now{1'000};
    scheduler.replaced("decode-1", now);
    for (int index = 0; index < 3; ++index)
    {
        scheduler.ask(make_request("s" + std::to_string(index), now), now);
    }
    for (const stream_decision& item : scheduler.decide(now))
    {
        const auto* placement = std::get_if<stream_placement>(&item);
        if (placement != nullptr)
        {
            EXPECT_EQ(placement->decoder_, "decode-2");
        }
    }
}

// A partition between zones breaks the streams that cross it, and KV-cache
// transfers between zones take twice as long.
TEST(stream_scheduler, keeps_a_stream_in_its_callers_zone_while_there_is_room)
{
    std::vector<engine_info> fleet = small_fleet();
    for (engine_info& info : small_fleet())
    {
        info.name_ += "-b";
        info.zone_ = "zone-b";
        fleet.push_back(info);
    }
    stream_scheduler scheduler;
    scheduler.set_engines(fleet);
    time_point now{1'000};
    for (int index = 0; index < 4; ++index)
    {
        now = now + duration{150};
        stream_request request = make_request("s" + std::to_string(index), now);
        request.zone_ = "zone-b";
        scheduler.ask(request, now);
        const auto decisions = scheduler.decide(now);
        const stream_placement* placement = only_placement(decisions);
        ASSERT_NE(placement, nullptr);
        EXPECT_TRUE(placement->decoder_.ends_with("-b")) << placement->decoder_;
        EXPECT_TRUE(placement->reader_.ends_with("-b")) << placement->reader_;
        scheduler.prefill_finished(request.id_);
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
    scheduler.ask(make_request("a", now), now);
    EXPECT_NE(only_placement(scheduler.decide(now)), nullptr);

    stream_request unreachable_request = make_request("b", now);
    unreachable_request.host_ = "host-2";
    scheduler.ask(unreachable_request, now);
    EXPECT_TRUE(scheduler.decide(now).empty());
}

// Load: without a leader, ten hosts place six streams each at the same time, on
// six engines that can carry eleven each. No engine may get more streams than
// its slots.
TEST(stream_scheduler, hosts_that_place_independently_use_different_engines)
{
    std::vector<engine_info> fleet;
    for (int index = 0; index < 9; ++index)
    {
        engine_info info;
        info.name_ = "engine-" + std::to_string(index);
        info.zone_ = "zone-a";
        info.reads_prompts_ = index >= 6;
        info.slots_ = 16;
        info.memory_tokens_ = engine_memory_tokens;
        fleet.push_back(info);
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
            scheduler.ask(make_request(id, now), now);
            for (const stream_decision& item : scheduler.decide(now))
            {
                if (const auto* placement =
                        std::get_if<stream_placement>(&item))
                {
                    ++placed[placement->decoder_];
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

// Load: twenty streams per second for one second, on engines that can carry
// ten.
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
        stream_request request = make_request("s" + std::to_string(step), now);
        request.prompt_tokens_ =
            500 + static_cast<std::int64_t>(random() % 10'000);
        const std::int64_t prompt = request.prompt_tokens_;
        const std::string id = request.id_;
        scheduler.ask(std::move(request), now);
        placed[id] = {"", prompt};
        for (const stream_decision& item : scheduler.decide(now))
        {
            if (const auto* placement = std::get_if<stream_placement>(&item))
            {
                placed[placement->id_].first = placement->decoder_;
            }
        }
        std::map<std::string, std::int64_t> prompts;
        for (const auto& [key, value] : placed)
        {
            prompts[value.first] += value.first.empty() ? 0 : value.second;
        }
        for (const auto& [engine, tokens] : prompts)
        {
            RC_ASSERT(tokens <= engine_memory_tokens);
        }
        if (random() % 4 == 0)
        {
            const std::string ended = "s" + std::to_string(random() % 200);
            stream_result end;
            end.id_ = ended;
            scheduler.finished(end, now);
            placed.erase(ended);
        }
    }
}

} // namespace
} // namespace poplarroute::policy
