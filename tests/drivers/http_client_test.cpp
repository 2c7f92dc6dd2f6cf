#include "drivers/http_client.hpp"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_server.hpp"

namespace poplarroute::drivers
{
namespace
{

constexpr const char* address = "127.0.0.1:19483";

/// Endpoint that answers the requests of each connection with given bytes.
class raw_endpoint
{
public:
    raw_endpoint(asio::io_context& io, std::vector<std::string> responses)
        : acceptor_(io, parse_endpoint(address)),
          responses_(std::move(responses))
    {
        spawn(io, serve());
    }

    int accepted_ = 0;

private:
    asio::awaitable<void> serve()
    {
        for (;;)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            ++accepted_;
            for (const std::string& response : responses_)
            {
                std::array<char, 4096> buffer{};
                error_code failed;
                const auto size = co_await socket.async_read_some(
                    asio::buffer(buffer),
                    asio::redirect_error(asio::use_awaitable, failed));
                if (failed || size == 0)
                {
                    break;
                }
                co_await asio::async_write(
                    socket, asio::buffer(response), asio::use_awaitable);
            }
        }
    }

    tcp::acceptor acceptor_;
    std::vector<std::string> responses_;
};

std::string make_response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

http_call make_call(const std::string& id)
{
    http_call out;
    out.address_ = address;
    out.method_ = "POST";
    out.echo_header_ = "X-Id";
    out.echo_value_ = id;
    out.timeout_ = core::duration{1'000};
    return out;
}

template <class Work>
void run(asio::io_context& io, Work work)
{
    spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            co_await work();
            io.stop();
        }());
    io.run();
}

TEST(http_client, skips_the_response_to_another_request)
{
    asio::io_context io;
    raw_endpoint endpoint(
        io, {make_response("old", "no") + make_response("new", "yes")});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("new");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).body_, "yes");
            EXPECT_EQ(client.counts().mismatched_responses_, 1U);
        });
}

TEST(http_client, closes_a_connection_with_extra_bytes)
{
    asio::io_context io;
    raw_endpoint endpoint(io, {make_response("a", "one") + "left over"});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            for (int round = 0; round < 2; ++round)
            {
                http_call call = make_call("a");
                const auto reply = co_await client.request(std::move(call));
                EXPECT_TRUE(core::is_ok(reply));
                EXPECT_EQ(core::value(reply).body_, "one");
            }
            EXPECT_EQ(client.counts().opened_, 2U);
        });
}

TEST(http_client, reuses_a_clean_connection)
{
    asio::io_context io;
    raw_endpoint endpoint(
        io, {make_response("a", "one"), make_response("a", "two")});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            for (int round = 0; round < 2; ++round)
            {
                http_call call = make_call("a");
                const auto reply = co_await client.request(std::move(call));
                EXPECT_TRUE(core::is_ok(reply));
            }
            EXPECT_EQ(client.counts().opened_, 1U);
            EXPECT_EQ(client.counts().reused_, 1U);
        });
}

TEST(http_client, reports_a_truncated_response)
{
    asio::io_context io;
    raw_endpoint endpoint(
        io, {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nshort"});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
        });
}

/// Endpoint that sends an answer with neither a length nor chunks, and then
/// ends or resets the connection.
asio::awaitable<void> serve_unframed(
    tcp::acceptor& acceptor, std::string answer, bool reset)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> buffer{};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
    co_await asio::async_write(
        socket, asio::buffer(answer), asio::use_awaitable);
    if (reset)
    {
        co_await sleep_for(core::duration{20});
        socket.set_option(asio::socket_base::linger(true, 0));
    }
    socket.close();
}

constexpr const char* unframed = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole";

TEST(http_client, reads_an_answer_that_ends_with_its_connection)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint(address));
    spawn(io, serve_unframed(acceptor, unframed, false));
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).body_, "whole");
        });
}

TEST(http_client, treats_a_reset_answer_without_a_length_as_broken)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint(address));
    spawn(io, serve_unframed(acceptor, unframed, true));
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
        });
}

TEST(http_client, says_unreachable_only_when_nothing_was_sent)
{
    asio::io_context io;
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
            EXPECT_EQ(core::failure(reply).code_, core::errc::unreachable);
            const std::string closed_address = address;
            const bool accepts = co_await client.accepts_connections(
                closed_address, core::duration{200});
            EXPECT_FALSE(accepts);
        });
}

} // namespace
} // namespace poplarroute::drivers
