#include "core/codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::core
{

// Guards against a message that ends the process by the depth of its nesting.
TEST(codec, refuses_deep_nesting)
{
    constexpr std::size_t depth = 1'000'000;
    EXPECT_FALSE(parse_cbor(std::string(depth, '\x81')).has_value());
    EXPECT_FALSE(parse_cbor(std::string(depth, '\xa1')).has_value());
    EXPECT_TRUE(parse_cbor(std::string(max_cbor_depth - 1, '\x81') + '\x01')
                    .has_value());
}

TEST(codec, refuses_more_values_than_fit_into_memory)
{
    const std::string nulls(max_cbor_values + 1, '\xf6');
    EXPECT_FALSE(parse_cbor('\x9f' + nulls + '\xff').has_value());
}

// Guards against a peer's number that does not fit the integer which a message
// has there: the conversion is undefined.
TEST(codec, refuses_floating_point_numbers)
{
    EXPECT_FALSE(
        decode_cbor<std::uint64_t>(std::string("\xf9\xf9\xf9", 3)).has_value());
    EXPECT_FALSE(
        decode_cbor<std::uint64_t>(std::string("\xfa\xc7\x3f\x20\0", 5))
            .has_value());
    EXPECT_EQ(decode_cbor<std::uint64_t>(std::string("\x05", 1)), 5U);
}

RC_GTEST_PROP(codec, decodes_any_bytes_without_a_crash, (std::string bytes))
{
    static_cast<void>(parse_cbor(bytes));
}

RC_GTEST_PROP(
    codec,
    reads_what_it_wrote,
    (std::map<std::string, std::vector<std::int64_t>> values))
{
    RC_ASSERT(decode_cbor<decltype(values)>(encode_cbor(values)) == values);
}

} // namespace poplarroute::core
