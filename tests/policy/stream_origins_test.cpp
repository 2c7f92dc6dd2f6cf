#include "policy/stream_origins.hpp"

#include <gtest/gtest.h>

namespace poplarroute::policy
{
namespace
{

constexpr core::time_point start{1'000};

known_origin origin_of(
    std::string attempt, std::string version, std::int64_t expires_ms)
{
    return {
        std::move(attempt),
        {"llm", std::move(version)},
        start + core::duration{expires_ms}};
}

TEST(stream_origins, are_known_until_the_caller_has_given_up)
{
    stream_origins known;
    EXPECT_TRUE(known.record(origin_of("a", "v1", 100), start));
    EXPECT_EQ(known.find("a", start)->version_, "v1");
    EXPECT_FALSE(known.find("a", start + core::duration{100}));
    EXPECT_FALSE(known.find("b", start));
    known.expire(start + core::duration{100});
    EXPECT_EQ(known.size(), 0U);
}

TEST(stream_origins, do_not_change_but_last_longer)
{
    stream_origins known;
    known.record(origin_of("a", "v1", 100), start);
    EXPECT_FALSE(known.record(origin_of("a", "v2", 300), start));
    EXPECT_TRUE(known.record(origin_of("a", "v1", 200), start));
    EXPECT_FALSE(known.record(origin_of("a", "v1", 150), start));
    EXPECT_EQ(known.find("a", start + core::duration{199})->version_, "v1");
    EXPECT_FALSE(known.find("a", start + core::duration{200}));
}

TEST(stream_origins, are_bounded_and_those_that_expire_first_make_room)
{
    stream_origins known(2);
    known.record(origin_of("a", "v1", 300), start);
    known.record(origin_of("b", "v1", 100), start);
    known.record(origin_of("c", "v1", 200), start);
    EXPECT_EQ(known.size(), 2U);
    EXPECT_FALSE(known.find("b", start));
    EXPECT_FALSE(
        known.record(origin_of(std::string(1'000, 'x'), "v1", 100), start));
}

TEST(stream_origins, are_copied_in_parts_without_loss)
{
    stream_origins known;
    for (int number = 0; number < 5; ++number)
    {
        known.record(origin_of(std::to_string(number), "v1", 100), start);
    }
    std::uint64_t position = 0;
    EXPECT_EQ(known.recorded_since(position, 3, start).size(), 3U);
    known.record(origin_of("0", "v1", 200), start);
    const auto rest = known.recorded_since(position, 10, start);
    ASSERT_EQ(rest.size(), 3U);
    EXPECT_EQ(rest.back().attempt_, "0");
    EXPECT_TRUE(known.recorded_since(position, 10, start).empty());
}

} // namespace
} // namespace poplarroute::policy
