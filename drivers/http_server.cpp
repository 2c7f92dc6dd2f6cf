#include "drivers/http_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include "core/counted.hpp"
#include "core/invariant.hpp"
#include "drivers/log.hpp"
#include "drivers/request_framing.hpp"

namespace poplarroute::drivers
{

namespace beast = boost::beast;

struct http_server::state
{
    state(
        asio::io_context& context,
        const tcp::endpoint& at,
        http_limits limits,
        http_handler handler,
        connection_group_ptr group)
        : context_(context),
          acceptor_(context, at),
          limits_(limits),
          handler_(std::move(handler)),
          group_(std::move(group))
    {
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    http_limits limits_;
    http_handler handler_;
    connection_group_ptr group_;
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

/// What an open connection takes besides what it receives: coroutines, stream
/// and bookkeeping.
constexpr std::size_t connection_cost_bytes = 4 * 1024;

/// Time to send a refusal.
constexpr core::duration max_refusal_time{500};

/// Responses up to this size are not counted.
constexpr std::size_t small_response_bytes = 4 * 1024;

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
        held_connection& held,
        http_request request,
        bool keep_alive)
        : stream_(stream),
          held_(held),
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
        if (limits_.counts_responses_ && body.size() > small_response_bytes &&
            !held_.hold_body(request_.body_.size() + body.size()))
        {
            held_.group().report("response_memory", held_.remote());
            status = status_unavailable;
            headers = {{"Retry-After", "1"}};
            body.clear();
        }
        const bool has_body = !is_bodiless(status) && !asks_for_head();
        keep_alive_ = keep_alive_ && !keep_alive_disabled_;
        body_framing framing;
        if (has_body)
        {
            framing.length_ = body.size();
        }
        else
        {
            body.clear();
        }
        const std::string head =
            format_response_head(status, headers, framing, keep_alive_);
        const std::array<asio::const_buffer, 2> bytes{
            asio::buffer(head), asio::buffer(body)};
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await asio::async_write(
            stream_, bytes, asio::redirect_error(asio::use_awaitable, failed));
        report_unread(failed);
        keep_alive_ = keep_alive_ && !failed;
    }

    asio::awaitable<void> start_stream(int status, header_list headers) override
    {
        mark_response_started();
        has_stream_body_ = !is_bodiless(status) && !asks_for_head();
        keep_alive_ = keep_alive_ && !keep_alive_disabled_;
        const std::string head = format_response_head(
            status, headers, {std::nullopt, has_stream_body_}, keep_alive_);
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await asio::async_write(
            stream_,
            asio::buffer(head),
            asio::redirect_error(asio::use_awaitable, failed));
        report_unread(failed);
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
        if (connection_broken_ || !has_stream_body_)
        {
            co_return;
        }
        stream_.expires_after(limits_.write_timeout_.chrono());
        error_code failed;
        co_await asio::async_write(
            stream_,
            asio::buffer(data),
            asio::redirect_error(asio::use_awaitable, failed));
        report_unread(failed);
        connection_broken_ = static_cast<bool>(failed);
    }

    void report_unread(const error_code& failed)
    {
        if (failed == beast::error::timeout)
        {
            held_.group().report("write_timeout", held_.remote());
        }
    }

    /// \return whether the response must not have a body.
    bool asks_for_head() const
    {
        return request_.method_ == "HEAD";
    }

    beast::tcp_stream& stream_;
    held_connection& held_;
    const http_limits& limits_;
    const bool& keep_alive_disabled_;
    bool keep_alive_;
    bool connection_broken_ = false;
    bool has_stream_body_ = true; ///< Of a response that is streamed.
};

/// Sends an error response to a request that is not read, and states that
/// nothing was run.
/// \param error JSON members that say what is wrong.
asio::awaitable<void> reject_unread_request(
    beast::tcp_stream& stream, int status, std::string_view error)
{
    header_list headers{{"Content-Type", "application/json"}};
    if (status == status_unavailable)
    {
        headers.emplace_back("Retry-After", "1");
    }
    const std::string body =
        "{\"error\":{" + std::string(error) + ",\"not_run\":true}}";
    const std::string message =
        format_response_head(status, headers, {body.size()}, false) + body;
    error_code ignored;
    co_await asio::async_write(
        stream,
        asio::buffer(message),
        asio::redirect_error(asio::use_awaitable, ignored));
}

