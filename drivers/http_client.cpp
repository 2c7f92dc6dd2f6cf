#include "drivers/http_client.hpp"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace poplarroute::drivers
{

namespace beast = boost::beast;
namespace http = beast::http;
using core::errc;
using core::error;

namespace
{

constexpr std::size_t kept_per_address = 64;
constexpr core::duration connect_timeout{1'000};
constexpr std::size_t reply_limit = 16 * 1024 * 1024;

struct connection
{
    explicit connection(asio::io_context& context) : stream_(context) {}

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
};

using connection_ptr = std::unique_ptr<connection>;

error failure_of(const error_code& failed)
{
    const errc code =
        failed == beast::error::timeout ? errc::timeout : errc::broken;
    return {code, failed.message()};
}

} // namespace

struct http_client::pool
{
    explicit pool(asio::io_context& context) : context_(context) {}

    void keep(const std::string& address, connection_ptr used)
    {
        auto& idle = idle_[address];
        if (idle.size() < kept_per_address)
        {
            idle.push_back(std::move(used));
        }
    }

    /// \return a kept connection that the other side has not closed.
    connection_ptr take(const std::string& address)
    {
        auto& idle = idle_[address];
        while (!idle.empty())
        {
            connection_ptr found = std::move(idle.back());
            idle.pop_back();
            if (still_open(*found))
            {
                return found;
            }
        }
        return nullptr;
    }

    asio::io_context& context_;
    std::map<std::string, std::deque<connection_ptr>> idle_;

private:
    static bool still_open(connection& kept)
    {
        tcp::socket& socket = kept.stream_.socket();
        error_code failed;
        socket.non_blocking(true, failed);
        char byte = 0;
        socket.receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
        return failed == asio::error::would_block;
    }
};

namespace
{

asio::awaitable<core::result<connection_ptr>> connect(
    http_client::pool& pool, const std::string& address)
{
    connection_ptr ready = pool.take(address);
    if (ready)
    {
        co_return std::move(ready);
    }
    ready = std::make_unique<connection>(pool.context_);
    ready->stream_.expires_after(connect_timeout.chrono());
    error_code failed;
    co_await ready->stream_.async_connect(
        parse_endpoint(address),
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
    {
        co_return error{errc::unreachable, failed.message()};
    }
    ready->stream_.socket().set_option(tcp::no_delay(true), failed);
    co_return std::move(ready);
}

http::request<http::string_body> message_of(const http_call& call)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(call.method_);
    message.target(call.target_);
    message.set(http::field::host, call.address_);
    for (const auto& [key, text] : call.headers_)
    {
        message.set(key, text);
    }
    message.body() = call.body_;
    message.prepare_payload();
    return message;
}

asio::awaitable<core::result<connection_ptr>> send(
    http_client::pool& pool, const http_call& call)
{
    core::result<connection_ptr> connected =
        co_await connect(pool, call.address_);
    if (!core::is_ok(connected))
    {
        co_return std::move(connected);
    }
    connection& out = *core::value(connected);
    const http::request<http::string_body> message = message_of(call);
    out.stream_.expires_after(call.timeout_.chrono());
    error_code failed;
    co_await http::async_write(
        out.stream_,
        message,
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
    {
        co_return failure_of(failed);
    }
    co_return std::move(connected);
}

class beast_stream final : public http_stream
{
public:
    beast_stream(
        std::shared_ptr<http_client::pool> pool,
        std::string address,
        connection_ptr used)
        : pool_(std::move(pool)),
          address_(std::move(address)),
          used_(std::move(used))
    {
        parser_.body_limit(boost::none);
    }

    asio::awaitable<error_code> read_header()
    {
        error_code failed;
        co_await http::async_read_header(
            used_->stream_,
            used_->buffer_,
            parser_,
            asio::redirect_error(asio::use_awaitable, failed));
        co_return failed;
    }

    int status() const override
    {
        return static_cast<int>(parser_.get().result_int());
    }

    asio::awaitable<core::result<std::optional<std::string>>> next_line(
        core::duration timeout) override
    {
        for (;;)
        {
            if (std::optional<std::string> line = take_line())
            {
                co_return std::move(line);
            }
            if (parser_.is_done())
            {
                keep_connection();
                co_return std::optional<std::string>();
            }
            used_->stream_.expires_after(timeout.chrono());
            error_code failed;
            co_await http::async_read_some(
                used_->stream_,
                used_->buffer_,
                parser_,
                asio::redirect_error(asio::use_awaitable, failed));
            if (failed)
            {
                co_return failure_of(failed);
            }
            pending_ += parser_.get().body();
            parser_.get().body().clear();
        }
    }

private:
    std::optional<std::string> take_line()
    {
        const std::size_t end = pending_.find('\n');
        if (end == std::string::npos)
        {
            return std::nullopt;
        }
        std::string line = pending_.substr(0, end);
        pending_.erase(0, end + 1);
        return line;
    }

    void keep_connection()
    {
        if (used_ && parser_.get().keep_alive())
        {
            used_->stream_.expires_never();
            pool_->keep(address_, std::move(used_));
        }
    }

    std::shared_ptr<http_client::pool> pool_;
    std::string address_;
    connection_ptr used_;
    http::response_parser<http::string_body> parser_;
    std::string pending_;
};

} // namespace

http_client::http_client(asio::io_context& context)
    : pool_(std::make_shared<pool>(context))
{
}

asio::awaitable<core::result<http_reply>> http_client::request(http_call call)
{
    core::result<connection_ptr> sent = co_await send(*pool_, call);
    if (!core::is_ok(sent))
    {
        co_return core::failure(sent);
    }
    connection_ptr used = std::move(core::value(sent));
    http::response_parser<http::string_body> parser;
    parser.body_limit(reply_limit);
    error_code failed;
    co_await http::async_read(
        used->stream_,
        used->buffer_,
        parser,
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
    {
        co_return failure_of(failed);
    }
    http_reply reply;
    reply.status_ = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get())
    {
        reply.headers_.emplace_back(field.name_string(), field.value());
    }
    reply.body_ = std::move(parser.get().body());
    if (parser.get().keep_alive())
    {
        used->stream_.expires_never();
        pool_->keep(call.address_, std::move(used));
    }
    co_return reply;
}

asio::awaitable<core::result<std::unique_ptr<http_stream>>> http_client::open(
    http_call call)
{
    core::result<connection_ptr> sent = co_await send(*pool_, call);
    if (!core::is_ok(sent))
    {
        co_return core::failure(sent);
    }
    auto stream = std::make_unique<beast_stream>(
        pool_, call.address_, std::move(core::value(sent)));
    const error_code failed = co_await stream->read_header();
    if (failed)
    {
        co_return failure_of(failed);
    }
    co_return std::unique_ptr<http_stream>(std::move(stream));
}

asio::awaitable<bool> http_client::until_closed(std::string address)
{
    beast::tcp_stream stream(pool_->context_);
    stream.expires_after(connect_timeout.chrono());
    error_code failed;
    co_await stream.async_connect(
        parse_endpoint(address),
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
    {
        co_return false;
    }
    stream.expires_never();
    char byte = 0;
    co_await stream.async_read_some(
        asio::buffer(&byte, 1),
        asio::redirect_error(asio::use_awaitable, failed));
    co_return true;
}

} // namespace poplarroute::drivers
