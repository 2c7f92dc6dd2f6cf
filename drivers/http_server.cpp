#include "drivers/http_server.hpp"

#include <array>
#include <chrono>
#include <set>
#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/counted.hpp"
#include "core/invariant.hpp"
#include "drivers/appended_body.hpp"
#include "drivers/log.hpp"

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
        http_handler handler,
        byte_budget_ptr budget)
        : context_(context),
          acceptor_(context, at),
          limits_(limits),
          handler_(std::move(handler)),
          budget_(std::move(budget))
    {
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    http_limits limits_;
    http_handler handler_;
    byte_budget_ptr budget_;
    bool stopping_ = false;
    bool keep_alive_disabled_ = false; ///< Each response closes its connection.
    std::size_t active_requests_ = 0;
    std::set<beast::tcp_stream*> idle_streams_; ///< Between two requests.
    std::size_t open_connections_ = 0;
};

namespace
{

/// How long a connection that is accepted while the server stops may take to
/// begin its request.
constexpr core::duration stopping_request_wait{500};

/// Budget of a server that is given none.
constexpr std::size_t default_budget_bytes = 64 * 1024 * 1024;

constexpr int status_unavailable = 503;

std::string encode_chunk(std::string_view piece)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string size;
    for (std::size_t remaining = piece.size(); remaining != 0; remaining /= 16)
    {
        size.insert(size.begin(), digits[remaining % 16]);
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
          keep_alive_disabled_(shared.keep_alive_disabled_),
          keep_alive_(keep_alive)
    {
        request_ = std::move(request);
    }

    asio::awaitable<void> send(
        int status, header_list headers, std::string body) override
    {
        mark_response_started();
        http::response<http::string_body> response;
        set_header_fields(response, status, headers);
        response.body() = std::move(body);
        response.prepare_payload();
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await http::async_write(
            stream_,
            response,
            asio::redirect_error(asio::use_awaitable, failed));
        keep_alive_ = keep_alive_ && !failed;
    }

    asio::awaitable<void> start_stream(int status, header_list headers) override
    {
        mark_response_started();
        http::response<http::empty_body> response;
        set_header_fields(response, status, headers);
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await http::async_write_header(
            stream_,
            serializer,
            asio::redirect_error(asio::use_awaitable, failed));
        connection_broken_ = static_cast<bool>(failed);
    }

    asio::awaitable<bool> write(std::string_view piece) override
    {
        if (piece.empty() || connection_broken_)
        {
            co_return !connection_broken_;
        }
        co_await write_raw(encode_chunk(piece));
        co_return !connection_broken_;
    }

    asio::awaitable<void> finish() override
    {
        co_await write_raw("0\r\n\r\n");
        keep_alive_ = keep_alive_ && !connection_broken_;
    }

    void abort_response() override
    {
        connection_broken_ = true;
        keep_alive_ = false;
        stream_.close();
    }

    asio::awaitable<void> gone() override
    {
        tcp::socket& socket = stream_.socket();
        for (;;)
        {
            error_code failed;
            co_await socket.async_wait(
                tcp::socket::wait_read,
                asio::redirect_error(asio::use_awaitable, failed));
            if (failed || is_abandoned())
            {
                co_return;
            }
            if (has_unread_bytes())
            {
                // The caller has sent its next request before the response. If
                // the connection is lost later, writing to it fails.
                co_await sleep_for(pipelined_request_wait_);
            }
        }
    }

    bool is_abandoned() override
    {
        error_code failed;
        const std::size_t size = peek(failed);
        return failed ? failed != asio::error::would_block : size == 0;
    }

    bool keep_alive() const
    {
        return keep_alive_ && !connection_broken_;
    }

private:
    static constexpr core::duration pipelined_request_wait_{24 * 3'600'000};

    std::size_t peek(error_code& failed)
    {
        char byte = 0;
        stream_.socket().non_blocking(true, failed);
        return stream_.socket().receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    }

    bool has_unread_bytes()
    {
        error_code failed;
        return peek(failed) > 0 && !failed;
    }

    asio::awaitable<void> write_raw(std::string data)
    {
        if (connection_broken_)
        {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await asio::async_write(
            stream_,
            asio::buffer(data),
            asio::redirect_error(asio::use_awaitable, failed));
        connection_broken_ = static_cast<bool>(failed);
    }

    template <class Response>
    void set_header_fields(
        Response& response, int status, const header_list& headers)
    {
        response.version(11);
        response.result(static_cast<unsigned>(status));
        for (const auto& [key, text] : headers)
        {
            response.insert(key, text);
        }
        keep_alive_ = keep_alive_ && !keep_alive_disabled_;
        response.keep_alive(keep_alive_);
    }

    beast::tcp_stream& stream_;
    const http_limits& limits_;
    const bool& keep_alive_disabled_;
    bool keep_alive_;
    bool connection_broken_ = false;
};

http_request to_http_request(
    http::request<appended_body>& message, std::string remote)
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

/// Sends an error response to a request that is not read, and states that
/// nothing was run.
/// \param error JSON members that say what is wrong.
asio::awaitable<void> reject_unread_request(
    beast::tcp_stream& stream, int status, std::string_view error)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    response.set("Content-Type", "application/json");
    if (status == status_unavailable)
    {
        response.set("Retry-After", "1");
    }
    response.keep_alive(false);
    response.body() = "{\"error\":{";
    response.body() += error;
    response.body() += ",\"not_run\":true}}";
    response.prepare_payload();
    error_code ignored;
    co_await http::async_write(
        stream, response, asio::redirect_error(asio::use_awaitable, ignored));
}

bool is_malformed_request(const error_code& failed)
{
    return failed.category() ==
               make_error_code(http::error::bad_method).category() &&
           failed != http::error::end_of_stream &&
           failed != http::error::partial_message;
}

/// Waits until a request begins to arrive on an idle connection.
/// \return whether one does.
asio::awaitable<bool> wait_for_request(
    http_server::state& shared, beast::tcp_stream& stream)
{
    using namespace asio::experimental::awaitable_operators;
    if (shared.stopping_)
    {
        const auto woken = co_await (
            stream.socket().async_wait(
                tcp::socket::wait_read, asio::as_tuple(asio::use_awaitable)) ||
            sleep_for(stopping_request_wait));
        co_return woken.index() == 0 && !std::get<0>(std::get<0>(woken));
    }
    shared.idle_streams_.insert(&stream);
    stream.expires_after(shared.limits_.idle_timeout_.chrono());
    error_code failed;
    co_await stream.socket().async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, failed));
    shared.idle_streams_.erase(&stream);
    co_return !failed;
}

