#include "drivers/http_client.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <set>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http/error.hpp>

#include "core/digest.hpp"
#include "drivers/log.hpp"
#include "drivers/message_parser.hpp"

namespace poplarroute::drivers
{

namespace beast = boost::beast;
namespace http = beast::http;
using core::errc;
using core::error;

namespace
{

constexpr std::size_t max_idle_connections_per_address = 64;

/// Budget of a client that is given none.
constexpr std::size_t default_budget_bytes = 24 * 1024 * 1024;

/// Longest line that next_line() reads.
constexpr std::size_t max_line_bytes = 1024 * 1024;

/// Longest idle time of a server that is believed.
constexpr std::int64_t max_keep_alive_seconds = 3'600;

/// Limit on what is read ahead of the parser, which bounds headers, chunk
/// extensions and trailers.
constexpr std::size_t max_read_ahead_bytes = 64 * 1024;

/// A whole body may take this many bytes more than half as much again on the
/// wire. Chunks of single bytes would keep the process busy.
constexpr std::size_t max_framing_bytes = 64 * 1024;

/// Limit on the body of a response to another request, which is skipped.
constexpr std::size_t max_skipped_bytes = 1024 * 1024;

/// How long an idle connection is reused if the server states no timeout. The
/// shortest idle timeout in common use is 5 s.
constexpr core::duration default_idle_limit{4'000};

/// Subtracted from the idle timeout that a server states, for the time until a
/// request arrives there.
constexpr core::duration idle_margin{700};

/// A connection is closed when sent bytes are not acknowledged within this
/// time, so that an unresponsive peer is detected before most callers'
/// deadlines.
constexpr int tcp_user_timeout_ms = 1'500;

/// Largest read from a connection.
constexpr std::size_t read_bytes = 16 * 1024;

/// Statuses of the protocol (RFC 9110, 15). A switch of the protocol is never
/// asked for.
constexpr int min_status = 100;
constexpr int switching_status = 101;
constexpr int min_final_status = 200;
constexpr int max_status = 599;

/// Interval at which the delivery of a request is checked after its answer.
constexpr core::duration delivery_check_interval{5};

/// A connection is closed when more informational responses and responses to
/// other requests than this arrive before the response to the current one.
constexpr int max_mismatched_responses = 4;

/// A connection is closed after this many requests that have an id.
constexpr std::size_t max_ids_per_connection = 256;

struct connection
{
    explicit connection(asio::io_context& context) : stream_(context) {}

    bool has_carried(std::uint64_t id) const
    {
        return std::find(ids_.begin(), ids_.end(), id) != ids_.end();
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_read_ahead_bytes};
    core::time_point idle_since_;
    core::time_point usable_until_;
    std::uint64_t number_ = 0;
    std::vector<std::uint64_t> ids_; ///< Digests of the requests' ids.
    /// Of the process at the other end, if it was asked.
    std::optional<std::string> peer_identity_;
    bool reused_ = false;
    bool is_kept_ = true;          ///< Whether another call may use it.
    std::size_t parsed_bytes_ = 0; ///< Of all responses.
    bool writing_ = false;
    error_code write_error_; ///< How the request failed to be written.
};

using connection_ptr = std::shared_ptr<connection>;
using parser_type = message_parser<false>;

error error_from(const error_code& failed)
{
    const errc code =
        failed == beast::error::timeout ? errc::timeout : errc::broken;
    return {code, failed.message()};
}

/// \return an error of a socket that no call has reported yet.
error_code pending_error(tcp::socket& socket)
{
    asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> state;
    error_code failed;
    socket.get_option(state, failed);
    return failed ? failed
                  : error_code(state.value(), boost::system::system_category());
}

/// \return whether bytes wait for the peer's acknowledgement on a connection
/// that may still deliver them.
bool has_unacknowledged_bytes(tcp::socket& socket)
{
    tcp_info state{};
    socklen_t size = sizeof(state);
    const bool is_known =
        ::getsockopt(
            socket.native_handle(), IPPROTO_TCP, TCP_INFO, &state, &size) == 0;
    int bytes = 0;
    return is_known && state.tcpi_state != TCP_CLOSE &&
           ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/// \return whether a response is one that the protocol allows here: with a
/// status of the protocol, and a body whose end is certain, in no coding that
/// was not asked for.
bool is_acceptable(const parser_type& response)
{
    const int status = response.status();
    return status >= min_status && status <= max_status &&
           status != switching_status &&
           !has_doubtful_framing(response.headers(), response.version());
}

/// Returns how long an idle connection may be reused, from "timeout=N" of the
/// Keep-Alive header.
core::duration idle_limit(const header_list& headers)
{
    const std::string_view text = find_header(headers, "Keep-Alive");
    static constexpr std::string_view key = "timeout=";
    const std::size_t at = text.find(key);
    std::int64_t seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(
            text.data() + at + key.size(), text.data() + text.size(), seconds)
                .ec != std::errc())
    {
        return default_idle_limit;
    }
    const core::duration stated{
        std::clamp<std::int64_t>(seconds, 0, max_keep_alive_seconds) * 1'000};
    return stated - idle_margin;
}

/// Passes unread bytes of a connection to a parser. An exception of the parser,
/// such as one for lack of memory, ends this response only.
error_code parse_buffered(connection& used, parser_type& parser)
{
    error_code failed;
    try
    {
        const std::size_t size = parser.put(used.buffer_.data(), failed);
        used.buffer_.consume(size);
        used.parsed_bytes_ += size;
    }
    catch (const std::exception& thrown)
    {
        log_event(
            log_level::error,
            "response_unreadable",
            {{"problem", std::string(thrown.what())}});
        failed = http::error::bad_alloc;
    }
    return failed;
}

/// Reads until a parser has taken the next part of a response: its header, or
/// some of its body.
asio::awaitable<error_code> read_part(connection& used, parser_type& parser)
{
    for (;;)
    {
        error_code failed = http::error::need_more;
        if (used.buffer_.size() > 0)
        {
            failed = parse_buffered(used, parser);
        }
        if (failed != http::error::need_more)
        {
            co_return failed;
        }
        const std::size_t room = used.buffer_.max_size() - used.buffer_.size();
        if (room == 0)
        {
            co_return http::error::buffer_overflow;
        }
        const auto space = used.buffer_.prepare(std::min(room, read_bytes));
        const std::size_t received = co_await used.stream_.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, failed));
        used.buffer_.commit(received);
        if (failed == asio::error::eof)
        {
            failed = http::error::end_of_stream;
            if (parser.got_some())
            {
                parser.put_eof(failed);
            }
            co_return failed;
        }
        if (failed)
        {
            co_return failed;
        }
    }
}

/// Reads until the header of a response is complete.
asio::awaitable<error_code> read_whole_header(
    connection& used, parser_type& parser)
{
    error_code failed;
    while (!failed && !parser.is_header_done())
    {
        failed = co_await read_part(used, parser);
    }
    co_return failed;
}

} // namespace

struct http_client::pool
{
    pool(asio::io_context& context, byte_budget_ptr budget)
        : context_(context), budget_(std::move(budget))
    {
    }

