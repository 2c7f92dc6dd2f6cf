// A stream that breaks and goes on at another engine.

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
using drivers::tcp;

constexpr int prefill_port = 19550;
constexpr int first_decode_port = 19551;

/// An engine that writes given bytes to each request and closes the connection.
class raw_engine
{
public:
    /// \param first answer to a request that begins a stream.
    /// \param resumed answer to one that goes on.
    raw_engine(
        asio::io_context& io, int port, std::string first, std::string resumed)
        : acceptor_(
              io, drivers::parse_endpoint("127.0.0.1:" + std::to_string(port))),
          first_(std::move(first)),
          resumed_(std::move(resumed))
    {
        drivers::spawn(io, serve());
    }

private:
    asio::awaitable<void> serve()
    {
        for (;;)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            std::array<char, 4096> buffer{};
            const std::size_t size = co_await socket.async_read_some(
                asio::buffer(buffer), asio::use_awaitable);
            const std::string_view request(buffer.data(), size);
            drivers::error_code ignored;
            if (request.starts_with("POST"))
            {
                const std::size_t begin = request.find("Attempt-Id: ") + 12;
                const std::string attempt(
                    request.substr(begin, request.find('\r', begin) - begin));
                std::string answer =
                    request.find("Last-Event-Id") == std::string_view::npos
                        ? first_
                        : resumed_;
                answer.replace(answer.find("ATTEMPT"), 7, attempt);
                co_await asio::async_write(
                    socket,
                    asio::buffer(answer),
                    asio::redirect_error(asio::use_awaitable, ignored));
            }
        }
    }

    tcp::acceptor acceptor_;
    std::string first_;
    std::string resumed_;
};

std::string head(int status, const std::string& type)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nAttempt-Id: ATTEMPT\r\nServer-Stamp: s\r\nContent-Type: " +
           type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", text.size());
    return std::string(size.data()) + "\r\n" + text + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d\n\n";
}

class resumed_stream : public ingress_fixture
{
protected:
    /// Calls a stream that breaks after two events.
    /// \param resumed what another engine answers then.
    /// \return the caller's response; without a status if it is incomplete.
    drivers::http_response play(const std::string& resumed)
    {
        add_endpoint("i-read", prefill_port, "llm", true, prefill_answer);
        const std::string broken =
            head(200, "text/event-stream") + chunk(event(1)) + chunk(event(2));
        for (int index = 0; index < 2; ++index)
        {
            const int port = first_decode_port + index;
            engines_.push_back(
                std::make_unique<raw_engine>(io_, port, broken, resumed));
            node::listed_endpoint entry;
            entry.name_ = "i-dec" + std::to_string(index);
            entry.address_ = "127.0.0.1:" + std::to_string(port);
            entry.service_ = "llm";
            entry.slots_ = 8;
            list_.push_back(std::move(entry));
        }
        put_list();
        return call("/llm/x");
    }

    std::vector<std::unique_ptr<raw_engine>> engines_;
};

TEST_F(resumed_stream, goes_on_with_the_next_event)
{
    const drivers::http_response response = play(
        head(200, "text/event-stream") + chunk(event(3)) + chunk(event(4)) +
        "0\r\n\r\n");
    EXPECT_EQ(response.status_, 200);
    EXPECT_EQ(response.body_, event(1) + event(2) + event(3) + event(4));
}

// Guards against a stream that ends as complete although an engine skipped
// events when it took over.
TEST_F(resumed_stream, is_not_complete_when_events_are_missing)
{
    const drivers::http_response response =
        play(head(200, "text/event-stream") + chunk(event(4)) + "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

// Guards against an error, or its text, within a stream that has begun.
TEST_F(resumed_stream, is_not_complete_when_the_next_engine_fails)
{
    const drivers::http_response response =
        play(head(500, "text/plain") + chunk("broken\n\n") + "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

TEST_F(resumed_stream, is_not_complete_when_the_next_body_is_no_stream)
{
    const drivers::http_response response = play(
        head(200, "application/json") + chunk("{\"error\":1}\n\n") +
        "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

TEST_F(resumed_stream, is_not_complete_when_the_next_engine_sends_no_event)
{
    const drivers::http_response response =
        play(head(200, "text/event-stream") + "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

} // namespace
} // namespace poplarroute::platform