/// Reads the next request of a connection.
/// \param held counts its body towards the budget.
/// \return whether a request was read.
asio::awaitable<bool> read_request(
    http_server::state& shared,
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    http::request_parser<appended_body>& parser,
    byte_hold& held)
{
    parser.header_limit(
        static_cast<std::uint32_t>(shared.limits_.header_bytes_));
    parser.body_limit(shared.limits_.body_bytes_);
    error_code failed;
    if (buffer.size() == 0)
    {
        const bool arrives = co_await wait_for_request(shared, stream);
        if (!arrives)
        {
            co_return false;
        }
    }
    stream.expires_after(shared.limits_.read_timeout_.chrono());
    co_await http::async_read_header(
        stream,
        buffer,
        parser,
        asio::redirect_error(asio::use_awaitable, failed));
    while (!failed && !parser.is_done())
    {
        co_await http::async_read_some(
            stream,
            buffer,
            parser,
            asio::redirect_error(asio::use_awaitable, failed));
        if (!failed && !held.resize(parser.get().body().size()))
        {
            co_await reject_unread_request(
                stream,
                status_unavailable,
                R"("code":"overloaded","message":"Too many large requests.")");
            co_return false;
        }
    }
    if (failed && is_malformed_request(failed))
    {
        co_await reject_unread_request(
            stream,
            status_of_read_error(failed),
            R"("code":"bad_request","message":"The request could not be read.")");
    }
    co_return !failed;
}

/// Runs the handler of a request. An exception, such as one for lack of memory,
/// ends this connection only.
asio::awaitable<void> handle(
    http_server::state& shared, http_exchange& exchange)
{
    std::string problem;
    try
    {
        co_await shared.handler_(exchange);
        co_return;
    }
    catch (const std::exception& thrown)
    {
        problem = thrown.what();
    }
    log_event(
        log_level::error,
        "handler_failed",
        {{"target", exchange.request().target_}, {"problem", problem}});
    exchange.abort_response();
}

