#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/digest.hpp"
#include "core/ids.hpp"

namespace poplarroute::core
{

TEST(attempt_id, refuses_texts_that_are_none)
{
    attempt_id out;
    for (const char* text : {"", "a", "a.1", ".1.2", "a.x.1", "a.1.", "a.1.2x"})
    {
        EXPECT_FALSE(parse(text, out)) << text;
    }
}

RC_GTEST_PROP(
    attempt_id, reads_what_it_wrote, (std::uint64_t one, std::uint64_t two))
{
    const attempt_id made{"galway-a-1", one, two};
    attempt_id read;
    RC_ASSERT(parse(to_string(made), read));
    RC_ASSERT(read == made);
}

TEST(key, is_split_at_its_last_underscore)
{
    shown_key key;
    ASSERT_TRUE(parse_key("pr_abc_def", key));
    EXPECT_EQ(key.id_, "abc");
    EXPECT_EQ(key.secret_, "def");
    EXPECT_FALSE(parse_key("pr_abc", key));
    EXPECT_FALSE(parse_key("xx_abc_def", key));
    EXPECT_FALSE(parse_key("pr_abc_", key));
}

TEST(digest, matches_the_published_vector)
{
    EXPECT_EQ(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(equal_secret("same", "same"));
    EXPECT_FALSE(equal_secret("same", "samf"));
    EXPECT_FALSE(equal_secret("same", "sam"));
}

} // namespace poplarroute::core
