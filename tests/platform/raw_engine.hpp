#pragma once

#include <array>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include "drivers/http_server.hpp"

namespace poplarroute::platform
{

/// A stand-in engine that writes given bytes to each request and then closes
/// the connection. Reports of its state keep the connection open.
class raw_engine
{
public:
    /// \param first answer to a request that begins a stream.
    /// \param resumed answer to one that goes on.
    raw_engine(
        drivers::asio::io_context& io,
        int port,
        std::string first,
        std::string resumed)
        : io_(io),
          acceptor_(
              io, drivers::parse_endpoint("127.0.0.1:" + std::to_string(port))),
          first_(std::move(first)),
          resumed_(std::move(resumed))
    {
        drivers::spawn(io, accept());
    }

    /// The requests that it ran, with their headers.
    std::vector<std::string> requests_;

    /// Unix time in ms of its start, as it states it; nothing: it answers no
    /// report.
    std::optional<std::int64_t> born_;

private:
    drivers::asio::awaitable<void> accept()
    {
        for (;;)
        {
            drivers::spawn(
                io_,
                serve(co_await acceptor_.async_accept(
                    drivers::asio::use_awaitable)));
        }
    }

    drivers::asio::awaitable<void> serve(drivers::tcp::socket socket)
    {
        for (;;)
        {
            std::array<char, 4096> buffer{};
            drivers::error_code failed;
            const std::size_t size = co_await socket.async_read_some(
                drivers::asio::buffer(buffer),
                drivers::asio::redirect_error(
                    drivers::asio::use_awaitable, failed));
            if (failed)
            {
                co_return;
            }
            const std::string request(buffer.data(), size);
            const bool runs = request.starts_with("POST");
            const std::string answer = runs ? run(request) : report();
            co_await drivers::asio::async_write(
                socket,
                drivers::asio::buffer(answer),
                drivers::asio::redirect_error(
                    drivers::asio::use_awaitable, failed));
            if (runs || failed)
            {
                co_return;
            }
        }
    }

    std::string run(const std::string& request)
    {
        requests_.push_back(request);
        const std::size_t begin = request.find("Attempt-Id: ") + 12;
        const std::string attempt =
            request.substr(begin, request.find('\r', begin) - begin);
        std::string answer = request.find("Last-Event-Id") == std::string::npos
                                 ? first_
                                 : resumed_;
        answer.replace(answer.find("ATTEMPT"), 7, attempt);
        return answer;
    }

    std::string report() const
    {
        if (!born_)
        {
            return "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n";
        }
        const std::string body =
            R"({"stage":"decode","busy":false,"sequence":0,"born":)" +
            std::to_string(*born_) + "}";
        return "HTTP/1.1 200 X\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    drivers::asio::io_context& io_;
    drivers::tcp::acceptor acceptor_;
    std::string first_;
    std::string resumed_;
};

/// \return the head of a raw engine's answer with a body in chunks.
inline std::string raw_head(int status, const std::string& type)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nAttempt-Id: ATTEMPT\r\nServer-Stamp: s\r\nContent-Type: " +
           type + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// \return one chunk of such a body.
inline std::string raw_chunk(const std::string& text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", text.size());
    return std::string(size.data()) + "\r\n" + text + "\r\n";
}

/// \return an event of a stream.
inline std::string stream_event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d\n\n";
}

/// \return an answer that breaks after two events.
inline std::string broken_stream()
{
    return raw_head(200, "text/event-stream") +
           raw_chunk(stream_event_text(1)) + raw_chunk(stream_event_text(2));
}

/// \return an answer that goes on after them and is complete.
inline std::string rest_of_stream()
{
    return raw_head(200, "text/event-stream") +
           raw_chunk(stream_event_text(3)) + raw_chunk(stream_event_text(4)) +
           "0\r\n\r\n";
}

} // namespace poplarroute::platform
