// Callers that close their connection before the answer.

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr int first_port = 19570;
constexpr int second_port = 19571;
constexpr int slow_port = 19572;

using departed_caller = ingress_fixture;

// Guards against endpoints that are ejected since callers left: the cancelled
// call counted as a broken connection, and three in a row eject an endpoint.
TEST_F(departed_caller, does_not_count_as_a_failure_of_the_endpoint)
{
    add_endpoint("i-1", first_port, "desk", false, plain_answer);
    add_endpoint("i-2", second_port, "desk", false, plain_answer);
    std::size_t abandoned = 0;
    {
        drivers::asio::ip::tcp::acceptor silent(
            io_,
            drivers::parse_endpoint("127.0.0.1:" + std::to_string(slow_port)));
        node::listed_endpoint entry;
        entry.name_ = "i-slow";
        entry.address_ = "127.0.0.1:" + std::to_string(slow_port);
        entry.service_ = "desk";
        entry.slots_ = 8;
        list_.push_back(entry);
        put_list();
        constexpr core::duration patience{60};
        constexpr int max_calls = 400;
        for (int count = 0; count < max_calls && abandoned < 4; ++count)
        {
            abandoned += call("/desk/x", patience).status_ == 0 ? 1 : 0;
        }
    }
    ASSERT_EQ(abandoned, 4U);
    list_.pop_back();
    const stub_endpoint& slow =
        add_endpoint("i-slow", slow_port, "desk", false, plain_answer);
    for (int count = 0; count < 100; ++count)
    {
        EXPECT_EQ(call("/desk/x").status_, 200);
    }
    EXPECT_GT(slow.requests(), 0U);
}

} // namespace
} // namespace poplarroute::platform