    void release(
        const std::string& address,
        const connection_ptr& used,
        const header_list& headers)
    {
        auto& idle = idle_connections_[address];
        const core::time_point now = core::steady_now();
        used->idle_since_ = now;
        used->usable_until_ = now + idle_limit(headers);
        std::erase_if(
            idle,
            [now](const connection_ptr& idle_connection)
            {
                return idle_connection->usable_until_ <= now;
            });
        if (idle.size() < max_idle_connections_per_address &&
            now < used->usable_until_)
        {
            used->stream_.expires_never();
            idle.push_back(used);
        }
    }

    /// \param id digest of the request's id; nothing: it has none.
    /// \return an idle connection that the other side has not closed and that
    /// has not carried the id; null if there is none. A late copy of an earlier
    /// answer to the same request could not be told from its answer.
    connection_ptr acquire(
        const std::string& address,
        core::duration max_idle_time,
        std::optional<std::uint64_t> id)
    {
        auto& idle = idle_connections_[address];
        const core::time_point now = core::steady_now();
        for (std::size_t left = idle.size(); left > 0; --left)
        {
            const auto position =
                idle.begin() + static_cast<std::ptrdiff_t>(left - 1);
            if (id && (*position)->has_carried(*id))
            {
                continue;
            }
            connection_ptr found = std::move(*position);
            idle.erase(position);
            if (now < found->usable_until_ &&
                now - found->idle_since_ <= max_idle_time && is_open(*found))
            {
                found->reused_ = true;
                return found;
            }
        }
        return nullptr;
    }

