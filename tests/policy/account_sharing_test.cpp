#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>

#include "policy/account_shares.hpp"
#include "stream_load.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

stream_class urgent(const std::string& account, double per_second)
{
    stream_class out;
    out.account_ = account;
    out.priority_ = 0;
    out.objective_ = duration{800};
    out.streams_per_second_ = per_second;
    return out;
}

stream_class less_urgent(const std::string& account, double per_second)
{
    stream_class out;
    out.account_ = account;
    out.priority_ = 2;
    out.objective_ = duration{2'000};
    out.streams_per_second_ = per_second;
    return out;
}

/// Results with and without accounts.
struct comparison
{
    std::vector<class_result> former_;
    std::vector<class_result> now_;
};

comparison compare(stream_load load, const std::string& name)
{
    comparison out;
    out.now_ = apply(load);
    load.reports_accounts_ = false;
    out.former_ = apply(load);
    for (std::size_t index = 0; index < load.classes_.size(); ++index)
    {
        const stream_class& of = load.classes_[index];
        const std::string label = name + ", account " + of.account_;
        print(label + " before", out.former_[index]);
        print(label + " now", out.now_[index]);
    }
    return out;
}

/// \return what urgent streams, worth four times the others, and these got. A
/// late first event counts as a quarter.
double worth(const std::vector<class_result>& results)
{
    const auto value = [](const class_result& item)
    {
        return static_cast<double>(item.on_time_) +
               static_cast<double>(item.late_) / 4;
    };
    return 4 * value(results[0]) + value(results[1]);
}

// Guards against urgent streams with a short objective that are served less
// well than less urgent ones with a long objective on the same engines. A slow
// way to the scheduler uses up much of an urgent stream's objective; once late,
// it went after all others that were on time.
TEST(account_sharing, urgent_streams_are_served_no_worse_than_others)
{
    for (const int total : {45, 60})
    {
        stream_load load;
        load.length_ = duration{60'000};
        load.classes_ = {
            urgent("urgent", total * 0.4), less_urgent("other", total * 0.6)};
        for (stream_class& of : load.classes_)
        {
            of.burst_ = 2;
            of.longest_way_ = duration{700};
        }
        const comparison result =
            compare(load, std::to_string(total) + " per s");
        const double former_gap =
            result.former_[1].served() - result.former_[0].served();
        const double gap = result.now_[1].served() - result.now_[0].served();
        EXPECT_GT(result.now_[0].served(), result.former_[0].served() + 0.05);
        EXPECT_LT(gap, std::max(former_gap, 0.0));
        EXPECT_GT(worth(result.now_), worth(result.former_));
    }
}

// Guards against an account that sends five times its share and displaces
// another that keeps to its own.
TEST(account_sharing, an_account_in_its_share_is_not_displaced)
{
    stream_load load;
    load.length_ = duration{15'000};
    load.classes_ = {less_urgent("within", 15), less_urgent("beyond", 75)};
    const comparison result = compare(load, "flood");
    EXPECT_GT(result.now_[0].served(), 0.95);
    EXPECT_GT(result.now_[0].served(), result.former_[0].served() + 0.2);
}

// Guards against shares that follow demand instead of the accounts' rates.
TEST(account_sharing, accounts_get_capacity_in_proportion_to_their_rates)
{
    stream_load load;
    load.length_ = duration{15'000};
    load.classes_ = {less_urgent("three", 80), less_urgent("one", 80)};
    load.classes_[0].rate_ = 3;
    const comparison result = compare(load, "rates 3 to 1");
    const auto placed = [](const class_result& item)
    {
        return static_cast<double>(item.waits_ms_.size());
    };
    const double ratio = placed(result.now_[0]) / placed(result.now_[1]);
    std::cout << "placed " << ratio << " to 1\n";
    EXPECT_NEAR(ratio, 3, 0.6);
}

// Guards against capacity that is kept for an account which does not use it,
// and against credit that it gathers meanwhile.
TEST(account_sharing, unused_share_goes_to_others_at_once)
{
    stream_load load;
    load.length_ = duration{15'000};
    load.classes_ = {less_urgent("comes-late", 25), less_urgent("always", 40)};
    load.classes_[0].rate_ = 100;
    load.classes_[0].begins_at_ = time_point{17'000};
    const comparison result = compare(load, "idle account");
    const auto on_time = [](const std::vector<class_result>& results)
    {
        return results[0].on_time_ + results[1].on_time_;
    };
    EXPECT_GT(on_time(result.now_), on_time(result.former_) * 98 / 100);
    EXPECT_GT(result.now_[0].served(), 0.95);
    EXPECT_GT(result.now_[1].served(), 0.7);
}

// Guards against a priority that gets nothing while a more urgent one takes all
// capacity.
TEST(account_sharing, a_lower_priority_is_not_starved)
{
    stream_load load;
    load.length_ = duration{15'000};
    load.classes_ = {urgent("urgent", 110), less_urgent("other", 10)};
    const comparison result = compare(load, "urgent overload");
    EXPECT_GT(result.now_[1].waits_ms_.size(), 20U);
}

// Guards against callers that gain by returning sooner than they were told.
TEST(account_sharing, who_returns_early_gains_nothing)
{
    stream_load load;
    load.length_ = duration{15'000};
    load.classes_ = {less_urgent("in-time", 45), less_urgent("early", 45)};
    for (stream_class& of : load.classes_)
    {
        of.returning_ = 0.9;
    }
    load.classes_[1].return_fraction_ = 0.2;
    const comparison result = compare(load, "returns");
    EXPECT_GT(result.now_[0].served(), result.now_[1].served() - 0.02);
}

/// An engine that holds one stream, and another that prefills.
std::vector<engine_info> one_of_each()
{
    std::vector<engine_info> out;
    for (const char* name : {"d", "p"})
    {
        engine_info info;
        info.name_ = name;
        info.zone_ = "z";
        info.reads_prompts_ = info.name_ == "p";
        info.slots_ = 1;
        info.memory_tokens_ = 100'000;
        out.push_back(info);
    }
    return out;
}

stream_request request_of(
    const std::string& id, const std::string& account, time_point now)
{
    stream_request out;
    out.id_ = id;
    out.digest_ = id;
    out.host_ = "h";
    out.account_ = account;
    out.share_cost_ = 1;
    out.zone_ = "z";
    out.prompt_tokens_ = 2'000;
    out.most_output_ = 2'000;
    out.first_event_deadline_ = now + duration{1'500};
    out.queue_deadline_ = now + duration{4'000};
    return out;
}

// Guards against refused callers that are all told to return at the same time,
// or while there is no capacity yet.
TEST(account_sharing, refused_callers_are_told_to_return_one_after_another)
{
    stream_scheduler scheduler;
    scheduler.set_engines(one_of_each());
    const time_point now{10'000};
    for (int index = 0; index < 12; ++index)
    {
        scheduler.ask(
            request_of(
                "s" + std::to_string(index), index % 2 == 0 ? "a" : "b", now),
            now);
    }
    std::vector<std::int64_t> returns;
    int placed = 0;
    for (const stream_decision& item : scheduler.decide(now))
    {
        if (const auto* refused = std::get_if<stream_refusal>(&item))
        {
            returns.push_back(refused->retry_after_.ms_);
        }
        else
        {
            ++placed;
        }
    }
    EXPECT_EQ(placed, 1);
    ASSERT_GE(returns.size(), 3U);
    for (std::size_t index = 1; index < returns.size(); ++index)
    {
        EXPECT_NE(returns[index], returns[index - 1]);
    }
    EXPECT_GE(returns.front(), 500);
}

// Guards against refusals while there is capacity.
TEST(account_sharing, nothing_is_refused_while_there_is_capacity)
{
    stream_load load;
    load.length_ = duration{20'000};
    load.classes_ = {urgent("a", 12), less_urgent("b", 12)};
    for (const class_result& item : apply(load))
    {
        EXPECT_EQ(item.refusals_, 0);
    }
}

// Guards against memory that grows with each account that ever waited.
TEST(account_sharing, accounts_that_no_longer_compete_are_forgotten)
{
    account_shares shares;
    for (int index = 0; index < 100; ++index)
    {
        const std::string account = "a" + std::to_string(index);
        shares.began_waiting(account, 0);
        shares.served({account, 0, false, time_point{1'000}, 1}, {});
    }
    shares.began_waiting("last", 0);
    shares.served({"last", 0, false, time_point{2'000}, 1}, {});
    shares.began_waiting("last", 0);
    shares.served({"last", 0, false, time_point{2'000}, 1}, {});
    const share_entry waits{"a7", 0, false, time_point{3'000}, 1};
    shares.expire(std::span(&waits, 1));
    EXPECT_EQ(shares.size(), 2U);
}

// Guards against a caller that loses its place by returning when it was told.
TEST(account_sharing, who_returns_in_time_keeps_its_place)
{
    stream_scheduler scheduler;
    scheduler.set_engines(one_of_each());
    time_point now{10'000};
    scheduler.ask(request_of("holder", "b", now), now);
    stream_request first = request_of("first", "a", now);
    first.queue_deadline_ = now + duration{10};
    first.first_event_deadline_ = now + duration{9'000};
    scheduler.ask(first, now);
    duration wait;
    for (const stream_decision& item : scheduler.decide(now))
    {
        const auto* refused = std::get_if<stream_refusal>(&item);
        wait = refused == nullptr ? wait : refused->retry_after_;
    }
    ASSERT_GT(wait.ms_, 0);
    stream_request fresh = request_of("fresh", "a", now + duration{5});
    fresh.first_event_deadline_ = now + duration{9'000};
    fresh.queue_deadline_ = now + duration{9'000};
    scheduler.ask(fresh, now + duration{5});
    now = now + wait;
    stream_request again = first;
    again.id_ = "again";
    again.queue_deadline_ = now + duration{4'000};
    scheduler.ask(again, now);
    scheduler.prefill_finished("holder");
    stream_result end;
    end.id_ = "holder";
    scheduler.finished(end, now);
    const auto decisions = scheduler.decide(now);
    ASSERT_FALSE(decisions.empty());
    const auto* placed = std::get_if<stream_placement>(&decisions.front());
    ASSERT_NE(placed, nullptr);
    EXPECT_EQ(placed->id_, "again");
}

} // namespace
} // namespace poplarroute::policy
