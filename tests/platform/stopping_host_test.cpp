// Requests that come while a host stops.

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr int desk_port = 19560;
constexpr int prefill_port = 19561;
constexpr int decode_port = 19562;

class stopping_host : public ingress_fixture
{
protected:
    stopping_host()
    {
        add_endpoint("i-desk", desk_port, "desk", false, plain_answer);
        add_endpoint("i-read", prefill_port, "llm", true, prefill_answer);
        add_endpoint("i-dec", decode_port, "llm", false, decode_answer);
    }

    std::size_t received() const
    {
        std::size_t out = 0;
        for (const auto& stub : stubs_)
        {
            out += stub->requests();
        }
        return out;
    }
};

// Guards against requests that are taken late in the grace and cut at its end.
// The stream may last 3 s, the call 1 s.
TEST_F(stopping_host, takes_only_what_is_certain_to_end_in_time)
{
    ingress_.stop_at(core::steady_now() + core::duration{2'000});
    const drivers::http_response stream = call("/llm/x");
    EXPECT_EQ(stream.status_, 503);
    EXPECT_GE(retry_after(stream), 0);
    EXPECT_EQ(received(), 0U);
    EXPECT_EQ(call("/desk/x").status_, 200);
    EXPECT_EQ(received(), 1U);
}

TEST_F(stopping_host, takes_all_requests_that_can_end_in_the_grace)
{
    ingress_.stop_at(core::steady_now() + core::duration{10'000});
    EXPECT_EQ(call("/llm/x").status_, 200);
}

TEST_F(stopping_host, answers_what_has_not_ended_when_it_stops)
{
    drivers::asio::ip::tcp::acceptor silent(
        io_, drivers::parse_endpoint("127.0.0.1:19563"));
    stubs_.clear();
    list_.clear();
    node::listed_endpoint entry;
    entry.name_ = "i-silent";
    entry.address_ = "127.0.0.1:19563";
    entry.service_ = "desk";
    entry.slots_ = 8;
    list_.push_back(std::move(entry));
    put_list();
    drivers::spawn(
        io_,
        [](node::ingress_controller& ingress) -> drivers::asio::awaitable<void>
        {
            co_await drivers::sleep_for(core::duration{100});
            ingress.stop_at(core::steady_now() + core::duration{200});
        }(ingress_));
    // It was sent, so nothing promises that it has not run.
    EXPECT_EQ(call("/desk/x").status_, 502);
}

} // namespace
} // namespace poplarroute::platform