    asio::io_context& context_;
    std::map<std::string, std::deque<connection_ptr>> idle_connections_;
    std::set<std::string> blocked_; ///< Addresses; see set_blocked().
    http_client_counts counts_;
    byte_budget_ptr budget_;

private:
    static bool is_open(connection& idle_connection)
    {
        tcp::socket& socket = idle_connection.stream_.socket();
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

asio::awaitable<core::result<connection_ptr>> open_connection(
    http_client::pool& pool, const http_call& call)
{
    auto opened = std::make_shared<connection>(pool.context_);
    opened->is_kept_ = !call.own_connection_;
    if (pool.blocked_.count(call.address_) != 0)
    {
        co_await sleep_for(call.connect_timeout_);
        co_return error{errc::unreachable, "the address is blocked"};
    }
    const std::optional<tcp::endpoint> remote = find_endpoint(call.address_);
    if (!remote)
    {
        co_return error{errc::unreachable, "the address cannot be read"};
    }
    opened->stream_.expires_after(call.connect_timeout_.chrono());
    error_code failed;
    co_await opened->stream_.async_connect(
        *remote, asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
    {
        co_await throw_if_cancelled();
        co_return error{errc::unreachable, failed.message()};
    }
    opened->number_ = ++pool.counts_.opened_;
    tcp::socket& socket = opened->stream_.socket();
    socket.set_option(tcp::no_delay(true), failed);
    using user_timeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout(tcp_user_timeout_ms), failed);
    co_return std::move(opened);
}

/// Asks the process at the other end of a connection what it is, unless it has
/// stated that before.
/// \return nothing when it has.
asio::awaitable<std::optional<error>> ask_peer(
    connection& used, const std::string& address, const peer_check& check)
{
    if (used.peer_identity_)
    {
        co_return std::nullopt;
    }
    const std::string question = format_request_head(
        "GET", check.target_, address, check.headers_, body_framing());
    used.stream_.expires_after(check.timeout_.chrono());
    error_code failed;
    co_await asio::async_write(
        used.stream_,
        asio::buffer(question),
        asio::redirect_error(asio::use_awaitable, failed));
    parser_type parser;
    parser.body_limit(max_protocol_response_bytes);
    while (!failed && !parser.is_done())
    {
        failed = co_await read_part(used, parser);
    }
    co_await throw_if_cancelled();
    if (failed || !is_acceptable(parser) || !parser.keep_alive() ||
        parser.need_eof())
    {
        co_return error{
            errc::unreachable,
            "the endpoint does not state what it is: " +
                (failed ? failed.message() : "it closes the connection")};
    }
    http_response statement;
    statement.status_ = parser.status();
    statement.body_ = std::move(parser.body());
    used.peer_identity_ = check.identify_(statement);
    used.reused_ = true;
    co_return std::nullopt;
}

asio::awaitable<core::result<connection_ptr>> connect_any(
    http_client::pool& pool, const http_call& call)
{
    std::optional<std::uint64_t> id;
    if (!call.echo_value_.empty())
    {
        id = core::stable_hash(call.echo_value_);
    }
    connection_ptr used =
        call.own_connection_
            ? nullptr
            : pool.acquire(call.address_, call.max_idle_time_, id);
    if (used)
    {
        ++pool.counts_.reused_;
    }
    else
    {
        core::result<connection_ptr> opened =
            co_await open_connection(pool, call);
        if (!core::is_ok(opened))
        {
            co_return core::failure(opened);
        }
        used = std::move(core::value(opened));
    }
    if (id)
    {
        used->ids_.push_back(*id);
    }
    co_return std::move(used);
}

/// Returns an idle connection or a new one, which then has carried the call's
/// id, to a process that the call accepts.
asio::awaitable<core::result<connection_ptr>> connect(
    http_client::pool& pool, const http_call& call)
{
    core::result<connection_ptr> connected = co_await connect_any(pool, call);
    if (!core::is_ok(connected) || !call.peer_check_)
    {
        co_return std::move(connected);
    }
    connection& used = *core::value(connected);
    if (auto problem =
            co_await ask_peer(used, call.address_, *call.peer_check_))
    {
        used.stream_.close();
        co_return std::move(*problem);
    }
    if (!call.peer_check_->accepts_(*used.peer_identity_))
    {
        used.stream_.close();
        co_return error{
            errc::withheld, "another process answers, or does not say which"};
    }
    co_return std::move(connected);
}

/// A formatted request.
struct outgoing_message
{
    std::string head_;
    std::string body_;
};

outgoing_message make_request(http_call& call)
{
    const bool omit_length =
        call.body_.empty() && call.method_ != "POST" && call.method_ != "PUT";
    body_framing framing;
    if (!omit_length)
    {
        framing.length_ = call.body_.size();
    }
    return {
        format_request_head(
            call.method_, call.target_, call.address_, call.headers_, framing),
        std::move(call.body_)};
}

asio::awaitable<void> write_message(
    connection_ptr target, std::shared_ptr<outgoing_message> message)
{
    const std::array<asio::const_buffer, 2> bytes{
        asio::buffer(message->head_), asio::buffer(message->body_)};
    error_code failed;
    co_await asio::async_write(
        target->stream_,
        bytes,
        asio::redirect_error(asio::use_awaitable, failed));
    target->writing_ = false;
    target->write_error_ = failed;
}

class beast_stream final : public http_stream
{
public:
    beast_stream(
        std::shared_ptr<http_client::pool> pool,
        std::string address,
        connection_ptr used,
        bool asks_for_head)
        : pool_(std::move(pool)),
          address_(std::move(address)),
          connection_(std::move(used)),
          asks_for_head_(asks_for_head),
          connection_number_(connection_->number_),
          peer_identity_(connection_->peer_identity_),
          line_held_(pool_->budget_)
    {
        reset_parser();
    }

    ~beast_stream() override
    {
        if (connection_)
        {
            connection_->stream_.close();
        }
    }

    beast_stream(const beast_stream&) = delete;
    beast_stream& operator=(const beast_stream&) = delete;

    /// Reads response headers until they belong to the request.
    asio::awaitable<error_code> read_header(
        std::string echo_header, std::string echo_value)
    {
        for (int skipped = 0; skipped <= max_mismatched_responses; ++skipped)
        {
            error_code failed =
                co_await read_whole_header(*connection_, *parser_);
            if (failed)
            {
                co_await throw_if_cancelled();
                co_return failed;
            }
            if (!is_acceptable(*parser_))
            {
                break;
            }
            if (!is_informational())
            {
                const attribution belongs = attribute(echo_header, echo_value);
                if (belongs == attribution::this_request)
                {
                    is_named_ = is_named(echo_header, echo_value);
                    co_return failed;
                }
                ++pool_->counts_.mismatched_responses_;
                skipped_mismatched_ = true;
                if (belongs == attribution::unknown)
                {
                    break;
                }
            }
            failed = co_await skip_body();
            if (failed)
            {
                co_return failed;
            }
            reset_parser();
        }
        co_return make_error_code(http::error::bad_value);
    }

    int status() const override
    {
        return parser_->status();
    }

    header_list headers() const override
    {
        return parser_->headers();
    }

    std::uint64_t connection() const override
    {
        return connection_number_;
    }

    const std::optional<std::string>& peer_identity() const override
    {
        return peer_identity_;
    }

    asio::awaitable<core::result<std::optional<std::string>>> next_line(
        core::duration timeout) override
    {
        const core::time_point deadline = core::steady_now() + timeout;
        for (;;)
        {
            if (std::optional<std::string> line = take_line())
            {
                co_return std::move(line);
            }
            const core::duration remaining = deadline - core::steady_now();
            core::result<std::optional<std::string>> piece =
                co_await read_some(std::max(remaining, core::duration{1}));
            if (!core::is_ok(piece) || !core::value(piece))
            {
                co_return std::move(piece);
            }
            const std::string& bytes = *core::value(piece);
            const std::size_t size = partial_line_.size() + bytes.size();
            if (size > max_line_bytes + max_read_ahead_bytes ||
                !line_held_.resize(size))
            {
                co_return error{errc::invalid, "the line is too long"};
            }
            partial_line_ += bytes;
        }
    }

    asio::awaitable<core::result<std::optional<std::string>>> read_some(
        core::duration timeout) override
    {
        std::string& body = parser_->body();
        while (body.empty())
        {
            if (parser_->is_done())
            {
                if (connection_ && parser_->need_eof())
                {
                    const error_code broken =
                        co_await find_undelivered_request(timeout);
                    if (broken)
                    {
                        co_return error_from(broken);
                    }
                }
                release_connection();
                co_return std::optional<std::string>();
            }
            connection_->stream_.expires_after(timeout.chrono());
            const std::size_t parsed_before = connection_->parsed_bytes_;
            const error_code failed =
                co_await read_part(*connection_, *parser_);
            wire_bytes_ += connection_->parsed_bytes_ - parsed_before;
            if (failed)
            {
                co_await throw_if_cancelled();
                co_return error_from(failed);
            }
        }
        std::optional<std::string> out(std::exchange(body, std::string()));
        co_return std::move(out);
    }

    asio::awaitable<core::result<std::string>> read_rest(
        core::duration timeout, std::size_t max_bytes, byte_hold& held) override
    {
        const core::time_point deadline = core::steady_now() + timeout;
        std::string out;
        for (;;)
        {
            const core::duration remaining = deadline - core::steady_now();
            core::result<std::optional<std::string>> piece =
                co_await read_some(std::max(remaining, core::duration{1}));
            if (!core::is_ok(piece))
            {
                co_return core::failure(piece);
            }
            if (!core::value(piece))
            {
                co_return std::move(out);
            }
            const std::string& bytes = *core::value(piece);
            const std::size_t size = out.size() + bytes.size();
            if (size > max_bytes || !held.resize(size))
            {
                co_return error{errc::invalid, "the answer is too large"};
            }
            if (wire_bytes_ > size + size / 2 + max_framing_bytes)
            {
                co_return error{errc::invalid, "the answer is mostly framing"};
            }
            out += bytes;
        }
    }

private:
    void reset_parser()
    {
        parser_.emplace();
        parser_->body_limit(boost::none);
        parser_->skip(asks_for_head_);
    }

    /// Reads the rest of a response to another request without keeping it.
    asio::awaitable<error_code> skip_body()
    {
        const std::size_t parsed_before = connection_->parsed_bytes_;
        error_code failed;
        while (!parser_->is_done() && !failed)
        {
            failed = co_await read_part(*connection_, *parser_);
            parser_->body().clear();
            if (connection_->parsed_bytes_ - parsed_before > max_skipped_bytes)
            {
                failed = make_error_code(http::error::body_limit);
            }
        }
        co_return failed;
    }

    /// Waits until the endpoint has received the request, after a body that
    /// ended with its connection. An endpoint that breaks off while it has
    /// nothing left to read ends its side in order; the rest of the request
    /// then resets the connection. The kernel reports a reset once, to the
    /// writing side if the request is still being written.
    /// \return why the request was not received; success when it was.
    asio::awaitable<error_code> find_undelivered_request(core::duration timeout)
    {
        const core::time_point deadline = core::steady_now() + timeout;
        while (connection_->writing_ ||
               has_unacknowledged_bytes(connection_->stream_.socket()))
        {
            if (core::steady_now() >= deadline)
            {
                co_return beast::error::timeout;
            }
            co_await sleep_for(delivery_check_interval);
        }
        if (connection_->write_error_)
        {
            co_return connection_->write_error_;
        }
        co_return pending_error(connection_->stream_.socket());
    }

    bool is_informational() const
    {
        return parser_->status() < min_final_status;
    }

    /// \return whether the response names its request as far as it has a name.
    bool is_named(
        const std::string& echo_header, const std::string& echo_value) const
    {
        return echo_value.empty() || find_field(echo_header) != nullptr;
    }

    /// \return the value of a field of the header; null if there is none.
    const std::string* find_field(std::string_view name) const
    {
        for (const auto& [key, value] : parser_->headers())
        {
            if (beast::iequals(key, name))
            {
                return &value;
            }
        }
        return nullptr;
    }

    /// Which request a response answers.
    enum class attribution
    {
        this_request,
        another_request,
        unknown, ///< It may repeat the answer to an earlier request.
    };

    attribution attribute(
        const std::string& echo_header, const std::string& echo_value) const
    {
        if (echo_header.empty())
        {
            return attribution::this_request;
        }
        if (const std::string* named = find_field(echo_header))
        {
            return *named == echo_value ? attribution::this_request
                                        : attribution::another_request;
        }
        // On a new connection there is no earlier request.
        return echo_value.empty() || !connection_->reused_
                   ? attribution::this_request
                   : attribution::unknown;
    }

    std::optional<std::string> take_line()
    {
        const std::size_t end = partial_line_.find('\n');
        if (end == std::string::npos)
        {
            return std::nullopt;
        }
        std::string line = partial_line_.substr(0, end);
        partial_line_.erase(0, end + 1);
        line_held_.resize(partial_line_.size());
        return line;
    }

    /// Returns the connection to the pool, or closes it. It cannot be reused
    /// when bytes follow the response, the request is not yet written, or the
    /// endpoint does not name the request that it answers.
    void release_connection()
    {
        if (!connection_)
        {
            return;
        }
        const connection_ptr used = std::exchange(connection_, nullptr);
        const bool is_reusable =
            parser_->keep_alive() && !parser_->need_eof() && is_named_ &&
            !skipped_mismatched_ && !used->writing_ && !used->write_error_ &&
            used->buffer_.size() == 0 && used->is_kept_ &&
            used->ids_.size() < max_ids_per_connection;
        if (is_reusable)
        {
            pool_->release(address_, used, parser_->headers());
        }
        else
        {
            used->stream_.close();
        }
    }

    std::shared_ptr<http_client::pool> pool_;
    std::string address_;
    connection_ptr connection_;
    bool asks_for_head_; ///< Responses to HEAD have no body.
    std::uint64_t connection_number_;
    std::optional<std::string> peer_identity_;
    std::optional<parser_type> parser_;
    bool skipped_mismatched_ = false;
    bool is_named_ = true;
    std::size_t wire_bytes_ = 0; ///< Read after the header.
    std::string partial_line_;
    byte_hold line_held_; ///< Of partial_line_.
};

} // namespace

http_client::http_client(asio::io_context& context, byte_budget_ptr budget)
    : pool_(std::make_shared<pool>(
          context,
          budget ? std::move(budget)
                 : std::make_shared<byte_budget>(default_budget_bytes)))
{
}

const byte_budget_ptr& http_client::budget() const
{
    return pool_->budget_;
}

void http_client::set_blocked(const std::string& address, bool blocked)
{
    if (!blocked)
    {
        pool_->blocked_.erase(address);
        return;
    }
    pool_->blocked_.insert(address);
    pool_->idle_connections_.erase(address);
}

const http_client_counts& http_client::counts() const
{
    return pool_->counts_;
}

asio::awaitable<core::result<http_response>> http_client::request(
    http_call call)
{
    const core::time_point deadline = core::steady_now() + call.timeout_;
    const std::size_t max_bytes = call.max_response_bytes_;
    core::result<std::unique_ptr<http_stream>> opened =
        co_await open(std::move(call));
    if (!core::is_ok(opened))
    {
        co_return core::failure(opened);
    }
    const std::unique_ptr<http_stream> stream = std::move(core::value(opened));
    http_response reply;
    reply.status_ = stream->status();
    reply.headers_ = stream->headers();
    reply.connection_ = stream->connection();
    const core::duration remaining = deadline - core::steady_now();
    const auto held = std::make_shared<byte_hold>(pool_->budget_);
    core::result<std::string> body = co_await stream->read_rest(
        std::max(remaining, core::duration{1}), max_bytes, *held);
    if (!core::is_ok(body))
    {
        co_return core::failure(body);
    }
    reply.body_ = std::move(core::value(body));
    reply.held_ = held;
    co_return std::move(reply);
}

asio::awaitable<core::result<std::unique_ptr<http_stream>>> http_client::open(
    http_call call)
{
    const std::shared_ptr<pool> shared = pool_;
    core::result<connection_ptr> connected = co_await connect(*shared, call);
    if (!core::is_ok(connected))
    {
        co_return core::failure(connected);
    }
    const connection_ptr used = core::value(connected);
    if (call.send_before_ && core::steady_now() > *call.send_before_)
    {
        used->stream_.close();
        co_return error{errc::withheld, "it is too late to send it"};
    }
    auto message = std::make_shared<outgoing_message>(make_request(call));
    used->stream_.expires_after(call.timeout_.chrono());
    used->writing_ = true;
    auto stream = std::make_unique<beast_stream>(
        shared, call.address_, used, call.method_ == "HEAD");
    spawn(shared->context_, write_message(used, std::move(message)));
    const error_code failed =
        co_await stream->read_header(call.echo_header_, call.echo_value_);
    if (failed)
    {
        co_return error_from(failed);
    }
    co_return std::unique_ptr<http_stream>(std::move(stream));
}

asio::awaitable<bool> http_client::accepts_connections(
    std::string address, core::duration timeout)
{
    if (pool_->blocked_.count(address) != 0)
    {
        co_await sleep_for(timeout);
        co_return false;
    }
    const std::optional<tcp::endpoint> remote = find_endpoint(address);
    if (!remote)
    {
        co_return false;
    }
    beast::tcp_stream stream(pool_->context_);
    stream.expires_after(timeout.chrono());
    error_code failed;
    co_await stream.async_connect(
        *remote, asio::redirect_error(asio::use_awaitable, failed));
    co_return !failed;
}

asio::awaitable<bool> http_client::wait_until_closed(std::string address)
{
    const std::optional<tcp::endpoint> remote = find_endpoint(address);
    if (!remote)
    {
        co_return false;
    }
    beast::tcp_stream stream(pool_->context_);
    stream.expires_after(http_call().connect_timeout_.chrono());
    error_code failed;
    co_await stream.async_connect(
        *remote, asio::redirect_error(asio::use_awaitable, failed));
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