constexpr request_refusal no_memory{
    "memory",
    status_unavailable,
    R"("code":"overloaded","message":"Too many large requests.")"};

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

/// A request that has been read.
struct read_result
{
    http_request request_;
    bool keep_alive_ = false;
};

request_limits limits_of_request(const http_limits& limits)
{
    return {limits.header_bytes_, limits.body_bytes_, limits.framing_bytes_};
}

/// Reads one request, within the limits of the server and the group.
class request_reader
{
public:
    request_reader(
        const http_limits& limits,
        beast::tcp_stream& stream,
        beast::flat_buffer& buffer,
        held_connection& held)
        : read_timeout_(limits.read_timeout_),
          stream_(stream),
          buffer_(buffer),
          held_(held),
          framing_(limits_of_request(limits), buffer, held.remote())
    {
    }

    /// \return the request; nothing if the connection has to be closed.
    asio::awaitable<std::optional<read_result>> read()
    {
        stream_.expires_after(read_timeout_.chrono());
        std::optional<request_refusal> refused = parse();
        while (!refused && !framing_.is_done())
        {
            const bool received = co_await receive();
            if (!received && !held_.ended())
            {
                co_return std::nullopt;
            }
            refused = parse();
        }
        if (refused)
        {
            co_await refuse(*refused);
            co_return std::nullopt;
        }
        const bool keep_alive = framing_.keep_alive();
        co_return read_result{framing_.take(), keep_alive};
    }

private:
    /// \return whether bytes have arrived.
    asio::awaitable<bool> receive()
    {
        error_code failed;
        const std::size_t received = co_await stream_.async_read_some(
            framing_.prepare(),
            asio::redirect_error(asio::use_awaitable, failed));
        buffer_.commit(received);
        if (failed == beast::error::timeout)
        {
            held_.group().report("request_timeout", held_.remote());
        }
        co_return !failed;
    }

    std::optional<request_refusal> parse()
    {
        const std::optional<request_refusal> refused = framing_.parse();
        const bool has_room =
            held_.hold(connection_cost_bytes + framing_.held_bytes()) &&
            held_.hold_body(framing_.body_bytes());
        if (!refused && !has_room)
        {
            return no_memory;
        }
        return refused;
    }

    asio::awaitable<void> refuse(request_refusal refused)
    {
        if (!held_.ended())
        {
            held_.group().report(refused.reason_, held_.remote());
        }
        stream_.expires_after(max_refusal_time.chrono());
        co_await reject_unread_request(
            stream_, refused.status_, refused.error_);
    }

    core::duration read_timeout_;
    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    held_connection& held_;
    request_framing framing_;
};

/// Reads the next request of a connection.
/// \return the request; nothing if the connection has to be closed.
asio::awaitable<std::optional<read_result>> read_request(
    http_server::state& shared,
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    held_connection& held)
{
    if (buffer.size() == 0)
    {
        held.enter(held_connection::phase::idle);
        const bool arrives = co_await wait_for_request(shared, stream);
        if (!arrives || held.ended())
        {
            co_return std::nullopt;
        }
    }
    held.enter(held_connection::phase::arriving);
    request_reader reader(shared.limits_, stream, buffer, held);
    std::optional<read_result> out = co_await reader.read();
    co_return out;
}

