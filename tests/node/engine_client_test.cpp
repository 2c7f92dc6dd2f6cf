#include "node/engine.hpp"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace poplarroute::node
{
namespace
{

namespace asio = drivers::asio;
using drivers::tcp;

constexpr const char* address = "127.0.0.1:19582";

/// Engine that answers a report, and sends a copy of that answer before it
/// refuses what comes next on the connection.
asio::awaitable<void> serve_copies(
    asio::io_context& io, tcp::acceptor& acceptor, int& refused)
{
    for (;;)
    {
        tcp::socket accepted =
            co_await acceptor.async_accept(asio::use_awaitable);
        drivers::spawn(
            io,
            [](tcp::socket socket, int& refused) -> asio::awaitable<void>
            {
                const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: "
                                           "12\r\n\r\n{\"boot\":\"b\"}";
                const std::string refusal =
                    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
                std::string copy;
                drivers::error_code failed;
                while (!failed)
                {
                    std::array<char, 4096> buffer{};
                    const std::size_t size = co_await socket.async_read_some(
                        asio::buffer(buffer),
                        asio::redirect_error(asio::use_awaitable, failed));
                    const std::string request(buffer.data(), size);
                    const bool is_report = request.starts_with("GET /report");
                    refused += is_report || request.empty() ? 0 : 1;
                    const std::string answer =
                        copy + (is_report ? report : refusal);
                    copy = is_report ? report : "";
                    co_await asio::async_write(
                        socket,
                        asio::buffer(answer),
                        asio::redirect_error(asio::use_awaitable, failed));
                }
            }(std::move(accepted), refused));
    }
}

// Guards against memory that counts as free, or an order as given, by the copy
// of an answer to another call.
TEST(engine_client, believes_no_copy_of_an_answer_to_another_call)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, drivers::parse_endpoint(address));
    int refused = 0;
    drivers::spawn(io, serve_copies(io, acceptor, refused));
    drivers::http_client http(io);
    engine_client engine(http);
    drivers::spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            co_await engine.report(address, "e");
            const bool freed =
                co_await engine.cancel(address, core::attempt_id());
            EXPECT_FALSE(freed);
            co_await engine.report(address, "e");
            const auto ordered = co_await engine.order(
                address,
                1,
                "stage",
                "prefill",
                core::steady_now() + core::duration{1'000});
            EXPECT_FALSE(core::is_ok(ordered));
            EXPECT_EQ(refused, 2);
            io.stop();
        }());
    io.run();
}

} // namespace
} // namespace poplarroute::node