/// Closes a connection after its unread bytes have been discarded. Closing with
/// unread bytes would reset the connection, and the last response could be
/// lost.
asio::awaitable<void> lingering_close(beast::tcp_stream& stream)
{
    static constexpr core::duration max_linger_time{500};
    error_code failed;
    stream.socket().shutdown(tcp::socket::shutdown_send, failed);
    stream.expires_after(max_linger_time.chrono());
    std::array<char, 1024> discarded{};
    while (!failed)
    {
        co_await stream.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, failed));
    }
}

asio::awaitable<void> serve(
    std::shared_ptr<http_server::state> shared, tcp::socket socket)
{
    const core::counted open(shared->open_connections_);
    error_code ignored;
    const std::string remote =
        socket.remote_endpoint(ignored).address().to_string();
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    // A connection that is accepted while the server stops may still send one
    // request.
    bool keep_open = true;
    bool is_first = true;
    while (keep_open && (is_first || !shared->stopping_))
    {
        is_first = false;
        http::request_parser<appended_body> parser;
        byte_hold held(shared->budget_);
        const bool is_complete =
            co_await read_request(*shared, stream, buffer, parser, held);
        if (!is_complete)
        {
            break;
        }
        stream.expires_never();
        const bool keep_alive = parser.get().keep_alive();
        beast_exchange exchange(
            stream, *shared, to_http_request(parser.get(), remote), keep_alive);
        const core::counted active(shared->active_requests_);
        co_await handle(*shared, exchange);
        keep_open = exchange.keep_alive();
    }
    co_await lingering_close(stream);
}

/// Accepts the connections that wait in the kernel's queue. Closing the
/// listening socket would reset them, although their requests may have been
/// sent.
void accept_pending(const std::shared_ptr<http_server::state>& shared)
{
    error_code failed;
    shared->acceptor_.non_blocking(true, failed);
    while (!failed &&
           shared->open_connections_ < shared->limits_.max_connections_)
    {
        tcp::socket socket(shared->context_);
        shared->acceptor_.accept(socket, failed);
        if (!failed)
        {
            spawn(shared->context_, serve(shared, std::move(socket)));
        }
    }
}

asio::awaitable<void> accept_loop(std::shared_ptr<http_server::state> shared)
{
    static constexpr core::duration accept_retry_delay{20};
    while (!shared->stopping_)
    {
        error_code failed;
        tcp::socket socket = co_await shared->acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
        {
            // Most likely there are no file descriptors left: wait for other
            // connections to close.
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        if (shared->open_connections_ >= shared->limits_.max_connections_)
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

void http_exchange::mark_response_started()
{
    core::check_invariant(
        !response_started_, "a request gets only one response");
    response_started_ = true;
}

tcp::endpoint parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        throw std::invalid_argument(
            "not an address of the form ip:port: " + address);
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
    http_handler handler,
    byte_budget_ptr budget)
    : state_(std::make_shared<state>(
          context,
          parse_endpoint(address),
          limits,
          std::move(handler),
          budget ? std::move(budget)
                 : std::make_shared<byte_budget>(default_budget_bytes)))
{
}

void http_server::start()
{
    spawn(state_->context_, accept_loop(state_));
}

void http_server::stop_accepting()
{
    state_->stopping_ = true;
    accept_pending(state_);
    error_code ignored;
    state_->acceptor_.close(ignored);
    for (beast::tcp_stream* stream : state_->idle_streams_)
    {
        // A request that has arrived, but is not read yet, is still answered.
        const bool has_request = stream->socket().available(ignored) > 0;
        if (!has_request)
        {
            stream->close();
        }
    }
}

void http_server::disable_keep_alive()
{
    state_->keep_alive_disabled_ = true;
}

void http_server::set_limits(http_limits limits)
{
    state_->limits_ = limits;
}

std::size_t http_server::connections() const
{
    return state_->open_connections_;
}

std::size_t http_server::active_requests() const
{
    return state_->active_requests_;
}

} // namespace poplarroute::drivers
