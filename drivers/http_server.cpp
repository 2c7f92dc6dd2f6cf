#include "drivers/http_server.hpp"

#include <array>
#include <chrono>
#include <set>
#include <stdexcept>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/counted.hpp"
#include "core/invariant.hpp"

namespace poplarroute::drivers
{

namespace beast = boost::beast;
namespace http = beast::http;

struct http_server::state
{
    state(
        asio::io_context& context,
        const tcp::endpoint& at,
        http_limits limits,
        http_handler handler)
        : context_(context),
          acceptor_(context, at),
          limits_(limits),
          handler_(std::move(handler))
    {
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    http_limits limits_;
    http_handler handler_;
    bool stopping_ = false;
    bool closing_ = false; ///< Each answer ends its connection.
    std::size_t active_ = 0;
    std::set<beast::tcp_stream*> idle_; ///< Waiting between two requests.
    std::size_t open_ = 0;
};

namespace
{

std::string chunk_of(std::string_view piece)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = piece.size(); rest != 0; rest /= 16)
    {
        size.insert(size.begin(), digits[rest % 16]);
    }
    return size + "\r\n" + std::string(piece) + "\r\n";
}

/// One request on a Beast stream.
class beast_exchange final : public http_exchange
{
public:
    beast_exchange(
        beast::tcp_stream& stream,
        const http_server::state& shared,
        http_request request,
        bool keep_alive)
        : stream_(stream),
          limits_(shared.limits_),
          closing_(shared.closing_),
          keep_alive_(keep_alive)
    {
        request_ = std::move(request);
    }

    asio::awaitable<void> send(
        int status, header_list headers, std::string body) override
    {
        take_latch();
        http::response<http::string_body> answer;
        fill(answer, status, headers);
        answer.body() = std::move(body);
        answer.prepare_payload();
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await http::async_write(
            stream_, answer, asio::redirect_error(asio::use_awaitable, failed));
        keep_alive_ = keep_alive_ && !failed;
    }

    asio::awaitable<void> open_stream(int status, header_list headers) override
    {
        take_latch();
        http::response<http::empty_body> answer;
        fill(answer, status, headers);
        answer.chunked(true);
        http::response_serializer<http::empty_body> serializer(answer);
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await http::async_write_header(
            stream_,
            serializer,
            asio::redirect_error(asio::use_awaitable, failed));
        broken_ = static_cast<bool>(failed);
    }

    asio::awaitable<bool> write(std::string_view piece) override
    {
        if (piece.empty() || broken_)
        {
            co_return !broken_;
        }
        co_await write_raw(chunk_of(piece));
        co_return !broken_;
    }

    asio::awaitable<void> finish() override
    {
        co_await write_raw("0\r\n\r\n");
        keep_alive_ = keep_alive_ && !broken_;
    }

    void abandon() override
    {
        broken_ = true;
        keep_alive_ = false;
        stream_.close();
    }

    asio::awaitable<void> gone() override
    {
        tcp::socket& socket = stream_.socket();
        error_code failed;
        co_await socket.async_wait(
            tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, failed));
        char byte = 0;
        const bool open =
            !failed &&
            socket.receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, failed) > 0;
        if (open && !failed)
        {
            // The caller sends its next request early; a later loss of the
            // connection is noticed by writing to it.
            co_await sleep_for(pipelined_wait_);
        }
    }

    bool keep_alive() const
    {
        return keep_alive_ && !broken_;
    }

private:
    static constexpr core::duration pipelined_wait_{24 * 3'600'000};

    asio::awaitable<void> write_raw(std::string data)
    {
        if (broken_)
        {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await asio::async_write(
            stream_,
            asio::buffer(data),
            asio::redirect_error(asio::use_awaitable, failed));
        broken_ = static_cast<bool>(failed);
    }

    template <class Answer>
    void fill(Answer& answer, int status, const header_list& headers)
    {
        answer.version(11);
        answer.result(static_cast<unsigned>(status));
        for (const auto& [key, text] : headers)
        {
            answer.insert(key, text);
        }
        keep_alive_ = keep_alive_ && !closing_;
        answer.keep_alive(keep_alive_);
    }

    beast::tcp_stream& stream_;
    const http_limits& limits_;
    const bool& closing_;
    bool keep_alive_;
    bool broken_ = false;
};

http_request take_request(
    http::request<http::string_body>& message, std::string remote)
{
    http_request request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.remote_ = std::move(remote);
    for (const auto& field : message)
    {
        request.headers_.emplace_back(field.name_string(), field.value());
    }
    request.body_ = std::move(message.body());
    return request;
}

int status_of_read_error(const error_code& failed)
{
    if (failed == http::error::body_limit)
    {
        return 413;
    }
    return failed == http::error::header_limit ? 431 : 400;
}

