#include "policy/prompt_part_quarantine.hpp"

#include <algorithm>
#include <array>
#include <random>

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

using core::duration;
using core::time_point;
using parts = std::vector<std::string>;

constexpr const char* service = "llm";

bool contains(const std::vector<std::string>& keys, const std::string& part)
{
    const std::string key = prompt_part_quarantine::key_of(service, part);
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

class prompt_part_quarantine_test : public ::testing::Test
{
protected:
    void crash(const parts& implicated)
    {
        now_ = now_ + duration{1'000};
        quarantine_.crashed(service, implicated, now_);
    }

    void answer(const parts& answered)
    {
        quarantine_.answered(service, answered, now_);
    }

    bool is_quarantined(const std::string& part) const
    {
        return contains(quarantine_.quarantined(), part);
    }

    prompt_part_quarantine quarantine_;
    time_point now_{1'000};
};

TEST_F(prompt_part_quarantine_test, quarantines_only_the_part_of_each_crash)
{
    for (int round = 0; round < 3; ++round)
    {
        crash({"shared", "deadly"});
        crash({"shared", "session" + std::to_string(round)});
        answer({"shared"});
        answer({"shared", "other"});
    }
    EXPECT_TRUE(is_quarantined("deadly"));
    EXPECT_EQ(quarantine_.quarantined().size(), 1U);
}

TEST_F(prompt_part_quarantine_test, never_quarantines_a_part_of_all_requests)
{
    for (int round = 0; round < 20; ++round)
    {
        crash({"shared"});
    }
    EXPECT_FALSE(is_quarantined("shared"));
    EXPECT_TRUE(contains(quarantine_.suspects(), "shared"));
}

TEST_F(prompt_part_quarantine_test, counts_simultaneous_crashes_once)
{
    for (int engine = 0; engine < 30; ++engine)
    {
        quarantine_.crashed(service, parts{"session"}, now_);
    }
    for (int request = 0; request < 30; ++request)
    {
        answer({"other"});
    }
    EXPECT_FALSE(is_quarantined("session"));
}

TEST_F(prompt_part_quarantine_test, an_answer_clears_a_part)
{
    crash({"session"});
    crash({"session"});
    answer({"session"});
    crash({"session"});
    answer({"a"});
    answer({"b"});
    answer({"c"});
    EXPECT_FALSE(is_quarantined("session"));
}

TEST_F(prompt_part_quarantine_test, a_quarantine_ends_and_can_return)
{
    EXPECT_TRUE(quarantine_.adopt(
        prompt_part_quarantine::key_of(service, "deadly"), now_));
    EXPECT_TRUE(is_quarantined("deadly"));
    now_ = now_ + duration{120'000};
    EXPECT_TRUE(quarantine_.expire(now_));
    EXPECT_FALSE(is_quarantined("deadly"));
    EXPECT_FALSE(quarantine_.expire(now_));
    EXPECT_TRUE(quarantine_.suspects().empty());
    answer({"other"});
    EXPECT_FALSE(is_quarantined("deadly"));
    answer({"deadly"});
    crash({"deadly"});
    EXPECT_FALSE(is_quarantined("deadly"));
}

TEST_F(prompt_part_quarantine_test, a_part_that_goes_on_crashing_gets_few_tries)
{
    constexpr duration whole{1'800'000};
    constexpr duration step{5'000};
    constexpr int max_crashes_after_the_fifth = 3;
    int crashes = 0;
    for (const time_point end = now_ + whole; now_ < end; now_ = now_ + step)
    {
        quarantine_.expire(now_);
        answer({"other"});
        if (!is_quarantined("deadly"))
        {
            quarantine_.crashed(service, parts{"deadly"}, now_);
            ++crashes;
        }
    }
    EXPECT_LE(crashes, 5 + max_crashes_after_the_fifth);
}

TEST_F(prompt_part_quarantine_test, takes_the_last_of_parts_that_come_together)
{
    for (int round = 0; round < 3; ++round)
    {
        crash({"first", "deadly"});
        answer({"other"});
    }
    EXPECT_TRUE(is_quarantined("deadly"));
    EXPECT_FALSE(is_quarantined("first"));
}

TEST_F(prompt_part_quarantine_test, an_answer_tells_parts_apart)
{
    for (int round = 0; round < 3; ++round)
    {
        crash({"deadly", "session"});
        answer({"other"});
    }
    EXPECT_TRUE(is_quarantined("session"));
    answer({"session"});
    crash({"deadly"});
    answer({"other"});
    EXPECT_TRUE(is_quarantined("deadly"));
    EXPECT_FALSE(is_quarantined("session"));
}

TEST_F(prompt_part_quarantine_test, spares_a_part_that_answered_shortly_before)
{
    answer({"shared"});
    for (int round = 0; round < 5; ++round)
    {
        crash({"shared"});
        answer({"other"});
    }
    EXPECT_FALSE(is_quarantined("shared"));
    for (int round = 0; round < 5; ++round)
    {
        crash({"shared"});
    }
    EXPECT_TRUE(is_quarantined("shared"));
}

TEST_F(prompt_part_quarantine_test, services_are_apart)
{
    for (int round = 0; round < 5; ++round)
    {
        crash({"deadly"});
        quarantine_.answered("other", parts{"x"}, now_);
    }
    EXPECT_FALSE(is_quarantined("deadly"));
}

/// Plays engines under load: requests with the deadly part crash theirs, sound
/// ones answer unless they had just begun on an engine that crashed.
TEST_F(prompt_part_quarantine_test, finds_the_part_under_load_and_no_other)
{
    constexpr std::array<double, 3> deadly_shares{0.02, 0.05, 0.3};
    constexpr double collateral_share = 0.1;
    constexpr duration between_requests{30};
    constexpr int sessions = 40;
    for (const double deadly_share : deadly_shares)
    {
        quarantine_ = prompt_part_quarantine();
        std::mt19937 random(7);
        std::uniform_real_distribution<double> draw(0, 1);
        std::uniform_int_distribution<int> session(0, sessions - 1);
        int crashes = 0;
        for (int request = 0; request < 3'000; ++request)
        {
            now_ = now_ + between_requests;
            const parts prompt{
                "shared", "session" + std::to_string(session(random))};
            if (draw(random) < deadly_share && !is_quarantined("deadly"))
            {
                ++crashes;
                parts tainted = prompt;
                tainted.emplace_back("deadly");
                quarantine_.crashed(service, tainted, now_);
                continue;
            }
            if (crashes > 0 && !is_quarantined("deadly") &&
                draw(random) < collateral_share)
            {
                quarantine_.crashed(service, prompt, now_);
                continue;
            }
            answer(prompt);
        }
        EXPECT_TRUE(is_quarantined("deadly")) << deadly_share;
        EXPECT_EQ(quarantine_.quarantined().size(), 1U) << deadly_share;
    }
}

} // namespace
} // namespace poplarroute::policy
