// Members that serve the leader's endpoint list as relays: hosts get it from
// them, and from the leader when they are lost, cut off or have an older one.

#include "node/document_relay.hpp"

#include <filesystem>
#include <functional>

#include <gtest/gtest.h>
#include <unistd.h>

#include "node/catalog_watcher.hpp"
#include "node/rollout_client.hpp"
#include "tests/platform/lone_member.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr const char* member_address = "127.0.0.1:19630";
constexpr const char* relay_address = "127.0.0.1:19631";
constexpr const char* host_address = "127.0.0.1:19632";
constexpr int endpoints = 2'000;

/// A member that does not lead, as far as documents are concerned.
struct relay_member : listening_process
{
    explicit relay_member(asio::io_context& io)
        : listening_process(io, relay_address, relay_address),
          relay_(
              with_,
              [this]()
              {
                  return leader_;
              })
    {
        calls_
            .add_typed<node::document_part_request, node::document_part_reply>(
                node::method::document_part,
                node::allowed_callers::host,
                [this](
                    drivers::peer_identity, node::document_part_request request)
                    -> asio::awaitable<core::result<node::document_part_reply>>
                {
                    ++requests_;
                    co_return co_await relay_.answer_part(std::move(request));
                });
        port_.start();
    }

    bool has_relayed()
    {
        return metrics_.text().find("poplarroute_relayed_parts_total") !=
               std::string::npos;
    }

    core::host_id leader_ = member_address;
    int requests_ = 0;
    node::document_relay relay_;
};

struct entry_host : process
{
    explicit entry_host(
        asio::io_context& io, const std::string& address = host_address)
        : process(io, address, member_address),
          rollouts_(with_),
          watcher_(with_, codec_, rollouts_)
    {
        board_.section<node::settings_section>().settings_.seeds_ = {
            member_address, relay_address};
        watcher_.start();
    }

    const node::endpoint_section& list()
    {
        return board_.section<node::endpoint_section>();
    }

    node::rollout_client rollouts_;

    node::catalog_watcher watcher_;
};

class document_relay : public ::testing::Test
{
protected:
    document_relay()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-relay-" + std::to_string(::getpid()))),
          member_(make_member())
    {
        for (int index = 0; index < endpoints; ++index)
        {
            node::listed_endpoint item;
            item.name_ = "i-" + std::to_string(index);
            item.service_ = "depu9b";
            item.address_ = "10.1.64." + std::to_string(index) + ":8066";
            item.zone_ = "zone-a";
            items_.push_back(item);
        }
        publish();
    }

    ~document_relay() override
    {
        std::filesystem::remove_all(folder_);
    }

    std::unique_ptr<lone_member> make_member()
    {
        std::filesystem::remove_all(folder_);
        return std::make_unique<lone_member>(
            io_, member_address, member_address, folder_.string());
    }

    void publish()
    {
        run_until(
            [this]()
            {
                return member_->controller_->leads();
            });
        node::endpoint_section& section =
            member_->board_.section<node::endpoint_section>();
        section.epoch_ = "epoch";
        node::replace_endpoints(section, items_, core::steady_now());
    }

    void change_most()
    {
        for (node::listed_endpoint& item : items_)
        {
            ++item.started_at_ms_;
        }
        publish();
    }

    void run_until(const std::function<bool()>& condition)
    {
        const core::time_point until =
            core::steady_now() + core::duration{10'000};
        while (!condition() && core::steady_now() < until)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(5));
        }
        ASSERT_TRUE(condition());
    }

    void run_until_current(entry_host& host)
    {
        run_until(
            [&]()
            {
                return host.list().revision_ ==
                           member_->board_.section<node::endpoint_section>()
                               .revision_ &&
                       host.list().epoch_ == "epoch";
            });
        EXPECT_EQ(
            host.list().endpoints_.at("i-7").listed_.started_at_ms_,
            items_[7].started_at_ms_);
    }

    asio::io_context io_{1};
    std::filesystem::path folder_;
    std::unique_ptr<lone_member> member_;
    std::vector<node::listed_endpoint> items_;
};

// Guards against a leader that sends the whole list to each host.
TEST_F(document_relay, hosts_get_the_list_from_a_relay)
{
    relay_member relay(io_);
    entry_host first(io_);
    run_until_current(first);
    EXPECT_TRUE(relay.has_relayed());
    const int requests = relay.requests_;
    entry_host second(io_, "127.0.0.1:19633");
    run_until_current(second);
    EXPECT_GT(relay.requests_, requests);
}

TEST_F(document_relay, a_host_falls_back_to_the_leader_when_a_relay_is_lost)
{
    entry_host host(io_);
    run_until_current(host);
}

// Guards against a relay that lets hosts wait although it cannot get the list.
TEST_F(document_relay, a_host_falls_back_at_once_when_a_relay_is_cut_off)
{
    relay_member relay(io_);
    relay.leader_.clear();
    const core::time_point started_at = core::steady_now();
    entry_host host(io_);
    run_until_current(host);
    EXPECT_GT(relay.requests_, 0);
    EXPECT_FALSE(relay.has_relayed());
    EXPECT_LT((core::steady_now() - started_at).ms_, 3'000);
}

// The relay has the list's first revision only and is then cut off, while most
// endpoints change twice.
TEST_F(document_relay, a_host_with_a_stale_relay_gets_the_newest_list)
{
    relay_member relay(io_);
    entry_host first(io_);
    run_until_current(first);
    ASSERT_TRUE(relay.has_relayed());
    relay.leader_.clear();
    change_most();
    run_until_current(first);
    change_most();
    entry_host second(io_, "127.0.0.1:19633");
    run_until_current(second);
    run_until_current(first);
}

} // namespace
} // namespace poplarroute::platform