/// Tells a caller whose bytes were no request; nothing of it ran.
asio::awaitable<void> refuse_bytes(
    beast::tcp_stream& stream, const error_code& failed)
{
    http::response<http::string_body> answer;
    answer.version(11);
    answer.result(static_cast<unsigned>(status_of_read_error(failed)));
    answer.set("Content-Type", "application/json");
    answer.keep_alive(false);
    answer.body() = R"({"error":{"code":"bad_request","message":"The request)"
                    R"( could not be read.","not_run":true}})";
    answer.prepare_payload();
    error_code ignored;
    co_await http::async_write(
        stream, answer, asio::redirect_error(asio::use_awaitable, ignored));
}

bool is_bad_input(const error_code& failed)
{
    return failed.category() ==
               make_error_code(http::error::bad_method).category() &&
           failed != http::error::end_of_stream &&
           failed != http::error::partial_message;
}

/// Reads the next request of a connection.
asio::awaitable<bool> read_request(
    http_server::state& shared,
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser)
{
    parser.header_limit(
        static_cast<std::uint32_t>(shared.limits_.header_bytes_));
    parser.body_limit(shared.limits_.body_bytes_);
    error_code failed;
    if (buffer.size() == 0)
    {
        shared.idle_.insert(&stream);
        stream.expires_after(shared.limits_.idle_timeout_.chrono());
        co_await stream.socket().async_wait(
            tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, failed));
        shared.idle_.erase(&stream);
        if (failed)
        {
            co_return false;
        }
    }
    stream.expires_after(shared.limits_.read_timeout_.chrono());
    co_await http::async_read(
        stream,
        buffer,
        parser,
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed && is_bad_input(failed))
    {
        co_await refuse_bytes(stream, failed);
    }
    co_return !failed;
}

/// Ends a connection so that the last answer arrives: closing with unread
/// bytes would reset it.
asio::awaitable<void> linger(beast::tcp_stream& stream)
{
    static constexpr core::duration longest_linger{500};
    error_code failed;
    stream.socket().shutdown(tcp::socket::shutdown_send, failed);
    stream.expires_after(longest_linger.chrono());
    std::array<char, 1024> dropped{};
    while (!failed)
    {
        co_await stream.async_read_some(
            asio::buffer(dropped),
            asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<void> serve(
    std::shared_ptr<http_server::state> shared, tcp::socket socket)
{
    const core::counted open(shared->open_);
    error_code ignored;
    const std::string remote =
        socket.remote_endpoint(ignored).address().to_string();
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool more = true;
    while (more && !shared->stopping_)
    {
        http::request_parser<http::string_body> parser;
        const bool got = co_await read_request(*shared, stream, buffer, parser);
        if (!got)
        {
            break;
        }
        stream.expires_never();
        const bool keep_alive = parser.get().keep_alive();
        beast_exchange exchange(
            stream, *shared, take_request(parser.get(), remote), keep_alive);
        const core::counted active(shared->active_);
        co_await shared->handler_(exchange);
        more = exchange.keep_alive();
    }
    co_await linger(stream);
}

asio::awaitable<void> accept_loop(std::shared_ptr<http_server::state> shared)
{
    static constexpr core::duration retry_after{20};
    while (!shared->stopping_)
    {
        error_code failed;
        tcp::socket socket = co_await shared->acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
        {
            // Out of file handles, most likely: give connections time to end.
            co_await sleep_for(retry_after);
            continue;
        }
        if (shared->open_ >= shared->limits_.connections_)
        {
            continue;
        }
        spawn(shared->context_, serve(shared, std::move(socket)));
    }
}

} // namespace

std::string_view find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [key, text] : headers)
    {
        if (beast::iequals(key, name))
        {
            return text;
        }
    }
    return {};
}

void http_exchange::take_latch()
{
    core::check_invariant(!opened_, "no request is answered twice");
    opened_ = true;
}

tcp::endpoint parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        throw std::invalid_argument("an address is ip:port: " + address);
    }
    const int port = std::stoi(address.substr(colon + 1));
    return {
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(port)};
}

http_server::http_server(
    asio::io_context& context,
    const std::string& address,
    http_limits limits,
    http_handler handler)
    : state_(std::make_shared<state>(
          context, parse_endpoint(address), limits, std::move(handler)))
{
}

void http_server::start()
{
    spawn(state_->context_, accept_loop(state_));
}

void http_server::stop_accepting()
{
    state_->stopping_ = true;
    error_code ignored;
    state_->acceptor_.close(ignored);
    for (beast::tcp_stream* stream : state_->idle_)
    {
        stream->close();
    }
}

void http_server::announce_close()
{
    state_->closing_ = true;
}

void http_server::set_limits(http_limits limits)
{
    state_->limits_ = limits;
}

std::size_t http_server::connections() const
{
    return state_->open_;
}

std::size_t http_server::active_requests() const
{
    return state_->active_;
}

} // namespace poplarroute::drivers
