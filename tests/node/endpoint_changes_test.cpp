// Whether a host that gets changes of an endpoint list has the list that the
// leader has, whatever is lost, repeated or late.

#include "node/endpoint_changes.hpp"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::node
{
namespace
{

using endpoint_map = std::map<core::endpoint_id, known_endpoint>;

constexpr core::time_point read_at{100'000};

known_endpoint make_endpoint(const std::string& name, std::int64_t slots)
{
    known_endpoint out;
    out.listed_.name_ = name;
    out.listed_.service_ = "depu9b";
    out.listed_.address_ = "10.1.64.1:8066";
    out.listed_.zone_ = "zone-a";
    out.listed_.slots_ = slots;
    out.cold_until_ = read_at;
    return out;
}

bool equal(const endpoint_map& left, const endpoint_map& right)
{
    return left.size() == right.size() &&
           std::equal(
               left.begin(),
               left.end(),
               right.begin(),
               [](const auto& one, const auto& other)
               {
                   return one.first == other.first &&
                          one.second.listed_ == other.second.listed_ &&
                          one.second.cold_until_ == other.second.cold_until_;
               });
}

/// Changes a few random endpoints.
void mutate(endpoint_map& list, std::mt19937& random)
{
    const unsigned count = 1 + random() % 3;
    for (unsigned index = 0; index < count; ++index)
    {
        const std::string name = "i-" + std::to_string(random() % 12);
        if (random() % 3 == 0)
        {
            list.erase(name);
            continue;
        }
        known_endpoint item =
            make_endpoint(name, static_cast<std::int64_t>(1 + random() % 4));
        item.listed_.leaving_ = random() % 4 == 0;
        if (random() % 4 == 0)
        {
            item.listed_.cold_time_left_ =
                core::duration{1'000} * std::int64_t(1 + random() % 3);
            item.cold_until_ = read_at + item.listed_.cold_time_left_;
        }
        list[name] = item;
    }
}

/// A host's view of the list.
struct view
{
    std::uint64_t revision_ = 0;
    endpoint_map endpoints_;
};

// A host asks for changes from the revision that it has, at random times, and
// gets them at once, late, twice or never; old messages arrive after newer
// ones. The history is short, so that it often has to take the whole list.
// Guards against a view that mixes two revisions or goes back to an older one.
RC_GTEST_PROP(
    endpoint_changes,
    a_view_is_always_one_revision_and_never_an_older_one,
    (unsigned seed))
{
    std::mt19937 random(seed);
    constexpr int step_count = 300;
    endpoint_change_bounds bounds;
    bounds.history_entries_ = 1 + random() % 20;
    bounds.message_entries_ = 1 + random() % 20;
    endpoint_changes history(bounds);
    std::map<std::uint64_t, endpoint_map> revisions;
    std::vector<list_changes> messages;
    endpoint_map list;
    std::uint64_t revision = 0;
    view host;
    const auto change = [&]()
    {
        mutate(list, random);
        ++revision;
        history.update(revision, list);
        revisions[revision] = list;
    };
    const auto ask = [&]()
    {
        const auto changes = history.since(host.revision_, read_at);
        if (changes)
        {
            messages.push_back(*changes);
            return;
        }
        host = {revision, list};
    };
    change();
    for (int step = 0; step < step_count; ++step)
    {
        const std::uint64_t before = host.revision_;
        const unsigned kind = random() % 4;
        if (kind == 0)
        {
            change();
        }
        else if (kind == 1)
        {
            ask();
        }
        else if (!messages.empty())
        {
            apply_list_changes(
                messages[random() % messages.size()],
                read_at,
                host.revision_,
                host.endpoints_);
        }
        RC_ASSERT(host.revision_ >= before);
        RC_ASSERT(
            host.revision_ == 0 ||
            equal(host.endpoints_, revisions[host.revision_]));
        RC_ASSERT(history.size() <= bounds.history_entries_);
    }
    ask();
    if (host.revision_ != revision)
    {
        apply_list_changes(
            messages.back(), read_at, host.revision_, host.endpoints_);
    }
    RC_ASSERT(host.revision_ == revision);
    RC_ASSERT(equal(host.endpoints_, list));
}

// Guards against a history that takes the passing of a cold start's time for a
// change, so that each read of the list would be sent to all hosts.
TEST(endpoint_changes, cold_time_that_passes_is_no_change)
{
    endpoint_changes history;
    endpoint_map list;
    list["i-1"] = make_endpoint("i-1", 1);
    list["i-1"].listed_.cold_time_left_ = {5'000};
    list["i-1"].cold_until_ = read_at + core::duration{5'000};
    history.update(1, list);
    list["i-1"].listed_.cold_time_left_ = {4'200};
    list["i-1"].cold_until_ = read_at + core::duration{5'100};
    history.update(2, list);
    EXPECT_TRUE(history.since(1, read_at)->changed_.empty());
    list["i-1"].listed_.cold_time_left_ = {0};
    list["i-1"].cold_until_ = read_at + core::duration{6'000};
    history.update(3, list);
    EXPECT_EQ(history.since(1, read_at)->changed_.size(), 1U);
}

// A restart of a whole service changes more endpoints than one message holds.
TEST(endpoint_changes, a_large_change_is_left_to_the_whole_list)
{
    constexpr int endpoints = 1'000;
    endpoint_changes history;
    endpoint_map list;
    history.update(1, list);
    for (int index = 0; index < endpoints; ++index)
    {
        const std::string name = "i-" + std::to_string(index);
        list[name] = make_endpoint(name, 1);
    }
    history.update(2, list);
    EXPECT_FALSE(history.since(1, read_at));
    list.erase("i-5");
    history.update(3, list);
    ASSERT_TRUE(history.since(2, read_at));
    EXPECT_EQ(
        history.since(2, read_at)->removed_,
        std::vector<core::endpoint_id>{"i-5"});
    EXPECT_EQ(history.removed_since(1), std::vector<core::endpoint_id>{"i-5"});
}

} // namespace
} // namespace poplarroute::node
