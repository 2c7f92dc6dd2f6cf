// Guards against an entry of the platform's list that another writer has cut
// off and that hides the entries after it, so that endpoints that leave still
// get requests (review/10).
#include "platform/platform_codec.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/json_text.hpp"

using poplarroute::node::endpoint_page;
using poplarroute::node::listed_endpoint;
using poplarroute::platform::platform_codec;

namespace
{

std::string sound_entry(const std::string& name)
{
    return R"({"id":")" + name +
           R"(","service":"s","zone":"z","address":"10.0.0.1:80",)"
           R"("slots":4,"state":"ready","coldLeftMs":0})";
}

/// Entries of other writers, with text that looks like the list's structure.
std::vector<std::string> foreign_entries()
{
    return {
        sound_entry("x-1"),
        R"({"id":"x-2","tags":["a","b"],"parts":[{"a":1},{"b":[2,{}]}],"s":0})",
        R"({"id":"x-3 \"],[{ \\","note":"},{\"id\":\"i-0\"},[]","slots":[]})",
        R"(["x-4",{"id":"x-5"},[[]],"],"])",
        R"("a text with , [ ] { } and \" quotes")",
        "{\"id\":\"\xff\xfe\",\"zone\":\"z\",\"state\":{\"is\":\"ready\"}}"};
}

std::string page_of(const std::vector<std::string>& entries)
{
    std::string out;
    for (const std::string& entry : entries)
    {
        out.append(&entry == entries.data() ? "" : ", ").append(entry);
    }
    return R"({"instances": [)" + out + R"(], "next": "p-50"})";
}

std::set<std::string> names_in(const endpoint_page& page)
{
    std::set<std::string> out;
    for (const listed_endpoint& item : page.endpoints_)
    {
        out.insert(item.name_);
    }
    return out;
}

/// \return whether all sound entries of a page are read, none twice, and what
/// follows the list is known.
bool holds(const std::string& text, const std::set<std::string>& sound)
{
    const auto page = platform_codec().decode_endpoint_page(text);
    if (!page || page->next_ != "p-50")
    {
        return false;
    }
    const std::set<std::string> read = names_in(*page);
    return std::includes(
               read.begin(), read.end(), sound.begin(), sound.end()) &&
           std::none_of(
               read.begin(),
               read.end(),
               [&sound](const std::string& name)
               {
                   return sound.count(name) == 0 && name != "x-1";
               }) &&
           read.size() == page->endpoints_.size();
}

} // namespace

TEST(damaged_list, an_entry_cut_off_at_any_byte_costs_itself)
{
    for (const std::string& foreign : foreign_entries())
    {
        for (std::size_t bytes = 0; bytes <= foreign.size(); ++bytes)
        {
            for (std::size_t place = 0; place < 4; ++place)
            {
                std::vector<std::string> entries{
                    sound_entry("i-1"), sound_entry("i-2"), sound_entry("i-3")};
                entries.insert(
                    entries.begin() + static_cast<std::ptrdiff_t>(place),
                    foreign.substr(0, bytes));
                const std::string text = page_of(entries);
                ASSERT_TRUE(holds(text, {"i-1", "i-2", "i-3"})) << text;
            }
        }
    }
}

RC_GTEST_PROP(damaged_list, several_entries_cut_off_cost_themselves, ())
{
    const std::vector<std::string> foreign = foreign_entries();
    std::vector<std::string> entries;
    std::set<std::string> sound;
    const int count = *rc::gen::inRange(1, 12);
    for (int at = 0; at < count; ++at)
    {
        if (*rc::gen::inRange(0, 2) == 0)
        {
            const std::string& whole = *rc::gen::elementOf(foreign);
            const auto bytes = *rc::gen::inRange<std::size_t>(0, whole.size());
            entries.push_back(whole.substr(0, bytes));
        }
        else
        {
            const std::string name = "i-" + std::to_string(at);
            entries.push_back(sound_entry(name));
            sound.insert(name);
        }
    }
    const std::string text = page_of(entries);
    RC_LOG() << text;
    RC_ASSERT(holds(text, sound));
}

// The product's own list has two arrays: an entry that is cut off in one must
// not take in the other.
TEST(damaged_list, an_entry_cut_off_does_not_hide_the_other_array)
{
    const auto is_element = [](std::string_view text)
    {
        return text.starts_with(R"({"name")");
    };
    const std::string first = R"({"name":"a","tags":["x"],"state":"live"})";
    for (std::size_t bytes = 0; bytes < first.size(); ++bytes)
    {
        const std::string text =
            R"({"endpoints":[{"name":"b"},)" + first.substr(0, bytes) +
            R"(],"hosts":[{"name":"c"},{"name":"d"}],"age":1})";
        const auto endpoints = poplarroute::core::split_json_array(
            text, "endpoints", "hosts", is_element);
        ASSERT_TRUE(endpoints) << text;
        EXPECT_EQ(endpoints->elements_.front(), R"({"name":"b"})");
        EXPECT_LE(endpoints->elements_.size(), 2U) << text;
        const auto hosts = poplarroute::core::split_json_array(
            endpoints->others_, "hosts", "endpoints", is_element);
        ASSERT_TRUE(hosts) << text;
        EXPECT_EQ(hosts->elements_.size(), 2U) << text;
    }
}

// A page of the largest size that cannot be read must not stop the host.
TEST(damaged_list, hostile_pages_are_read_or_refused_in_bounded_time)
{
    constexpr std::size_t repeats = 100'000;
    for (const char* part :
         {"{",
          "[",
          "\"",
          "{\"a\":[0,",
          "],\"a\":[",
          "{\"a\":\"",
          ",{\"id\":",
          "]",
          "}",
          "]}"})
    {
        std::string text = R"({"instances":[)" + sound_entry("i-1") + ",";
        for (std::size_t at = 0; at < repeats; ++at)
        {
            text.append(part);
        }
        platform_codec().decode_endpoint_page(text);
        text.append(",").append(sound_entry("i-2")).append("],\"next\":null}");
        platform_codec().decode_endpoint_page(text);
    }
}
