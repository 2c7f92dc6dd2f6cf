#include "node/document_download.hpp"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/document_parts.hpp"

namespace poplarroute::node
{
namespace
{

using progress = document_download::progress;

constexpr core::time_point now{1'000};

/// \return text that compresses to more than one part.
std::string make_text(std::uint32_t seed)
{
    constexpr std::size_t size = 300'000;
    std::mt19937 random(seed);
    std::string out;
    while (out.size() < size)
    {
        out += "{\"name\":\"" + std::to_string(random()) + "\"},";
    }
    return out;
}

TEST(document_download, joins_the_parts_of_a_document)
{
    const std::string text = make_text(1);
    document_parts member;
    member.put(catalog_document(3), text, now);
    document_download host;
    host.want(catalog_document(3));
    int parts = 0;
    progress last = progress::incomplete;
    while (last == progress::incomplete)
    {
        last = host.add(*member.part(host.next_request(), now));
        ++parts;
    }
    EXPECT_EQ(last, progress::complete);
    EXPECT_EQ(host.take_content(), text);
    EXPECT_GT(parts, 2);
}

TEST(document_download, completes_while_newer_revisions_keep_coming)
{
    document_parts member;
    member.put(catalog_document(1), make_text(1), now);
    document_download host;
    std::uint64_t newest = 1;
    progress last = progress::incomplete;
    while (last == progress::incomplete)
    {
        host.want(catalog_document(newest));
        document_part_request request = host.next_request();
        if (!member.contains(request.id_))
        {
            request = {catalog_document(newest), 0};
        }
        last = host.add(*member.part(request, now));
        ++newest;
        member.put(catalog_document(newest), make_text(1), now);
        ASSERT_LT(newest, 20U);
    }
    EXPECT_EQ(last, progress::complete);
    EXPECT_EQ(host.take_content(), make_text(1));
}

TEST(document_download, starts_again_when_another_member_has_other_bytes)
{
    document_parts first;
    first.put(catalog_document(1), make_text(1), now);
    document_parts second;
    second.put(catalog_document(1), make_text(2), now);
    document_download host;
    host.want(catalog_document(1));
    host.add(*first.part(host.next_request(), now));
    progress last = progress::incomplete;
    while (last == progress::incomplete)
    {
        last = host.add(*second.part(host.next_request(), now));
    }
    EXPECT_EQ(last, progress::complete);
    EXPECT_EQ(host.take_content(), make_text(2));
}

TEST(document_download, discards_damaged_parts)
{
    document_parts member;
    member.put(catalog_document(1), make_text(1), now);
    document_download host;
    host.want(catalog_document(1));
    document_part_reply part = *member.part(host.next_request(), now);
    part.bytes_ = "no bytes";
    EXPECT_EQ(host.add(part), progress::damaged);
    part = *member.part(host.next_request(), now);
    part.bytes_ = core::binary(std::string(1'000, 'x'));
    part.size_ = 1'000;
    EXPECT_EQ(host.add(part), progress::damaged);
    EXPECT_EQ(host.next_request().offset_, 0U);
}

RC_GTEST_PROP(
    document_download,
    delivers_exactly_one_revision_whatever_is_lost_repeated_or_replaced,
    ())
{
    document_parts member;
    member.put(catalog_document(1), make_text(1), now);
    document_download host;
    host.want(catalog_document(1));
    std::uint64_t newest = 1;
    std::vector<document_part_reply> delayed;
    for (int step = 0; step < 200; ++step)
    {
        const int kind = *rc::gen::inRange(0, 12);
        if (kind == 0)
        {
            ++newest;
            member.put(
                catalog_document(newest),
                make_text(static_cast<std::uint32_t>(newest)),
                now);
        }
        if (kind == 1)
        {
            continue;
        }
        host.want(catalog_document(newest));
        document_part_request request = host.next_request();
        if (!member.contains(request.id_))
        {
            request = {catalog_document(newest), 0};
        }
        delayed.push_back(*member.part(request, now));
        const std::size_t repeated =
            kind == 2 ? *rc::gen::inRange<std::size_t>(0, delayed.size())
                      : delayed.size() - 1;
        const progress last = host.add(delayed[repeated]);
        RC_ASSERT(last != progress::damaged);
        if (last == progress::complete)
        {
            const auto revision =
                static_cast<std::uint32_t>(host.id().revision_);
            RC_ASSERT(host.take_content() == make_text(revision));
            return;
        }
    }
}

} // namespace
} // namespace poplarroute::node
