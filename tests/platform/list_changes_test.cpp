// How changes of the endpoint list reach entry hosts: in the reply to a watch,
// or with the whole list when the leader has no changes for a host.

#include "tests/platform/endpoint_list_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr const char* member_address = "127.0.0.1:19620";
constexpr const char* host_address = "127.0.0.1:19621";

struct entry_host : watching_host
{
    explicit entry_host(drivers::asio::io_context& io)
        : watching_host(io, host_address, {member_address})
    {
    }

    /// \return whether the list was updated in a way: "whole" or "changes".
    bool has_update_of(const std::string& kind)
    {
        return metrics_.text().find(
                   "poplarroute_list_updates_total{kind=\"" + kind + "\"}") !=
               std::string::npos;
    }
};

class list_changes : public endpoint_list_fixture
{
protected:
    list_changes() : endpoint_list_fixture("changes", member_address) {}
};

// Guards against a leader that sends the whole list to every host whenever one
// endpoint changes.
TEST_F(list_changes, a_change_reaches_a_host_without_the_whole_list)
{
    entry_host host(io_);
    run_until_current(host);
    EXPECT_FALSE(host.has_update_of("changes"));
    const std::uint64_t bytes_before = drivers::traffic().bytes_in_;
    items_.erase(items_.begin());
    items_[0].leaving_ = true;
    add_endpoint(endpoints_);
    publish();
    run_until_current(host);
    EXPECT_TRUE(host.has_update_of("changes"));
    EXPECT_LT(drivers::traffic().bytes_in_ - bytes_before, 8'000U);
    EXPECT_EQ(host.list().endpoints_.size(), items_.size());
    EXPECT_EQ(host.list().endpoints_.count("i-0"), 0U);
    EXPECT_TRUE(host.list().endpoints_.at("i-1").listed_.leaving_);
    EXPECT_EQ(
        host.list().endpoints_.count("i-" + std::to_string(endpoints_)), 1U);
}

// Guards against a host that waits for changes which the leader cannot send.
TEST_F(list_changes, a_change_of_most_endpoints_reaches_a_host)
{
    entry_host host(io_);
    run_until_current(host);
    for (node::listed_endpoint& item : items_)
    {
        item.started_at_ms_ = 1;
    }
    publish();
    run_until_current(host);
    EXPECT_EQ(host.list().endpoints_.at("i-7").listed_.started_at_ms_, 1);
    items_.pop_back();
    publish();
    run_until_current(host);
    EXPECT_TRUE(host.has_update_of("changes"));
    EXPECT_EQ(host.list().endpoints_.size(), items_.size());
}

// A host that has to download the whole list hears first which endpoints have
// left. Guards against requests to them while the download goes on.
TEST_F(list_changes, withdrawals_come_before_a_whole_list)
{
    entry_host host(io_);
    run_until_current(host);
    for (node::listed_endpoint& item : items_)
    {
        item.started_at_ms_ = 1;
    }
    items_.erase(items_.begin());
    items_[0].leaving_ = true;
    node::endpoint_section& section =
        host.board_.section<node::endpoint_section>();
    bool was_left_out = false;
    section.on_change_.emplace_back(
        [&]()
        {
            const auto removed = section.endpoints_.find("i-0");
            const auto leaving = section.endpoints_.find("i-1");
            was_left_out =
                was_left_out || (removed != section.endpoints_.end() &&
                                 removed->second.listed_.leaving_ &&
                                 leaving->second.listed_.leaving_ &&
                                 leaving->second.listed_.started_at_ms_ == 0);
        });
    publish();
    run_until_current(host);
    EXPECT_TRUE(was_left_out);
    EXPECT_EQ(host.list().endpoints_.count("i-0"), 0U);
}

// A host that lost the leader reads the list itself, then hears of the leader
// again, whose list is still the one of before. Guards against that list in
// place of the newer one: on a day of 294 hosts it was 20 s old, and hosts sent
// requests to an endpoint that had left 4 s before.
TEST_F(list_changes, an_older_list_does_not_replace_one_that_the_host_has_read)
{
    entry_host host(io_);
    run_until_current(host);
    host.board_.section<node::settings_section>().epoch_ = "own";
    std::vector<node::listed_endpoint> newer = items_;
    newer[1].leaving_ = true;
    node::endpoint_section& section =
        host.board_.section<node::endpoint_section>();
    section.epoch_ = "own";
    node::replace_endpoints(section, newer, core::steady_now());
    for (int step = 0; step < 300; ++step)
    {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(5));
        ASSERT_TRUE(host.list().endpoints_.at("i-1").listed_.leaving_);
    }
    items_ = newer;
    add_endpoint(endpoints_);
    publish();
    run_until_current(host);
    EXPECT_TRUE(host.list().endpoints_.at("i-1").listed_.leaving_);
    EXPECT_EQ(host.list().endpoints_.size(), items_.size());
}

// A cold endpoint may get few calls until a point in time, which a host knows
// only relative to when the list was read.
TEST_F(list_changes, cold_times_count_from_when_the_list_was_read)
{
    entry_host host(io_);
    run_until_current(host);
    const core::time_point read_at = core::steady_now() - core::duration{2'000};
    items_[3].cold_time_left_ = {9'000};
    node::endpoint_section& section = member_list();
    node::replace_endpoints(
        section, items_, std::max(read_at, section.read_at_));
    const core::time_point cold_until =
        section.endpoints_.at("i-3").cold_until_;
    run_until_current(host);
    const core::duration error =
        host.list().endpoints_.at("i-3").cold_until_ - cold_until;
    EXPECT_LT(std::abs(error.ms_), 300);
}

} // namespace
} // namespace poplarroute::platform
