#include <array>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "drivers/host_settings.hpp"
#include "drivers/http_client.hpp"
#include "drivers/http_server.hpp"
#include "drivers/peer_channel.hpp"

namespace poplarroute::drivers
{

namespace
{

constexpr const char* http_address = "127.0.0.1:19481";
constexpr const char* peer_address = "127.0.0.1:19482";

/// Runs a coroutine on the context until it ends.
template <class Work>
void run(asio::io_context& io, Work work)
{
    const auto wrapped = [&]() -> asio::awaitable<void>
    {
        co_await work();
        io.stop();
    };
    spawn(io, wrapped());
    io.restart();
    io.run();
}

asio::awaitable<void> echo(http_exchange& exchange)
{
    header_list headers{{"X-Method", exchange.request().method_}};
    co_await exchange.send(200, std::move(headers), exchange.request().body_);
}

std::string raw_exchange(asio::io_context& io, const std::string& bytes)
{
    std::string out;
    run(io,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket socket(io);
            co_await socket.async_connect(
                parse_endpoint(http_address), asio::use_awaitable);
            co_await socket.async_write_some(
                asio::buffer(bytes), asio::use_awaitable);
            socket.shutdown(tcp::socket::shutdown_send);
            char buffer[4096];
            try
            {
                for (;;)
                {
                    const std::size_t size = co_await socket.async_read_some(
                        asio::buffer(buffer), asio::use_awaitable);
                    out.append(buffer, size);
                }
            }
            catch (const boost::system::system_error&)
            {
                co_return;
            }
        });
    return out;
}

} // namespace

TEST(http, returns_the_response_to_each_request)
{
    asio::io_context io;
    http_server server(io, http_address, {}, echo);
    server.start();
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            for (int round = 0; round < 3; ++round)
            {
                http_call call;
                call.address_ = http_address;
                call.method_ = "POST";
                call.body_ = "round " + std::to_string(round);
                const auto reply = co_await client.request(call);
                EXPECT_TRUE(core::is_ok(reply));
                if (core::is_ok(reply))
                {
                    EXPECT_EQ(core::value(reply).body_, call.body_);
                }
            }
            // All rounds used the same connection.
            EXPECT_EQ(server.connections(), 1U);
        });
}

