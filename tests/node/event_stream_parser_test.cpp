#include "node/event_stream_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::node
{
namespace
{

TEST(event_stream_parser, gives_whole_events_only)
{
    event_stream_parser parser;
    parser.add("id: 1\ndata: a\n\nid: 2\nda");
    const auto first = parser.next();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->id_, 1);
    EXPECT_EQ(first->bytes_, "id: 1\ndata: a\n\n");
    EXPECT_FALSE(parser.next());
    EXPECT_TRUE(parser.has_partial_event());
    parser.add("ta: b\r\n\r\n");
    EXPECT_EQ(parser.next()->id_, 2);
    EXPECT_FALSE(parser.has_partial_event());
}

TEST(event_stream_parser, reads_events_without_an_id)
{
    event_stream_parser parser;
    parser.add("weight-versions: 3\ndata: a\n\n");
    const auto event = parser.next();
    ASSERT_TRUE(event);
    EXPECT_FALSE(event->id_);
}

RC_GTEST_PROP(
    event_stream_parser,
    passes_the_same_bytes_however_they_are_cut,
    (std::vector<unsigned char> cuts))
{
    std::string whole;
    for (int id = 1; id <= 20; ++id)
    {
        whole += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    event_stream_parser parser;
    std::string out;
    std::int64_t last = 0;
    std::size_t at = 0;
    std::size_t next = 0;
    while (at < whole.size())
    {
        const std::size_t size =
            next < cuts.size() ? 1 + cuts[next++] % 40 : whole.size();
        parser.add(std::string_view(whole).substr(at, size));
        at = std::min(at + size, whole.size());
        while (auto event = parser.next())
        {
            RC_ASSERT(event->id_ == last + 1);
            last = *event->id_;
            out += event->bytes_;
        }
    }
    RC_ASSERT(out == whole);
}

TEST(event_stream_parser, tells_that_an_event_does_not_end)
{
    constexpr std::size_t piece_bytes = 64 * 1024;
    event_stream_parser parser;
    for (int piece = 0; piece < 10; ++piece)
    {
        parser.add(std::string(piece_bytes, 'x'));
        EXPECT_FALSE(parser.next());
    }
    EXPECT_FALSE(parser.is_overlong());
    for (int piece = 0; piece < 10; ++piece)
    {
        parser.add(std::string(piece_bytes, 'x'));
    }
    EXPECT_TRUE(parser.is_overlong());
    parser.add("\n\n");
    EXPECT_TRUE(parser.next());
    EXPECT_FALSE(parser.is_overlong());
}

RC_GTEST_PROP(event_stream_parser, survives_any_bytes, (std::string bytes))
{
    event_stream_parser parser;
    parser.add(bytes);
    std::size_t passed = 0;
    while (auto event = parser.next())
    {
        passed += event->bytes_.size();
    }
    RC_ASSERT(passed <= bytes.size());
}

} // namespace
} // namespace poplarroute::node
