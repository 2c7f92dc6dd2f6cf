#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/compress.hpp"

namespace poplarroute::core
{

TEST(compress, compresses_a_configuration_tenfold)
{
    std::string text;
    for (int number = 0; number < 860; ++number)
    {
        text += "[account account-" + std::to_string(number) +
                "]\nrate = 4000\nburst = 40000\nweight = 1\n\n";
    }
    const std::string compressed = compress(text);
    EXPECT_LT(compressed.size() * 10, text.size());
    EXPECT_EQ(decompress(compressed), text);
}

TEST(compress, refuses_a_size_above_the_limit)
{
    const std::string bytes("\x28\xb5\x2f\xfd\xe0\xff\xff\xff\xff\xff\xff", 11);
    EXPECT_FALSE(decompress(bytes).has_value());
    EXPECT_FALSE(decompress("").has_value());
}

RC_GTEST_PROP(compress, reads_what_it_wrote, (const std::string& text))
{
    RC_ASSERT(decompress(compress(text)) == text);
    static_cast<void>(decompress(text));
}

} // namespace poplarroute::core
