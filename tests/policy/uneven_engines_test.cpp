#include <random>

#include <gtest/gtest.h>

#include "stream_load.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr std::int64_t prompt_tokens = 4'500;
constexpr std::int64_t output_tokens = 2'000;

stream_load uneven_load(double streams_per_second)
{
    stream_load out;
    out.slowest_ = 0.7;
    out.fastest_ = 1.7;
    out.slow_periods_ = true;
    out.length_ = duration{15'000};
    stream_class all;
    all.objective_ = duration{800};
    all.streams_per_second_ = streams_per_second;
    out.classes_ = {all};
    return out;
}

// Guards against slow engines that get as many streams as fast ones, and hold
// their memory for more than twice as long.
TEST(uneven_engines, streams_begin_earlier_when_speeds_are_known)
{
    for (const int streams_per_second : {30, 60, 75})
    {
        stream_load load = uneven_load(streams_per_second);
        const class_result now = apply(load).front();
        load.reports_speed_ = false;
        const class_result former = apply(load).front();
        const std::string rate =
            std::to_string(streams_per_second) + " per s, ";
        print(rate + "one speed for all", former);
        print(rate + "a speed for each", now);
        EXPECT_GE(now.on_time_, former.on_time_);
        EXPECT_LE(now.wait_quantile(0.5), former.wait_quantile(0.5));
        if (streams_per_second >= 60)
        {
            EXPECT_GT(now.served(), former.served() + 0.01);
            EXPECT_LT(now.late_, former.late_);
        }
        if (streams_per_second >= 75)
        {
            EXPECT_GT(now.served(), former.served() + 0.04);
        }
    }
}

std::vector<engine_info> two_of_each()
{
    std::vector<engine_info> out;
    for (const char* name : {"d0", "d1", "p0", "p1"})
    {
        engine_info info;
        info.name_ = name;
        info.zone_ = "z";
        info.reads_prompts_ = info.name_.starts_with("p");
        info.slots_ = 16;
        info.memory_tokens_ = 100'000;
        out.push_back(info);
    }
    return out;
}

stream_request request_of(const std::string& id, time_point now)
{
    stream_request out;
    out.id_ = id;
    out.host_ = "h";
    out.zone_ = "z";
    out.prompt_tokens_ = prompt_tokens;
    out.most_output_ = 4'000;
    out.first_event_deadline_ = now + duration{700};
    out.queue_deadline_ = now + duration{4'000};
    return out;
}

std::optional<stream_placement> place(
    stream_scheduler& scheduler, const stream_request& request, time_point now)
{
    scheduler.ask(request, now);
    for (const stream_decision& item : scheduler.decide(now))
    {
        const auto* placed = std::get_if<stream_placement>(&item);
        if (placed != nullptr && placed->id_ == request.id_)
        {
            return *placed;
        }
    }
    return std::nullopt;
}

/// Streams on p0 and d0, which take the given multiple of the usual time, and
/// on p1 and d1. \return the time of the last one.
time_point run_streams(stream_scheduler& scheduler, std::int64_t multiple)
{
    time_point now{10'000};
    for (int index = 0; index < 60; ++index)
    {
        const bool is_slow = index % 2 == 0;
        stream_request request = request_of("l" + std::to_string(index), now);
        request.avoid_ = is_slow ? std::set<core::endpoint_id>{"p1", "d1"}
                                 : std::set<core::endpoint_id>{"p0", "d0"};
        EXPECT_TRUE(place(scheduler, request, now));
        scheduler.prefill_finished(request.id_);
        now = now + duration{20};
        stream_result end;
        end.id_ = request.id_;
        end.complete_ = true;
        end.prompt_tokens_ = prompt_tokens;
        end.read_ = duration{100} * (is_slow ? multiple : 1);
        end.output_tokens_ = output_tokens;
        end.decode_ = duration{1'800} * (is_slow ? multiple : 1);
        scheduler.finished(end, now);
    }
    return now;
}

// Guards against streams that wait at a slow engine while a fast one idles.
TEST(uneven_engines, idle_fast_engines_get_streams_first)
{
    stream_scheduler scheduler;
    scheduler.set_engines(two_of_each());
    const time_point now = run_streams(scheduler, 2);
    const auto placed = place(scheduler, request_of("s", now), now);
    ASSERT_TRUE(placed);
    EXPECT_EQ(placed->reader_, "p1");
    EXPECT_EQ(placed->decoder_, "d1");
    for (const engine_speed_view& item : scheduler.speeds(now))
    {
        EXPECT_EQ(item.factor_ > 1, item.name_.ends_with("0")) << item.name_;
    }
}

// Guards against a first event that is late because an idle slow engine gets
// the prompt, though a fast one will have prefilled it in time. Without such a
// one, and for a late stream, the slow engine is used.
TEST(uneven_engines, a_stream_waits_for_an_engine_that_is_in_time)
{
    for (const bool has_fast_engine : {true, false})
    {
        stream_scheduler scheduler;
        scheduler.set_engines(two_of_each());
        time_point now = run_streams(scheduler, 5);
        // Fills the fast engine's backlog.
        ASSERT_TRUE(place(scheduler, request_of("a", now), now));
        stream_request urgent = request_of("b", now);
        urgent.first_event_deadline_ = now + duration{60};
        if (!has_fast_engine)
        {
            urgent.avoid_ = {"p1"};
        }
        const auto placed = place(scheduler, urgent, now);
        EXPECT_EQ(placed.has_value(), !has_fast_engine);
        if (has_fast_engine)
        {
            scheduler.prefill_finished("a");
            const auto decisions = scheduler.decide(now + duration{40});
            ASSERT_EQ(decisions.size(), 1U);
            EXPECT_EQ(std::get<stream_placement>(decisions[0]).reader_, "p1");
        }
    }
}

// Guards against a slow period that is noticed only at the end of a stream.
TEST(uneven_engines, a_reported_pace_counts_at_once_and_for_a_short_time)
{
    stream_scheduler scheduler;
    scheduler.set_engines(two_of_each());
    const time_point now = run_streams(scheduler, 1);
    scheduler.record_pace("p0", 250, now);
    const auto slow = place(scheduler, request_of("a", now), now);
    ASSERT_TRUE(slow);
    EXPECT_EQ(slow->reader_, "p1");
    const time_point later = now + duration{20'000};
    EXPECT_GT(scheduler.speeds(now)[2].factor_, 1.5);
    EXPECT_LT(scheduler.speeds(later)[2].factor_, 1.25);
}

// Guards against other decisions where all engines have the same speed, no pace
// is reported and no account is known. The number is the digest of what the
// scheduler decided before it knew of any of them.
TEST(uneven_engines, decisions_for_equal_engines_are_as_before)
{
    std::uint64_t digest = 14'695'981'039'346'656'037ULL;
    const auto add = [&digest](const std::string& text)
    {
        for (const char letter : text)
        {
            digest = (digest ^ static_cast<unsigned char>(letter)) *
                     1'099'511'628'211ULL;
        }
    };
    struct event
    {
        std::string id_;
        std::int64_t output_ = 0;
    };
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        std::mt19937 random(seed);
        stream_scheduler scheduler(seed);
        std::vector<engine_info> fleet;
        for (int index = 0; index < 9; ++index)
        {
            engine_info info;
            info.name_ = "engine-" + std::to_string(index);
            info.zone_ = index % 2 == 0 ? "zone-a" : "zone-b";
            info.reads_prompts_ = index >= 6;
            info.slots_ = 12;
            info.memory_tokens_ = 60'000;
            fleet.push_back(info);
        }
        scheduler.set_engines(fleet);
        std::multimap<time_point, event> prefills;
        std::multimap<time_point, event> ends;
        std::map<std::string, std::int64_t> prompts;
        int streams = 0;
        for (time_point now{1'000}; now.ms_ < 31'000; now = now + duration{20})
        {
            for (; !prefills.empty() && prefills.begin()->first <= now;
                 prefills.erase(prefills.begin()))
            {
                scheduler.prefill_finished(prefills.begin()->second.id_);
            }
            for (; !ends.empty() && ends.begin()->first <= now;
                 ends.erase(ends.begin()))
            {
                stream_result end;
                end.id_ = ends.begin()->second.id_;
                end.complete_ = true;
                end.prompt_tokens_ = prompts[end.id_];
                end.read_ = {end.prompt_tokens_ / 50};
                end.output_tokens_ = ends.begin()->second.output_;
                end.decode_ = {end.output_tokens_};
                scheduler.finished(end, now);
            }
            if (random() % 100 < 90)
            {
                stream_request request;
                request.id_ = "s" + std::to_string(streams++);
                request.digest_ = request.id_;
                request.host_ = "host-1";
                request.zone_ = "zone-a";
                request.prompt_tokens_ =
                    static_cast<std::int64_t>(20 + random() % 60) * 50;
                request.most_output_ = 4'000;
                request.priority_ = static_cast<int>(random() % 3);
                request.first_event_deadline_ =
                    now + duration{request.priority_ == 0 ? 500 : 1'700};
                request.queue_deadline_ = now + duration{4'000};
                prompts[request.id_] = request.prompt_tokens_;
                scheduler.ask(request, now);
            }
            for (const stream_decision& item : scheduler.decide(now))
            {
                const auto* placed = std::get_if<stream_placement>(&item);
                if (placed == nullptr)
                {
                    const auto& refused = std::get<stream_refusal>(item);
                    add(refused.id_ + name_of(refused.reason_) +
                        std::to_string(refused.retry_after_.ms_));
                    continue;
                }
                add(placed->id_ + placed->reader_ + placed->decoder_);
                const std::int64_t prompt = prompts[placed->id_];
                prefills.emplace(
                    now + duration{prompt / 50}, event{placed->id_, 0});
                const auto output =
                    static_cast<std::int64_t>(1'000 + random() % 2'000);
                ends.emplace(
                    now + duration{output}, event{placed->id_, output});
            }
        }
    }
    EXPECT_EQ(digest, 14'777'047'069'283'904'947ULL);
}

} // namespace
} // namespace poplarroute::policy
