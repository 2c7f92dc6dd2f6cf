#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/digest.hpp"
#include "core/ids.hpp"

namespace poplarroute::core
{

TEST(attempt_id, refuses_malformed_text)
{
    attempt_id out;
    for (const char* text : {"", "a", "a.1", ".1.2", "a.x.1", "a.1.", "a.1.2x"})
    {
        EXPECT_FALSE(parse(text, out)) << text;
    }
}

RC_GTEST_PROP(
    attempt_id,
    reads_what_it_wrote,
    (std::uint64_t incarnation, std::uint64_t number))
{
    const attempt_id written{"galway-a-1", incarnation, number};
    attempt_id read;
    RC_ASSERT(parse(to_string(written), read));
    RC_ASSERT(read == written);
}

TEST(key, is_split_at_its_last_underscore)
{
    api_key key;
    ASSERT_TRUE(parse_api_key("pr_abc_def", key));
    EXPECT_EQ(key.id_, "abc");
    EXPECT_EQ(key.secret_, "def");
    EXPECT_FALSE(parse_api_key("pr_abc", key));
    EXPECT_FALSE(parse_api_key("xx_abc_def", key));
    EXPECT_FALSE(parse_api_key("pr_abc_", key));
}

TEST(digest, matches_the_published_vector)
{
    EXPECT_EQ(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(constant_time_equal("same", "same"));
    EXPECT_FALSE(constant_time_equal("same", "samf"));
    EXPECT_FALSE(constant_time_equal("same", "sam"));
}

} // namespace poplarroute::core