/// Runs the handler of a request. An exception, such as one for lack of memory,
/// ends this connection only.
asio::awaitable<void> handle(
    http_server::state& shared, http_exchange& exchange)
{
    try
    {
        co_await shared.handler_(exchange);
        co_return;
    }
    catch (const std::exception&)
    {
        report_exception("handler", std::current_exception());
    }
    log_event(
        log_level::error,
        "handler_failed",
        {{"target", exchange.request().target_}});
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

/// Ends a connection for its group. A request that is being read is refused
/// first.
bool end_connection(beast::tcp_stream& stream, held_connection::phase phase)
{
    error_code ignored;
    if (phase == held_connection::phase::idle)
    {
        if (stream.socket().available(ignored) > 0)
        {
            return false;
        }
        stream.close();
        return true;
    }
    stream.cancel();
    return true;
}

/// Serves the requests of a connection until it has to be closed.
asio::awaitable<void> serve_requests(
    http_server::state& shared,
    beast::tcp_stream& stream,
    held_connection& held)
{
    beast::flat_buffer buffer;
    // A connection that is accepted while the server stops may still send one
    // request.
    bool keep_open = true;
    bool is_first = true;
    while (keep_open && (is_first || !shared.stopping_))
    {
        is_first = false;
        std::optional<read_result> read =
            co_await read_request(shared, stream, buffer, held);
        if (!read)
        {
            break;
        }
        stream.expires_never();
        held.enter(held_connection::phase::running);
        if (buffer.size() == 0)
        {
            buffer.shrink_to_fit();
        }
        beast_exchange exchange(
            stream, shared, held, std::move(read->request_), read->keep_alive_);
        const core::counted active(shared.active_requests_);
        co_await handle(shared, exchange);
        keep_open = exchange.keep_alive();
        held.hold_body(0);
        held.hold(connection_cost_bytes + buffer.capacity());
    }
}

asio::awaitable<void> serve(
    std::shared_ptr<http_server::state> shared, tcp::socket socket)
{
    const core::counted open(shared->open_connections_);
    error_code ignored;
    std::string remote = socket.remote_endpoint(ignored).address().to_string();
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    held_connection held(
        shared->group_,
        std::move(remote),
        [&stream](held_connection::phase phase)
        {
            return end_connection(stream, phase);
        });
    if (!held.hold(connection_cost_bytes))
    {
        shared->group_->report("memory", held.remote());
        co_return;
    }
    std::exception_ptr thrown;
    try
    {
        co_await serve_requests(*shared, stream, held);
    }
    catch (const std::exception&)
    {
        thrown = std::current_exception();
    }
    if (thrown)
    {
        shared->group_->report("exception", held.remote());
        report_exception(shared->group_->listener(), thrown);
        co_return;
    }
    if (held.ended())
    {
        co_return;
    }
    held.enter(held_connection::phase::arriving);
    co_await lingering_close(stream);
}

/// Accepts the connections that wait in the kernel's queue. Closing the
/// listening socket would reset them, although their requests may have been
/// sent.
void accept_pending(const std::shared_ptr<http_server::state>& shared)
{
    error_code failed;
    shared->acceptor_.non_blocking(true, failed);
    while (!failed && shared->group_->admit())
    {
        tcp::socket socket(shared->context_);
        shared->acceptor_.accept(socket, failed);
        if (!failed)
        {
            spawn_task(
                shared->context_,
                "connection",
                serve(shared, std::move(socket)));
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
        if (!shared->group_->admit())
        {
            error_code ignored;
            shared->group_->report(
                "connections",
                socket.remote_endpoint(ignored).address().to_string());
            continue;
        }
        spawn_task(
            shared->context_, "connection", serve(shared, std::move(socket)));
    }
}

} // namespace

void http_exchange::mark_response_started()
{
    core::check_invariant(
        !response_started_, "a request gets only one response");
    response_started_ = true;
}

std::optional<tcp::endpoint> find_endpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto read =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    error_code failed;
    const asio::ip::address ip =
        asio::ip::make_address(std::string(address.substr(0, colon)), failed);
    if (failed || read.ec != std::errc() ||
        read.ptr != digits.data() + digits.size())
    {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

tcp::endpoint parse_endpoint(const std::string& address)
{
    if (const std::optional<tcp::endpoint> parsed = find_endpoint(address))
    {
        return *parsed;
    }
    throw boost::system::system_error(
        asio::error::invalid_argument,
        "not an address of the form ip:port: " + address);
}

http_server::http_server(
    asio::io_context& context,
    const std::string& address,
    http_limits limits,
    http_handler handler,
    byte_budget_ptr budget)
    : http_server(
          context,
          address,
          limits,
          std::move(handler),
          std::make_shared<connection_group>(
              "http",
              listener_limits{limits.max_connections_, default_budget_bytes},
              budget ? std::move(budget)
                     : std::make_shared<byte_budget>(default_budget_bytes)))
{
}

http_server::http_server(
    asio::io_context& context,
    const std::string& address,
    http_limits limits,
    http_handler handler,
    connection_group_ptr group)
    : state_(std::make_shared<state>(
          context,
          parse_endpoint(address),
          limits,
          std::move(handler),
          std::move(group)))
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
