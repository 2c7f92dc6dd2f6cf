#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "policy/rollout_evaluator.hpp"

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;

constexpr duration deadline{12'000};
constexpr duration step{200};
/// From a verdict until no host sends to the target any more.
constexpr duration announcement{400};
constexpr duration switch_length{2'500};
constexpr time_point ordered_at{1'000'000};
constexpr int endpoint_count = 10; ///< Of each role.
constexpr int zone_count = 3;

/// One request on its way, as a scenario sees it.
struct request
{
    bool to_target_;
    int endpoint_;
    int host_;
    int route_;
    duration at_; ///< Since the order.
    double load_; ///< Of its endpoint, relative to that after the switch.
};

/// What a scenario makes of a request.
struct effect
{
    double failures_ = 0.003; ///< Probability.
    double slowdown_ = 1;
    bool is_warm_ = true;
};

struct scenario
{
    std::function<void(const request&, effect&)> apply_;
    bool is_bad_ = false;
    double burst_ = 1; ///< Factor of the rate from 4 to 6 s after the order.
};

struct outcome
{
    rollout_verdict verdict_ = rollout_verdict::keep_trying;
    std::string reason_;
    duration decided_at_;  ///< Of the last verdict.
    duration switched_at_; ///< Zero if it wasn't switched to.
    std::int64_t total_ = 0;
    std::int64_t exposed_ = 0;
};

/// A service's traffic under one scenario, judged every 200 ms.
class trial
{
public:
    trial(const scenario& scenario, unsigned seed)
        : scenario_(scenario), random_(seed)
    {
        rate_ = std::uniform_real_distribution(20.0, 250.0)(random_);
        hosts_ = std::uniform_int_distribution(2, 20)(random_);
        routes_ = std::uniform_int_distribution(1, 3)(random_);
        sigma_ = std::uniform_real_distribution(0.1, 0.5)(random_);
    }

    outcome run()
    {
        while (now_ < deadline)
        {
            now_ = now_ + step;
            send();
            if (!is_over())
            {
                judge();
            }
        }
        return result_;
    }

private:
    struct answer
    {
        duration at_;
        rollout_observation cell_;
        bool operator<(const answer& other) const
        {
            return at_ > other.at_;
        }
    };

    bool chance(double probability)
    {
        return std::bernoulli_distribution(std::min(probability, 1.0))(random_);
    }

    bool is_over() const
    {
        return result_.verdict_ == rollout_verdict::roll_back || completed_;
    }

    /// \return whether the next request goes to the target.
    bool chooses_target(double share)
    {
        if (result_.verdict_ == rollout_verdict::roll_back &&
            now_ > result_.decided_at_ + announcement)
        {
            return false;
        }
        if (result_.switched_at_.ms_ > 0)
        {
            return chance(evaluator_.switch_share(result_.switched_at_, now_));
        }
        const double bound = 0.1 * static_cast<double>(result_.total_) + 50;
        return static_cast<double>(result_.exposed_) + 1 <= bound &&
               chance(share);
    }

    /// On trial, in every second one, the target's share goes to few endpoints
    /// that carry the load that they would after the switch.
    request next_request()
    {
        const double trial_share = evaluator_.trial_share(rate_);
        const bool is_pulse = now_.ms_ / 1'000 % 2 == 1;
        const double share = trial_share * (is_pulse ? 1.7 : 0.3);
        const double loaded = share * endpoint_count;
        const int few = is_pulse ? std::max(1, static_cast<int>(loaded)) : 3;
        request next{};
        next.at_ = now_;
        next.to_target_ = chooses_target(share);
        next.host_ = std::uniform_int_distribution(0, hosts_ - 1)(random_);
        next.route_ = std::uniform_int_distribution(0, routes_ - 1)(random_);
        const bool is_trial = next.to_target_ && result_.switched_at_.ms_ == 0;
        const int choices = is_trial ? few : endpoint_count;
        const auto turn = is_trial ? static_cast<int>(now_.ms_ / 1'000) : 0;
        next.endpoint_ =
            (turn + std::uniform_int_distribution(0, choices - 1)(random_)) %
            endpoint_count;
        next.load_ = is_trial ? loaded / few : 1;
        return next;
    }

    void send()
    {
        const bool is_burst = now_.ms_ > 4'000 && now_.ms_ <= 6'000;
        const double mean = rate_ * static_cast<double>(step.ms_) / 1'000 *
                            (is_burst ? scenario_.burst_ : 1);
        const int requests = std::poisson_distribution<int>(mean)(random_);
        for (int i = 0; i < requests; ++i)
        {
            const request next = next_request();
            ++result_.total_;
            result_.exposed_ += next.to_target_ ? 1 : 0;
            answer_to(next);
        }
    }

    void answer_to(const request& sent)
    {
        effect effect;
        scenario_.apply_(sent, effect);
        const double median_ms = 60.0 * (1 + sent.route_) * effect.slowdown_;
        const duration latency{static_cast<std::int64_t>(
            std::lognormal_distribution(std::log(median_ms), sigma_)(random_))};
        rollout_observation cell;
        cell.host_ = "h" + std::to_string(sent.host_);
        cell.endpoint_ =
            (sent.to_target_ ? "t" : "b") + std::to_string(sent.endpoint_);
        cell.zone_ = "z" + std::to_string(sent.endpoint_ % zone_count);
        cell.route_ = "r" + std::to_string(sent.route_);
        cell.is_target_ = sent.to_target_;
        cell.is_warm_ = effect.is_warm_;
        cell.bad_ = chance(effect.failures_) ? 1 : 0;
        cell.good_ = 1 - cell.bad_;
        if (cell.good_ > 0)
        {
            cell.latencies_.add(latency);
        }
        answers_.push({now_ + latency, cell});
    }

    void count(const rollout_observation& seen)
    {
        const std::string key = seen.host_ + seen.endpoint_ + seen.route_ +
                                (seen.is_warm_ ? "w" : "c");
        const auto [cell, is_first] = cells_.try_emplace(key, seen);
        if (is_first)
        {
            return;
        }
        cell->second.good_ += seen.good_;
        cell->second.bad_ += seen.bad_;
        cell->second.latencies_.merge(seen.latencies_);
    }

    void judge()
    {
        // Reports arrive one step late.
        while (!answers_.empty() && answers_.top().at_ <= now_ - step)
        {
            count(answers_.top().cell_);
            answers_.pop();
        }
        std::vector<rollout_observation> cells;
        for (const auto& [key, cell] : cells_)
        {
            cells.push_back(cell);
        }
        const bool is_switching = result_.switched_at_.ms_ > 0;
        if (is_switching && now_ >= result_.switched_at_ + switch_length)
        {
            completed_ = true;
            return;
        }
        const auto decision =
            evaluator_.evaluate(cells, now_, is_switching, ordered_at + now_);
        if (decision.verdict_ == rollout_verdict::keep_trying)
        {
            return;
        }
        result_.verdict_ = decision.verdict_;
        result_.reason_ = decision.reason_;
        result_.decided_at_ = now_;
        if (decision.verdict_ == rollout_verdict::switch_over)
        {
            result_.switched_at_ = now_;
        }
    }

    const scenario& scenario_;
    std::mt19937 random_;
    double rate_ = 0;
    int hosts_ = 0;
    int routes_ = 0;
    double sigma_ = 0;
    rollout_evaluator evaluator_{{0.1, 50, {5'000}, deadline}};
    duration now_;
    bool completed_ = false;
    std::priority_queue<answer> answers_;
    std::map<std::string, rollout_observation> cells_;
    outcome result_;
};

/// Results of one scenario over many seeds.
struct summary
{
    int runs_ = 0;
    int false_verdicts_ = 0;
    int over_bound_ = 0;
    double max_share_ = 0; ///< Largest exposure, relative to the bound.
    double sum_share_ = 0;
    std::vector<std::int64_t> decided_ms_;
    std::string false_reason_;

    void add(const outcome& result, bool is_bad)
    {
        ++runs_;
        const bool went_back = result.verdict_ == rollout_verdict::roll_back;
        if (went_back != is_bad)
        {
            ++false_verdicts_;
            false_reason_ = result.reason_;
        }
        const double share = static_cast<double>(result.exposed_) /
                             (0.1 * static_cast<double>(result.total_) + 50);
        max_share_ = std::max(max_share_, share);
        sum_share_ += share;
        over_bound_ += share > 1 ? 1 : 0;
        decided_ms_.push_back(result.decided_at_.ms_);
    }
};

summary run(const scenario& scenario)
{
    summary results;
    rc::check(
        [&]
        {
            const auto seed = *rc::gen::noShrink(rc::gen::resize(
                rc::kNominalSize, rc::gen::arbitrary<unsigned>()));
            results.add(trial(scenario, seed).run(), scenario.is_bad_);
        });
    std::sort(results.decided_ms_.begin(), results.decided_ms_.end());
    std::printf(
        "runs %d, false verdicts %d, over the bound %d, exposure of the bound "
        "mean %.2f largest %.2f, verdict after ms median %ld last %ld %s\n",
        results.runs_,
        results.false_verdicts_,
        results.over_bound_,
        results.sum_share_ / results.runs_,
        results.max_share_,
        results.decided_ms_[results.decided_ms_.size() / 2],
        results.decided_ms_.back(),
        results.false_reason_.c_str());
    return results;
}

void expect_rolled_back(const std::function<void(const request&, effect&)>& bad)
{
    const summary results = run(
        {[&](const request& sent, effect& effect)
         {
             if (sent.to_target_)
             {
                 bad(sent, effect);
             }
         },
         true});
    EXPECT_EQ(results.false_verdicts_, 0);
    EXPECT_EQ(results.over_bound_, 0);
}

void expect_completed(
    const std::function<void(const request&, effect&)>& trouble,
    double burst = 1)
{
    EXPECT_LE(run({trouble, false, burst}).false_verdicts_, 1);
}

} // namespace

// Each of these versions, missed, would reach all callers.

TEST(rollout_evaluator, rolls_back_a_version_that_always_fails)
{
    expect_rolled_back(
        [](const request&, effect& effect)
        {
            effect.failures_ = 1;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_fails_a_third)
{
    expect_rolled_back(
        [](const request&, effect& effect)
        {
            effect.failures_ = 0.33;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_is_four_times_slower)
{
    expect_rolled_back(
        [](const request&, effect& effect)
        {
            effect.slowdown_ = 4;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_is_three_times_slower)
{
    expect_rolled_back(
        [](const request&, effect& effect)
        {
            effect.slowdown_ = 3;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_turns_bad_during_the_trial)
{
    expect_rolled_back(
        [](const request& sent, effect& effect)
        {
            effect.failures_ = sent.at_.ms_ > 5'000 ? 0.5 : 0;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_turns_slow_during_the_trial)
{
    expect_rolled_back(
        [](const request& sent, effect& effect)
        {
            effect.slowdown_ = sent.at_.ms_ > 5'000 ? 5 : 1;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_turns_bad_during_the_switch)
{
    expect_rolled_back(
        [](const request& sent, effect& effect)
        {
            effect.failures_ = sent.at_.ms_ > 8'500 ? 0.5 : 0;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_fails_under_load_only)
{
    expect_rolled_back(
        [](const request& sent, effect& effect)
        {
            effect.failures_ = sent.load_ > 0.9 ? 0.5 : 0;
        });
}

TEST(rollout_evaluator, rolls_back_a_version_that_fails_on_one_route)
{
    expect_rolled_back(
        [](const request& sent, effect& effect)
        {
            effect.failures_ = sent.route_ == 0 ? 0.6 : 0;
        });
}

// Each of these, mistaken for a fault of the version, would roll back a good
// one.

TEST(rollout_evaluator, completes_a_good_version)
{
    expect_completed([](const request&, effect&) {});
}

TEST(rollout_evaluator, completes_despite_a_failing_endpoint)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            // The endpoint is ejected for the rest of each second.
            const bool is_used = sent.at_.ms_ % 1'000 < 300;
            if (sent.to_target_ && sent.endpoint_ == 3 && is_used)
            {
                effect.failures_ = 1;
            }
        });
}

TEST(rollout_evaluator, completes_despite_a_slow_endpoint)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            if (sent.to_target_ && sent.endpoint_ == 3)
            {
                effect.slowdown_ = 5;
            }
        });
}

TEST(rollout_evaluator, completes_after_a_cold_start)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            if (sent.to_target_ && sent.at_.ms_ < 3'000)
            {
                effect.is_warm_ = false;
                effect.slowdown_ = 5;
            }
        });
}

TEST(rollout_evaluator, completes_despite_a_burst)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            const bool is_burst = sent.at_.ms_ > 4'000 && sent.at_.ms_ < 6'500;
            effect.slowdown_ = is_burst ? 3 : 1;
            effect.failures_ = is_burst ? 0.1 : 0.003;
        },
        3);
}

TEST(rollout_evaluator, completes_despite_a_burst_during_the_switch)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            effect.slowdown_ = sent.at_.ms_ > 8'500 ? 2 : 1;
        });
}

TEST(rollout_evaluator, completes_while_a_zone_is_out)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            const bool is_out = sent.at_.ms_ > 3'000 && sent.at_.ms_ < 5'000;
            if (is_out && sent.endpoint_ % zone_count == 0)
            {
                effect.failures_ = 1;
            }
        });
}

TEST(rollout_evaluator, completes_despite_a_slow_host)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            if (sent.host_ == 0)
            {
                effect.slowdown_ = 5;
                effect.failures_ = 0.2;
            }
        });
}

TEST(rollout_evaluator, completes_a_version_as_bad_as_the_old_one)
{
    expect_completed(
        [](const request& sent, effect& effect)
        {
            effect.failures_ = 0.33;
            effect.slowdown_ = sent.route_ == 0 ? 3 : 1;
        });
}

// A service without requests shows nothing about the target.
TEST(rollout_evaluator, rolls_back_without_evidence)
{
    rollout_evaluator evaluator({0.1, 50, {5'000}, deadline});
    const auto at = evaluator.last_switch_at();
    EXPECT_EQ(
        evaluator.evaluate({}, at - duration{1}, false, ordered_at).verdict_,
        rollout_verdict::keep_trying);
    EXPECT_EQ(
        evaluator.evaluate({}, at, false, ordered_at).verdict_,
        rollout_verdict::roll_back);
}

// A route whose answers weren't seen may be the one that is broken.
TEST(rollout_evaluator, does_not_switch_before_each_route_has_answers)
{
    rollout_evaluator evaluator({0.1, 50, {5'000}, deadline});
    std::vector<rollout_observation> cells;
    for (const std::string route : {"r0", "r1"})
    {
        rollout_observation cell{"h", "b", "z", route};
        cell.good_ = 400;
        cells.push_back(cell);
    }
    rollout_observation target{"h", "t", "z", "r0", true, true};
    target.good_ = 100;
    for (int i = 0; i < 100; ++i)
    {
        target.latencies_.add({20});
    }
    cells.push_back(target);
    const auto at = evaluator.switch_at();
    auto decision = evaluator.evaluate(cells, at, false, ordered_at);
    EXPECT_EQ(decision.verdict_, rollout_verdict::keep_trying);
    EXPECT_NE(decision.reason_.find("r1"), std::string::npos);
    target.route_ = "r1";
    cells.push_back(target);
    decision = evaluator.evaluate(cells, at, false, ordered_at);
    EXPECT_EQ(decision.verdict_, rollout_verdict::switch_over);
}

// One endpoint's failures don't decide until they are fifty more than the
// baseline explains.
TEST(rollout_evaluator, fifty_bad_answers_always_roll_back)
{
    rollout_evaluator evaluator({0.1, 50, {5'000}, deadline});
    std::vector<rollout_observation> cells{
        {"h", "t0", "z0", "r", true, true},
        {"h", "t1", "z1", "r", true, true},
        {"h", "b", "z0", "r"}};
    cells[0].bad_ = 49;
    cells[1].good_ = 100;
    cells[2].good_ = 100'000;
    EXPECT_EQ(
        evaluator.evaluate(cells, {3'000}, false, ordered_at).verdict_,
        rollout_verdict::keep_trying);
    cells[0].bad_ = 50;
    EXPECT_EQ(
        evaluator.evaluate(cells, {3'200}, false, ordered_at + step).verdict_,
        rollout_verdict::roll_back);
}

// The operator's deadlines reach from seconds to a day.
TEST(rollout_evaluator, leaves_time_for_the_switch_at_any_deadline)
{
    for (const std::int64_t ms : {4'800, 6'000, 12'000, 60'000, 86'400'000})
    {
        const rollout_evaluator evaluator({0.1, 50, {5'000}, {ms}});
        EXPECT_GE(duration{ms}, rollout_evaluator::min_deadline());
        EXPECT_GE(evaluator.switch_at(), duration{2'000});
        EXPECT_LE(evaluator.switch_at(), evaluator.last_switch_at());
        EXPECT_LE(evaluator.last_switch_at() + duration{2'500}, duration{ms});
    }
}

} // namespace poplarroute::policy
