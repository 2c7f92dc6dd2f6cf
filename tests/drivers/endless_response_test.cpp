#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_client.hpp"

namespace poplarroute::drivers
{
namespace
{

constexpr const char* address = "127.0.0.1:19484";

/// What a client may read of a response without end, besides what the sockets'
/// buffers hold. A host has 88 MB of memory in all.
constexpr std::size_t max_read_bytes = 24 * 1024 * 1024;
constexpr std::size_t socket_buffer_bytes = 8 * 1024 * 1024;

/// End of the test if the client keeps reading.
constexpr std::size_t max_sent_bytes = 96 * 1024 * 1024;

/// Endpoint that answers each request with a beginning, and then with the same
/// bytes until the client closes the connection.
class endless_endpoint
{
public:
    endless_endpoint(
        asio::io_context& io, std::string beginning, std::string repeated)
        : io_(io),
          acceptor_(io, parse_endpoint(address)),
          beginning_(std::move(beginning))
    {
        constexpr std::size_t block_bytes = 64 * 1024;
        while (block_.size() < block_bytes)
        {
            block_ += repeated;
        }
        spawn(io, accept());
    }

    std::size_t sent_bytes_ = 0; ///< To all connections.

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto socket = std::make_shared<tcp::socket>(io_);
            co_await acceptor_.async_accept(*socket, asio::use_awaitable);
            spawn(io_, serve(socket));
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::array<char, 4096> request{};
        error_code failed;
        co_await socket->async_read_some(
            asio::buffer(request),
            asio::redirect_error(asio::use_awaitable, failed));
        co_await asio::async_write(
            *socket,
            asio::buffer(beginning_),
            asio::redirect_error(asio::use_awaitable, failed));
        while (!failed && sent_bytes_ < max_sent_bytes)
        {
            sent_bytes_ += co_await asio::async_write(
                *socket,
                asio::buffer(block_),
                asio::redirect_error(asio::use_awaitable, failed));
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::string beginning_;
    std::string block_;
};

struct endless_case
{
    const char* name_;
    const char* beginning_;
    const char* repeated_;
};

class endless_response : public ::testing::TestWithParam<endless_case>
{
protected:
    /// Sends requests at the same time.
    /// \return the number of them that failed.
    int send(int requests)
    {
        endless_endpoint endpoint(
            io_, GetParam().beginning_, GetParam().repeated_);
        int ended = 0;
        int failures = 0;
        for (int index = 0; index < requests; ++index)
        {
            spawn(
                io_,
                [](endless_response& test,
                   int& ended,
                   int& failures,
                   int requests) -> asio::awaitable<void>
                {
                    http_call call;
                    call.address_ = address;
                    call.method_ = "POST";
                    call.echo_header_ = "X-Id";
                    call.echo_value_ = "a";
                    const auto reply =
                        co_await test.client_.request(std::move(call));
                    failures += core::is_ok(reply) ? 0 : 1;
                    if (++ended == requests)
                    {
                        test.io_.stop();
                    }
                }(*this, ended, failures, requests));
        }
        io_.run();
        sent_bytes_ = endpoint.sent_bytes_;
        return failures;
    }

    asio::io_context io_{1};
    http_client client_{io_};
    std::size_t sent_bytes_ = 0;
};

TEST_P(endless_response, is_given_up_before_it_fills_the_memory)
{
    EXPECT_EQ(send(1), 1);
    EXPECT_LT(sent_bytes_, max_read_bytes + socket_buffer_bytes);
}

TEST_P(endless_response, of_many_calls_is_given_up_before_the_memory_is_full)
{
    constexpr int requests = 6;
    EXPECT_EQ(send(requests), requests);
    EXPECT_LT(sent_bytes_, max_read_bytes + requests * socket_buffer_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    http_client,
    endless_response,
    ::testing::Values(
        endless_case{"no_response", "", "x"},
        endless_case{"line_breaks", "", "\r\n"},
        endless_case{"header", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
        endless_case{"header_value", "HTTP/1.1 200 OK\r\nX-A: ", "b"},
        endless_case{"informational", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_case{
            "other_answers",
            "",
            "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n"},
        endless_case{"body", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "x"},
        endless_case{
            "body_of_another_answer",
            "HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\n",
            "x"},
        endless_case{
            "chunks",
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: "
            "chunked\r\n\r\n",
            "1\r\nx\r\n"},
        endless_case{
            "chunk_extension",
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: "
            "chunked\r\n\r\n1;a=",
            "b"},
        endless_case{
            "trailers",
            "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: "
            "chunked\r\n\r\n0\r\n",
            "X-A: b\r\n"}),
    [](const ::testing::TestParamInfo<endless_case>& item)
    {
        return std::string(item.param.name_);
    });

} // namespace
} // namespace poplarroute::drivers
