#include <algorithm>
#include <iostream>
#include <random>

#include <gtest/gtest.h>

#include "policy/plain_balancer.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr int hosts = 20;
constexpr int machines = 14;
constexpr std::int64_t slots = 4;
constexpr double work_ms = 45;
constexpr duration objective{120};
constexpr duration deadline{1'000};
constexpr duration first_wait{500}; ///< Of a call that may be sent again.
constexpr time_point load_begins_at{10'000};
constexpr time_point load_ends_at{50'000};

struct call
{
    int host_ = 0;
    time_point started_at_;
    double work_left_ = 0;
    bool given_up_ = false; ///< The host no longer waits for it.
};

/// An endpoint that runs calls in order of arrival, in a limited number of
/// slots. It has a speed of its own and is at times 2.5 times slower for 600
/// ms.
struct machine
{
    double speed_ = 1;
    std::int64_t slow_offset_ms_ = 0;
    std::vector<call> calls_;

    double pace(time_point now) const
    {
        return (now.ms_ + slow_offset_ms_) % 7'000 < 600 ? 2.5 : 1;
    }
};

struct load_result
{
    std::int64_t calls_ = 0;
    std::int64_t late_ = 0;
    std::int64_t timed_out_ = 0;
    std::vector<std::int64_t> times_ms_;
    std::vector<std::int64_t> by_machine_ = std::vector<std::int64_t>(machines);

    std::int64_t quantile(double fraction)
    {
        std::sort(times_ms_.begin(), times_ms_.end());
        return times_ms_[static_cast<std::size_t>(
            fraction * static_cast<double>(times_ms_.size() - 1))];
    }

    void print(const char* name)
    {
        std::cout << name << ": p50 " << quantile(0.5) << " ms, p99 "
                  << quantile(0.99) << " ms, late " << late_
                  << " and timed out " << timed_out_ << " of " << calls_
                  << '\n';
    }
};

std::string name_of(int index)
{
    return "e" + std::to_string(index);
}

int index_of(const core::endpoint_id& name)
{
    return std::stoi(name.substr(1));
}

/// Applies the load for 40 s.
/// \param reports_pace whether endpoints report their pace; without it, the
/// balancers decide as they did before they knew of one.
load_result apply_load(
    bool reports_pace, double speed_low, double speed_high, double calls_per_ms)
{
    std::mt19937 random(20261204);
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<machine> all(machines);
    std::vector<plain_endpoint> listed;
    for (int index = 0; index < machines; ++index)
    {
        machine& item = all[static_cast<std::size_t>(index)];
        item.speed_ = speed_low + (speed_high - speed_low) * index /
                                      static_cast<double>(machines - 1);
        item.slow_offset_ms_ = static_cast<std::int64_t>(random() % 7'000);
        listed.push_back({name_of(index), "z", slots, true, 0});
    }
    std::vector<plain_balancer> balancers;
    for (int host = 0; host < hosts; ++host)
    {
        balancers.emplace_back(static_cast<std::uint64_t>(host) + 1);
        balancers.back().set_endpoints(listed);
    }
    load_result out;
    double arrivals = 0;
    for (time_point now = load_begins_at; now < load_ends_at;
         now = now + duration{1})
    {
        for (int index = 0; index < machines; ++index)
        {
            machine& item = all[static_cast<std::size_t>(index)];
            const double progress = item.speed_ / item.pace(now);
            const std::size_t running = std::min<std::size_t>(
                item.calls_.size(), static_cast<std::size_t>(slots));
            for (std::size_t slot = 0; slot < running; ++slot)
            {
                item.calls_[slot].work_left_ -= progress;
            }
            for (call& one : item.calls_)
            {
                plain_balancer& balancer =
                    balancers[static_cast<std::size_t>(one.host_)];
                const duration took = now - one.started_at_;
                if (one.work_left_ <= 0 && !one.given_up_)
                {
                    const auto size =
                        static_cast<std::int64_t>(item.calls_.size()) - 1;
                    balancer.record_load(
                        name_of(index),
                        std::min(size, slots),
                        std::max<std::int64_t>(size - slots, 0),
                        reports_pace ? std::optional<std::int64_t>(
                                           static_cast<std::int64_t>(
                                               item.pace(now) * 100))
                                     : std::nullopt,
                        now);
                    balancer.end(
                        name_of(index),
                        call_outcome::answered,
                        one.started_at_,
                        now);
                    out.times_ms_.push_back(took.ms_);
                    out.late_ += took > objective ? 1 : 0;
                }
                else if (took >= first_wait && !one.given_up_)
                {
                    one.given_up_ = true;
                    balancer.end(
                        name_of(index),
                        call_outcome::timed_out,
                        one.started_at_,
                        now);
                    out.times_ms_.push_back(took.ms_);
                    ++out.late_;
                    ++out.timed_out_;
                }
            }
            std::erase_if(
                item.calls_,
                [](const call& one)
                {
                    return one.work_left_ <= 0 || one.given_up_;
                });
        }
        for (arrivals += calls_per_ms * 2 * fraction(random); arrivals >= 1;
             arrivals -= 1)
        {
            const int host = static_cast<int>(random() % hosts);
            const auto chosen = balancers[static_cast<std::size_t>(host)].begin(
                "z", {}, now, {objective, deadline});
            if (!chosen)
            {
                continue;
            }
            ++out.calls_;
            const int index = index_of(*chosen);
            ++out.by_machine_[static_cast<std::size_t>(index)];
            all[static_cast<std::size_t>(index)].calls_.push_back(
                {host, now, work_ms * (0.8 + 0.4 * fraction(random))});
        }
    }
    return out;
}

// Guards against slow endpoints that get as much as fast ones: calls wait there
// past their objective while others idle.
TEST(uneven_endpoints, plain_calls_end_earlier_with_reported_paces)
{
    constexpr double calls_per_ms = 0.8;
    load_result former = apply_load(false, 0.7, 1.7, calls_per_ms);
    load_result now = apply_load(true, 0.7, 1.7, calls_per_ms);
    former.print("without pace");
    now.print("with pace");
    EXPECT_LT(now.late_, former.late_);
    EXPECT_LE(now.quantile(0.5), former.quantile(0.5));
    EXPECT_LT(now.quantile(0.99), former.quantile(0.99));
    // The slowest endpoint still does what it can in time.
    EXPECT_GT(now.by_machine_.front(), now.calls_ / machines / 10);
}

/// \return a balancer that knows endpoints which all take the given time.
plain_balancer balancer_of(
    int count, duration takes, std::int64_t pace, std::uint64_t seed = 1)
{
    plain_balancer out(seed);
    std::vector<plain_endpoint> listed;
    listed.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
    {
        listed.push_back({name_of(index), "z", slots, true, 0});
    }
    out.set_endpoints(listed);
    time_point now{1'000};
    for (int round = 0; round < 20 * count; ++round)
    {
        const core::endpoint_id chosen = *out.begin("z", {}, now);
        now = now + takes;
        out.record_load(chosen, 0, 0, pace, now);
        out.end(chosen, call_outcome::answered, now - takes, now);
    }
    return out;
}

// Guards against slow endpoints that are taken for failing ones: three calls
// that wait for 500 ms in vain ejected them for up to 6 s.
TEST(uneven_endpoints, a_slow_endpoint_is_not_ejected)
{
    for (const bool is_known_slow : {true, false})
    {
        plain_balancer balancer =
            balancer_of(2, duration{is_known_slow ? 200 : 20}, 100);
        time_point now{60'000};
        for (int call = 0; call < 3; ++call)
        {
            EXPECT_EQ(balancer.begin("z", {"e1"}, now), "e0");
            now = now + duration{500};
            balancer.end(
                "e0", call_outcome::timed_out, now - duration{500}, now);
        }
        int calls = 0;
        for (int call = 0; call < 40; ++call)
        {
            const core::endpoint_id chosen = *balancer.begin("z", {}, now);
            calls += chosen == "e0" ? 1 : 0;
            balancer.end(
                chosen, call_outcome::answered, now - duration{200}, now);
        }
        EXPECT_EQ(calls > 0, is_known_slow);
    }
}

// Guards against an endpoint that stops answering and, because it is expected
// to be slow, gets calls until their deadlines.
TEST(uneven_endpoints, an_unresponsive_endpoint_is_avoided)
{
    plain_balancer balancer = balancer_of(3, duration{200}, 250);
    const time_point began{60'000};
    EXPECT_EQ(balancer.begin("z", {"e1", "e2"}, began), "e0");
    const time_point now = began + duration{2'001};
    for (int call = 0; call < 50; ++call)
    {
        const core::endpoint_id chosen = *balancer.begin("z", {}, now);
        EXPECT_NE(chosen, "e0");
        balancer.end(chosen, call_outcome::answered, now - duration{200}, now);
    }
}

// Guards against many hosts that see the same report and all choose the
// endpoint that looks idle and fast.
TEST(uneven_endpoints, hosts_with_the_same_reports_choose_different_endpoints)
{
    constexpr int many_hosts = 75;
    constexpr int count = 12;
    std::vector<int> chosen(count);
    for (int host = 0; host < many_hosts; ++host)
    {
        plain_balancer balancer = balancer_of(
            count, duration{40}, 100, static_cast<std::uint64_t>(host) + 1);
        const time_point now{60'000};
        for (int index = 0; index < count; ++index)
        {
            balancer.record_load(
                name_of(index), index == 0 ? 0 : 3, 0, 100, now);
        }
        const auto name = balancer.begin("z", {}, now, {objective, deadline});
        ++chosen[static_cast<std::size_t>(index_of(*name))];
    }
    const int most = *std::max_element(chosen.begin(), chosen.end());
    std::cout << "idle endpoint: " << chosen.front() << " of " << many_hosts
              << " hosts\n";
    EXPECT_EQ(most, chosen.front());
    EXPECT_LT(most, many_hosts * 2 / 5);
}

// Guards against calls that an endpoint cannot answer in time while another
// one can: few random choices may all be in a period of slow work.
TEST(uneven_endpoints, a_call_goes_where_it_is_answered_in_time)
{
    plain_balancer balancer = balancer_of(8, duration{60}, 100);
    const time_point now{60'000};
    for (int index = 0; index < 7; ++index)
    {
        balancer.record_load(name_of(index), 0, 0, 250, now);
    }
    for (int call = 0; call < 4; ++call)
    {
        EXPECT_EQ(balancer.begin("z", {}, now, {objective, deadline}), "e7");
    }
}

// Guards against other decisions where no endpoint reports a pace. The number
// is the digest of the choices that the balancer made before it knew of paces.
TEST(uneven_endpoints, choices_without_paces_are_as_before)
{
    std::uint64_t digest = 14'695'981'039'346'656'037ULL;
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        std::mt19937 random(seed);
        plain_balancer balancer(seed);
        std::vector<plain_endpoint> listed;
        listed.reserve(8);
        for (int index = 0; index < 8; ++index)
        {
            listed.push_back(
                {name_of(index), index % 2 == 0 ? "z" : "y", slots, true, 0});
        }
        balancer.set_endpoints(listed);
        struct running_call
        {
            core::endpoint_id name_;
            time_point started_at_;
            time_point ends_at_;
            call_outcome outcome_;
        };
        std::vector<running_call> running;
        for (time_point now{1'000}; now.ms_ < 21'000; now = now + duration{5})
        {
            for (auto item = running.begin(); item != running.end();)
            {
                if (item->ends_at_ > now)
                {
                    ++item;
                    continue;
                }
                const auto load = static_cast<std::int64_t>(random() % 6);
                balancer.record_load(item->name_, load, 0, std::nullopt, now);
                balancer.end(
                    item->name_, item->outcome_, item->started_at_, now);
                item = running.erase(item);
            }
            const auto chosen = balancer.begin("z", {}, now, {objective, {}});
            if (!chosen)
            {
                continue;
            }
            for (const char letter : *chosen)
            {
                digest = (digest ^ static_cast<unsigned char>(letter)) *
                         1'099'511'628'211ULL;
            }
            const bool fails = random() % 20 == 0;
            const bool hangs = random() % 200 == 0;
            const auto ms =
                hangs ? 900 : static_cast<std::int64_t>(20 + random() % 60);
            running.push_back(
                {*chosen,
                 now,
                 now + duration{ms},
                 fails ? call_outcome::broken : call_outcome::answered});
        }
    }
    EXPECT_EQ(digest, 3'102'283'659'283'703'503ULL);
}

} // namespace
} // namespace poplarroute::policy
