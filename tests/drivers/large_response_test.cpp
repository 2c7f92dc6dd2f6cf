// What an endpoint announces or sends must not take more memory than the
// budget.

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_client.hpp"

namespace poplarroute::drivers
{
namespace
{

constexpr const char* client_address = "127.0.0.1:19570";
constexpr const char* server_address = "127.0.0.1:19571";
constexpr std::size_t budget_bytes = 1024 * 1024;

asio::awaitable<void> answer_all(asio::io_context& io, std::string answer)
{
    tcp::acceptor acceptor(io, parse_endpoint(client_address));
    for (;;)
    {
        auto socket = std::make_shared<tcp::socket>(
            co_await acceptor.async_accept(asio::use_awaitable));
        spawn(
            io,
            [](std::shared_ptr<tcp::socket> socket,
               std::string answer) -> asio::awaitable<void>
            {
                std::array<char, 1024> request{};
                error_code ignored;
                co_await socket->async_read_some(
                    asio::buffer(request),
                    asio::redirect_error(asio::use_awaitable, ignored));
                co_await asio::async_write(
                    *socket,
                    asio::buffer(answer),
                    asio::redirect_error(asio::use_awaitable, ignored));
            }(socket, answer));
    }
}

class large_response : public ::testing::Test
{
public:
    /// Calls the endpoint and keeps the response.
    core::result<http_response> call(std::size_t max_bytes = max_response_bytes)
    {
        std::optional<core::result<http_response>> out;
        spawn(
            io_,
            [](large_response& test,
               std::size_t max_bytes,
               std::optional<core::result<http_response>>& out)
                -> asio::awaitable<void>
            {
                http_call request;
                request.address_ = client_address;
                request.timeout_ = core::duration{2'000};
                request.max_response_bytes_ = max_bytes;
                out = co_await test.client_.request(std::move(request));
                test.io_.stop();
            }(*this, max_bytes, out));
        io_.restart();
        io_.run();
        return std::move(*out);
    }

    static std::string answer_of(std::size_t bytes)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
               "\r\n\r\n" + std::string(bytes, 'x');
    }

    asio::io_context io_{1};
    byte_budget_ptr budget_ = std::make_shared<byte_budget>(budget_bytes);
    http_client client_{io_, budget_};
};

// Guards against memory that is reserved for an announced body: one header
// ended the process.
TEST_F(large_response, that_is_only_announced_takes_no_memory)
{
    spawn(
        io_,
        answer_all(
            io_,
            "HTTP/1.1 200 OK\r\nContent-Length: 900000000000000\r\n\r\nx"));
    EXPECT_FALSE(core::is_ok(call()));
    EXPECT_EQ(budget_->used(), 0U);
}

TEST_F(large_response, counts_for_as_long_as_it_is_kept)
{
    constexpr std::size_t body_bytes = 400 * 1024;
    spawn(io_, answer_all(io_, answer_of(body_bytes)));
    {
        const core::result<http_response> first = call();
        const core::result<http_response> second = call();
        ASSERT_TRUE(core::is_ok(first));
        ASSERT_TRUE(core::is_ok(second));
        EXPECT_EQ(budget_->used(), 2 * body_bytes);
        EXPECT_FALSE(core::is_ok(call()));
    }
    EXPECT_EQ(budget_->used(), 0U);
    EXPECT_TRUE(core::is_ok(call()));
}

TEST_F(large_response, beyond_the_limit_of_the_call_is_refused)
{
    spawn(io_, answer_all(io_, answer_of(2'000)));
    EXPECT_FALSE(core::is_ok(call(1'000)));
    EXPECT_TRUE(core::is_ok(call(2'000)));
}

TEST_F(large_response, as_a_line_without_end_is_refused)
{
    spawn(io_, answer_all(io_, answer_of(2 * budget_bytes)));
    std::optional<core::result<std::optional<std::string>>> line;
    spawn(
        io_,
        [](large_response& test,
           std::optional<core::result<std::optional<std::string>>>& line)
            -> asio::awaitable<void>
        {
            http_call request;
            request.address_ = client_address;
            auto opened = co_await test.client_.open(std::move(request));
            if (core::is_ok(opened))
            {
                line = co_await core::value(opened)->next_line(
                    core::duration{2'000});
            }
            test.io_.stop();
        }(*this, line));
    io_.restart();
    io_.run();
    ASSERT_TRUE(line.has_value());
    EXPECT_FALSE(core::is_ok(*line));
    EXPECT_EQ(budget_->used(), 0U);
}

// Requests of callers count in the same way.
TEST(large_request, beyond_the_budget_is_refused_as_not_run)
{
    asio::io_context io{1};
    const byte_budget_ptr budget = std::make_shared<byte_budget>(1'000);
    int handled = 0;
    http_server server(
        io,
        server_address,
        http_limits(),
        [&handled](http_exchange& exchange) -> asio::awaitable<void>
        {
            ++handled;
            co_await exchange.send(200, header_list(), std::string());
        },
        budget);
    server.start();
    http_client client(io);
    std::vector<int> statuses;
    spawn(
        io,
        [](asio::io_context& io,
           http_client& client,
           std::vector<int>& statuses) -> asio::awaitable<void>
        {
            for (const std::size_t bytes : {900, 2'000, 900})
            {
                http_call request;
                request.address_ = server_address;
                request.method_ = "POST";
                request.body_ = std::string(bytes, 'x');
                const auto reply = co_await client.request(std::move(request));
                statuses.push_back(
                    core::is_ok(reply) ? core::value(reply).status_ : 0);
            }
            io.stop();
        }(io, client, statuses));
    io.run();
    EXPECT_EQ(statuses, (std::vector<int>{200, 503, 200}));
    EXPECT_EQ(handled, 2);
    EXPECT_EQ(budget->used(), 0U);
}

} // namespace
} // namespace poplarroute::drivers
