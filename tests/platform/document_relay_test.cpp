// Members that serve the leader's endpoint list as relays: hosts get it from
// them, and from the leader when they are lost, cut off or have an older one.

#include "node/document_relay.hpp"

#include "tests/platform/endpoint_list_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr const char* member_address = "127.0.0.1:19630";
constexpr const char* relay_address = "127.0.0.1:19631";
constexpr const char* host_address = "127.0.0.1:19632";

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

struct entry_host : watching_host
{
    explicit entry_host(
        asio::io_context& io, const std::string& address = host_address)
        : watching_host(io, address, {member_address, relay_address})
    {
    }
};

class document_relay : public endpoint_list_fixture
{
protected:
    document_relay() : endpoint_list_fixture("relay", member_address) {}

    void change_most()
    {
        for (node::listed_endpoint& item : items_)
        {
            ++item.started_at_ms_;
        }
        publish();
    }

    void run_until_current(watching_host& host)
    {
        endpoint_list_fixture::run_until_current(host);
        EXPECT_EQ(
            host.list().endpoints_.at("i-7").listed_.started_at_ms_,
            items_[7].started_at_ms_);
    }
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