TEST(http, refuses_malformed_requests_as_not_run)
{
    asio::io_context io;
    http_limits limits;
    limits.body_bytes_ = 100;
    limits.header_bytes_ = 500;
    http_server server(io, http_address, limits, echo);
    server.start();
    EXPECT_NE(
        raw_exchange(io, "nonsense\r\n\r\n").find("\"not_run\":true"),
        std::string::npos);
    EXPECT_NE(
        raw_exchange(
            io, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\nx")
            .find("413"),
        std::string::npos);
    EXPECT_NE(
        raw_exchange(
            io, "GET / HTTP/1.1\r\nX: " + std::string(900, 'x') + "\r\n\r\n")
            .find("431"),
        std::string::npos);
    EXPECT_NE(
        raw_exchange(io, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").find("200 OK"),
        std::string::npos);
}

constexpr const char* request_bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// Connects and sends a request without letting the server run.
tcp::socket send_request(asio::io_context& io)
{
    tcp::socket socket(io);
    socket.connect(parse_endpoint(http_address));
    asio::write(socket, asio::buffer(std::string_view(request_bytes)));
    return socket;
}

/// \return whether a response has arrived.
bool has_response(tcp::socket& socket)
{
    std::array<char, 256> buffer{};
    error_code failed;
    socket.non_blocking(true, failed);
    const std::size_t size = socket.read_some(asio::buffer(buffer), failed);
    return std::string_view(buffer.data(), size).starts_with("HTTP/1.1 200");
}

// A host that stops must answer requests that the kernel has accepted for it,
// but that it has not read yet.
TEST(http, a_stop_answers_connections_that_were_not_yet_accepted)
{
    asio::io_context io;
    http_server server(io, http_address, http_limits(), echo);
    server.start();
    constexpr int caller_count = 5;
    std::vector<tcp::socket> callers;
    callers.reserve(caller_count);
    for (int count = 0; count < caller_count; ++count)
    {
        callers.push_back(send_request(io));
    }
    server.stop_accepting();
    io.run_for(std::chrono::milliseconds(200));
    for (tcp::socket& caller : callers)
    {
        EXPECT_TRUE(has_response(caller));
    }
}

TEST(http, a_stop_answers_a_request_that_waits_on_an_idle_connection)
{
    asio::io_context io;
    http_server server(io, http_address, http_limits(), echo);
    server.start();
    tcp::socket caller = send_request(io);
    io.run_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(has_response(caller));
    tcp::socket idle = send_request(io);
    io.run_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(has_response(idle));
    asio::write(caller, asio::buffer(std::string_view(request_bytes)));
    server.stop_accepting();
    io.run_for(std::chrono::milliseconds(100));
    EXPECT_TRUE(has_response(caller));
    caller.close();
    io.run_for(std::chrono::milliseconds(800));
    // A connection without a request is closed.
    EXPECT_EQ(server.connections(), 0U);
}

TEST(http, a_stopping_server_does_not_wait_for_silent_connections)
{
    asio::io_context io;
    http_server server(io, http_address, http_limits(), echo);
    server.start();
    tcp::socket silent(io);
    silent.connect(parse_endpoint(http_address));
    server.stop_accepting();
    silent.shutdown(tcp::socket::shutdown_send);
    io.run_for(std::chrono::milliseconds(1'500));
    EXPECT_EQ(server.connections(), 0U);
}

TEST(http, a_closed_port_is_unreachable)
{
    asio::io_context io;
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call;
            call.address_ = "127.0.0.1:1";
            const auto reply = co_await client.request(call);
            EXPECT_FALSE(core::is_ok(reply));
            EXPECT_EQ(core::failure(reply).code_, core::errc::unreachable);
        });
}

TEST(peer_channel, carries_calls_errors_and_deadlines)
{
    asio::io_context io;
    peer_server server(
        io,
        peer_address,
        nullptr,
        [&](peer_identity,
            std::string name,
            std::string body) -> asio::awaitable<core::result<std::string>>
        {
            if (name == "slow")
            {
                co_await sleep_for(core::duration{2'000});
            }
            if (name == "refuse")
            {
                co_return core::error{core::errc::conflict, "no"};
            }
            co_return name + ":" + body;
        });
    server.start();
    peer_client client(io, nullptr);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            const core::duration deadline{1'000};
            const auto good =
                co_await client.call(peer_address, "echo", "x", deadline);
            EXPECT_EQ(core::value(good), "echo:x");
            const std::string large(3'000'000, 'y');
            const auto large_reply =
                co_await client.call(peer_address, "big", large, deadline);
            EXPECT_EQ(core::value(large_reply).size(), large.size() + 4);
            const auto refused =
                co_await client.call(peer_address, "refuse", "", deadline);
            EXPECT_EQ(core::failure(refused).code_, core::errc::conflict);
            const auto late = co_await client.call(
                peer_address, "slow", "", core::duration{50});
            EXPECT_EQ(core::failure(late).code_, core::errc::timeout);
            client.set_blocked(peer_address, true);
            const auto blocked =
                co_await client.call(peer_address, "echo", "", deadline);
            EXPECT_EQ(core::failure(blocked).code_, core::errc::unreachable);
        });
}

TEST(peer_channel, keeps_serving_after_malformed_bytes)
{
    asio::io_context io;
    peer_server server(
        io,
        peer_address,
        nullptr,
        [](peer_identity,
           std::string,
           std::string body) -> asio::awaitable<core::result<std::string>>
        {
            co_return body;
        });
    server.start();
    run(io,
        [&]() -> asio::awaitable<void>
        {
            tcp::socket raw_client(io);
            co_await raw_client.async_connect(
                parse_endpoint(peer_address), asio::use_awaitable);
            const std::string bytes(70'000, '\x81');
            co_await raw_client.async_write_some(
                asio::buffer(bytes), asio::use_awaitable);
            peer_client client(io, nullptr);
            const auto reply = co_await client.call(
                peer_address, "echo", "still here", core::duration{1'000});
            EXPECT_TRUE(core::is_ok(reply));
        });
}

TEST(host_settings, lists_all_mistakes_together)
{
    core::finding_list findings;
    parse_host_settings(
        "h.ini",
        "[host]\nname = a.b\npeer_listen = 10.0.0.1:70\n"
        "client_listen = here\nadmin_listen = 127.0.0.1:3\ncolour = red\n"
        "[tls]\nmode = plain\n",
        findings);
    const std::string text = findings.text();
    for (const char* expected :
         {"h.ini:2: [host] name",
          "[host] availability_zone",
          "h.ini:4: [host] client_listen",
          "h.ini:6: [host] colour",
          "no [seed] section",
          "plain text between hosts"})
    {
        EXPECT_NE(text.find(expected), std::string::npos)
            << "missing: " << expected << "\nin:\n"
            << text;
    }
}

RC_GTEST_PROP(host_settings, survives_any_text, (const std::string& text))
{
    core::finding_list findings;
    parse_host_settings("h.ini", text, findings);
    RC_ASSERT(!findings.empty());
}

} // namespace poplarroute::drivers
