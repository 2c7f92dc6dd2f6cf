#include "policy/hedging.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <queue>
#include <random>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "policy/plain_balancer.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr int endpoint_count = 7;
constexpr std::int64_t slots = 6;
constexpr double mean_service_ms = 15;

struct load
{
    double calls_per_ms_ = 1;
    /// \return how many times slower an endpoint is at a moment.
    double (*slowness_)(int endpoint, time_point now) = nullptr;
};

struct outcome
{
    std::array<std::int64_t, 3> quantiles_ms_{}; ///< 0.5, 0.99 and 0.999.
    std::int64_t calls_ = 0;
    std::int64_t extra_runs_ = 0;
};

/// Sends calls through one host's balancer to endpoints that queue calls for a
/// slot. Slots that a losing run holds are not freed early, which is the worst
/// case for the load.
class played_load
{
public:
    played_load(load played, double share) : played_(played)
    {
        std::vector<plain_endpoint> listed;
        for (int index = 0; index < endpoint_count; ++index)
        {
            listed.push_back({std::to_string(index), "zone", slots, true, 0});
            slot_free_at_.emplace_back(
                static_cast<std::size_t>(slots), time_point{0});
        }
        balancer_.set_endpoints(listed);
        hedging_.set_share(share);
    }

    outcome run(duration length)
    {
        std::exponential_distribution<double> gap(played_.calls_per_ms_);
        double next_call_ms = 0;
        while (now_.ms_ < length.ms_)
        {
            now_ = now_ + duration{1};
            finish_runs();
            while (next_call_ms < static_cast<double>(now_.ms_))
            {
                next_call_ms += gap(random_);
                start_call();
            }
            hedge_slow_calls();
        }
        return summarize();
    }

private:
    struct call
    {
        time_point started_at_;
        std::set<core::endpoint_id> endpoints_;
        bool answered_ = false;
    };

    struct run_end
    {
        time_point at_;
        std::size_t call_;
        core::endpoint_id endpoint_;
        time_point started_at_;

        bool operator>(const run_end& other) const
        {
            return at_ > other.at_;
        }
    };

    /// \return whether there was an endpoint to send the call to.
    bool send(std::size_t index, bool is_second)
    {
        call& item = calls_[index];
        const auto chosen =
            is_second ? balancer_.begin_with_room("zone", item.endpoints_, now_)
                      : balancer_.begin("zone", item.endpoints_, now_);
        if (!chosen)
        {
            return false;
        }
        item.endpoints_.insert(*chosen);
        const int endpoint = std::stoi(*chosen);
        auto& free_at = slot_free_at_[static_cast<std::size_t>(endpoint)];
        const auto slot = std::min_element(free_at.begin(), free_at.end());
        const time_point begins = std::max(*slot, now_);
        std::exponential_distribution<double> work(1 / (mean_service_ms - 10));
        const double took =
            (10 + work(random_)) * played_.slowness_(endpoint, begins);
        *slot = begins + duration{static_cast<std::int64_t>(took)};
        ends_.push({*slot, index, *chosen, now_});
        return true;
    }

    void start_call()
    {
        calls_.push_back({now_, {}, false});
        hedging_.record_call();
        send(calls_.size() - 1, false);
    }

    void finish_runs()
    {
        while (!ends_.empty() && ends_.top().at_ <= now_)
        {
            const run_end ended = ends_.top();
            ends_.pop();
            call& item = calls_[ended.call_];
            balancer_.end(
                ended.endpoint_,
                item.answered_ ? call_outcome::shed : call_outcome::answered,
                ended.started_at_,
                now_);
            if (!item.answered_)
            {
                item.answered_ = true;
                const duration latency = now_ - item.started_at_;
                hedging_.record_latency(latency);
                latencies_ms_.push_back(latency.ms_);
            }
        }
    }

    void hedge_slow_calls()
    {
        const auto delay = hedging_.delay();
        while (delay && next_to_hedge_ < calls_.size() &&
               now_ - calls_[next_to_hedge_].started_at_ > *delay)
        {
            const std::size_t index = next_to_hedge_++;
            if (calls_[index].answered_ || hedging_.take())
            {
                continue;
            }
            if (send(index, true))
            {
                ++extra_runs_;
            }
            else
            {
                hedging_.give_back();
            }
        }
    }

    outcome summarize()
    {
        std::sort(latencies_ms_.begin(), latencies_ms_.end());
        const auto quantile = [&](double fraction)
        {
            return latencies_ms_[static_cast<std::size_t>(
                fraction * static_cast<double>(latencies_ms_.size() - 1))];
        };
        return {
            {quantile(0.5), quantile(0.99), quantile(0.999)},
            static_cast<std::int64_t>(calls_.size()),
            extra_runs_};
    }

