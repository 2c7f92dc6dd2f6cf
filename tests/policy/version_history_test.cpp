#include "policy/version_history.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

core::time_point at(std::int64_t ms)
{
    return {ms};
}

void observe(
    version_history& history,
    std::int64_t from_ms,
    std::int64_t to_ms,
    const std::set<std::string>& versions)
{
    for (std::int64_t ms = from_ms; ms <= to_ms; ms += 500)
    {
        history.observe({{"llm", versions}}, at(ms));
    }
}

TEST(version_history, knows_the_only_version_of_a_time)
{
    version_history history;
    observe(history, 1'000, 20'000, {"v1"});
    EXPECT_EQ(history.only_version("llm", at(5'000), at(20'000)), "v1");
    EXPECT_FALSE(history.only_version("llm", at(500), at(20'000)));
    EXPECT_FALSE(history.only_version("other", at(5'000), at(20'000)));
}

TEST(version_history, knows_none_while_an_earlier_version_may_have_begun)
{
    version_history history;
    observe(history, 1'000, 10'000, {"v1"});
    observe(history, 10'500, 20'000, {"v1", "v2"});
    observe(history, 20'500, 40'000, {"v2"});
    EXPECT_FALSE(history.only_version("llm", at(15'000), at(40'000)));
    EXPECT_FALSE(history.only_version("llm", at(20'000), at(40'000)));
    EXPECT_EQ(history.only_version("llm", at(20'500), at(40'000)), "v2");
}

TEST(version_history, does_not_reach_across_a_time_without_lists)
{
    version_history history;
    observe(history, 1'000, 10'000, {"v1"});
    observe(history, 20'000, 30'000, {"v1"});
    EXPECT_FALSE(history.only_version("llm", at(9'000), at(30'000)));
    EXPECT_EQ(history.only_version("llm", at(20'000), at(30'000)), "v1");
}

TEST(version_history, reaches_back_without_end_at_the_first_start)
{
    version_history history(true);
    observe(history, 1'000, 2'000, {"v1"});
    EXPECT_EQ(history.only_version("llm", at(-60'000), at(2'000)), "v1");
}

// Guards against a process that has read no list for a while, and so missed a
// version, but takes the one that it knows for the only one.
TEST(version_history, knows_none_of_a_time_after_its_last_list)
{
    for (const bool is_first_start : {true, false})
    {
        version_history history(is_first_start);
        observe(history, 1'000, 20'000, {"v1"});
        EXPECT_EQ(history.only_version("llm", at(5'000), at(20'000)), "v1");
        EXPECT_FALSE(history.only_version("llm", at(5'000), at(20'001)));
        observe(history, 20'500, 20'500, {"v1", "v2"});
        EXPECT_FALSE(history.only_version("llm", at(5'000), at(20'500)));
    }
}

} // namespace
} // namespace poplarroute::policy