    load played_;
    plain_balancer balancer_{1};
    hedging hedging_;
    std::mt19937_64 random_{7};
    time_point now_{0};
    std::vector<call> calls_;
    std::vector<std::vector<time_point>> slot_free_at_;
    std::priority_queue<run_end, std::vector<run_end>, std::greater<>> ends_;
    std::vector<std::int64_t> latencies_ms_;
    std::size_t next_to_hedge_ = 0;
    std::int64_t extra_runs_ = 0;
};

/// Plays a load without and with extra runs, and prints what callers get.
std::pair<outcome, outcome> compare(const char* name, load played, double share)
{
    constexpr duration length{60'000};
    const outcome off = played_load(played, 0).run(length);
    const outcome on = played_load(played, share).run(length);
    const auto print = [name](const char* what, const outcome& item)
    {
        std::cout << name << ", " << what << ": p50 " << item.quantiles_ms_[0]
                  << ", p99 " << item.quantiles_ms_[1] << ", p99.9 "
                  << item.quantiles_ms_[2] << " ms, " << item.extra_runs_
                  << " extra runs of " << item.calls_ << " calls\n";
    };
    print("off", off);
    print("on", on);
    return {off, on};
}

/// Each endpoint in turn is ten times slower for 600 ms.
double slow_in_turn(int endpoint, time_point now)
{
    constexpr std::int64_t turn_ms = 600;
    return now.ms_ / turn_ms % endpoint_count == endpoint ? 10 : 1;
}

double equally_fast(int, time_point)
{
    return 1;
}

/// Three of the seven endpoints, such as a zone's, are slow for half of each
/// four seconds.
double zone_slow(int endpoint, time_point now)
{
    return endpoint < 3 && now.ms_ % 4'000 < 2'000 ? 4 : 1;
}

// Guards against a tail that a few slow endpoints determine: calls that wait on
// one get a second run elsewhere.
TEST(hedging, cuts_the_tail_when_one_endpoint_in_seven_is_slow_in_turn)
{
    constexpr double share = 0.05;
    const auto [off, on] =
        compare("one slow in turn", {0.6, slow_in_turn}, share);
    EXPECT_LE(on.quantiles_ms_[2] * 3, off.quantiles_ms_[2] * 2);
    EXPECT_LE(on.quantiles_ms_[0], off.quantiles_ms_[0] + 1);
    EXPECT_LE(
        static_cast<double>(on.extra_runs_),
        share * static_cast<double>(on.calls_));
}

// Guards against extra runs that feed an overload: with more calls than the
// endpoints carry, callers must not wait longer than without extra runs.
TEST(hedging, does_not_add_to_an_overload)
{
    constexpr double share = 0.05;
    const auto [off, on] = compare("overload", {2.9, equally_fast}, share);
    EXPECT_LE(
        static_cast<double>(on.extra_runs_),
        share * static_cast<double>(on.calls_) / 2);
    EXPECT_LE(on.quantiles_ms_[0] * 10, off.quantiles_ms_[0] * 11);
}

// Guards against a longer tail when a whole zone is slow, and the other
// endpoints carry what it would.
TEST(hedging, does_no_harm_when_a_zone_is_slow)
{
    constexpr double share = 0.05;
    const auto [off, on] = compare("zone slow", {0.8, zone_slow}, share);
    EXPECT_LE(on.quantiles_ms_[1] * 10, off.quantiles_ms_[1] * 11);
    EXPECT_LE(on.quantiles_ms_[2] * 10, off.quantiles_ms_[2] * 11);
}

// Guards against extra runs where none are allowed, before slow calls can be
// told, and beyond the share after a restart.
TEST(hedging, sends_nothing_beyond_what_was_earned)
{
    hedging item;
    EXPECT_EQ(item.take(), hedge_refusal::off);
    item.set_share(0.1);
    EXPECT_EQ(item.take(), hedge_refusal::unknown_latency);
    for (int count = 0; count < 30; ++count)
    {
        item.record_latency(duration{20});
    }
    EXPECT_EQ(item.delay(), duration{20});
    EXPECT_EQ(item.take(), hedge_refusal::over_share);
    int sent = 0;
    for (int count = 0; count < 1'000; ++count)
    {
        item.record_call();
        sent += item.take() ? 0 : 1;
    }
    EXPECT_GE(sent, 98);
    EXPECT_LE(sent, 100);
    item.set_share(0);
    EXPECT_EQ(item.take(), hedge_refusal::off);
    EXPECT_EQ(item.delay(), std::nullopt);
}

} // namespace
} // namespace poplarroute::policy
