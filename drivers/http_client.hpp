#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/result.hpp"
#include "drivers/asio.hpp"
#include "drivers/byte_budget.hpp"
#include "drivers/http_server.hpp"

namespace poplarroute::drivers
{

/// A response with its whole body.
struct http_response
{
    int status_ = 0;
    header_list headers_;
    std::string body_;
    std::uint64_t connection_ = 0; ///< See http_stream::connection().

    /// Keeps the body counted towards the client's budget while it exists.
    std::shared_ptr<const byte_hold> held_;
};

/// Largest response body that request() reads, unless the call states a limit.
inline constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;

/// Limit on the responses of the protocol with endpoints, besides those that
/// are for callers. Parsing one takes a multiple of its size.
inline constexpr std::size_t max_protocol_response_bytes = 64 * 1024;

/// What a call requires of the process at the other end of its connection. The
/// process states what it is in the response to a request of its own, which is
/// sent once on each connection: a connection ends with its process.
struct peer_check
{
    std::string target_; ///< Of the GET request.
    header_list headers_;
    core::duration timeout_{1'500};
    /// What the response, which may be an error, says of the process. Only this
    /// is kept with the connection.
    std::function<std::string(const http_response&)> identify_;
    /// Whether the call may use a connection to such a process.
    std::function<bool(const std::string&)> accepts_;
};

/// A request to an endpoint.
struct http_call
{
    std::string address_; ///< "ip:port".
    std::string method_ = "GET";
    std::string target_ = "/";
    header_list headers_;
    std::string body_;
    core::duration timeout_{5'000}; ///< For the whole response, or its header.
    core::duration connect_timeout_{1'000};
    /// The call is not sent after this time, since what permits it ends then.
    std::optional<core::time_point> send_before_;
    /// Larger response bodies are refused as invalid.
    std::size_t max_response_bytes_ = max_response_bytes;
    /// Connections that have been idle for longer are not reused.
    core::duration max_idle_time_{60'000};
    /// Whether the call gets a connection of its own. Without an id, only this
    /// shows that the response is no late copy of an earlier one.
    bool own_connection_ = false;

    /// Nothing: any process will do. A call whose connection is not accepted is
    /// not sent and fails with errc::withheld.
    std::optional<peer_check> peer_check_;

    /// A header that responses repeat, and its value; empty: the request has
    /// none. A response with another value belongs to an earlier request and is
    /// skipped. Requests with one value are sent on different connections: a
    /// late copy of the answer to the first names the second as well. A
    /// connection on which a response has no such header is not
    /// kept, and such a response is refused on a connection that has been used
    /// before: it may be a second copy of an earlier answer.
    std::string echo_header_;
    std::string echo_value_;
};

/// A response whose body is read as it arrives. Destroying it before the end of
/// the body closes the connection, which cancels the request.
class http_stream
{
public:
    virtual ~http_stream() = default;

    virtual int status() const = 0;

    virtual header_list headers() const = 0;

    /// \return the number of the connection, counted from 1 by its client.
    virtual std::uint64_t connection() const = 0;

    /// \return what peer_check::identify_ made of the process; nothing if no
    /// call on the connection required it.
    virtual const std::optional<std::string>& peer_identity() const = 0;

    /// Reads the next line.
    /// \param timeout how long to wait for the whole line.
    /// \return the line without its line break; nothing when the body is
    /// complete; an error of kind broken or timeout otherwise, or invalid when
    /// the line does not fit into the budget.
    virtual asio::awaitable<core::result<std::optional<std::string>>> next_line(
        core::duration timeout) = 0;

    /// Reads the next bytes that arrive.
    /// \param timeout how long to wait for them.
    /// \return the bytes; nothing when the body is complete; an error of kind
    /// broken or timeout otherwise.
    virtual asio::awaitable<core::result<std::optional<std::string>>> read_some(
        core::duration timeout) = 0;

    /// Reads the rest of the body.
    /// \param timeout for the whole rest.
    /// \param max_bytes size above which the body is refused as invalid.
    /// \param held counts the body towards the budget, for as long as the
    /// caller keeps both. A body that does not fit is refused as invalid.
    virtual asio::awaitable<core::result<std::string>> read_rest(
        core::duration timeout, std::size_t max_bytes, byte_hold& held) = 0;
};

/// Counters of a client's connections, for metrics.
struct http_client_counts
{
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    std::uint64_t mismatched_responses_ = 0; ///< Skipped: to other requests.
};

/// HTTP/1.1 client for endpoints, with a pool of connections per address.
///
/// An error of kind unreachable means that no byte was sent; broken and timeout
/// mean that the request may have been received.
class http_client
{
public:
    /// \param budget limits the responses that are held in memory together;
    /// null: a budget of the client's own.
    explicit http_client(
        asio::io_context& context, byte_budget_ptr budget = nullptr);

    /// \return the budget of responses, for what callers keep of streams.
    const byte_budget_ptr& budget() const;

    /// Sends a request and reads the whole response.
    asio::awaitable<core::result<http_response>> request(http_call call);

    /// Sends a request and reads the header of the response. The request is
    /// written while the response is read, since an endpoint may respond
    /// before it has read the whole request.
    asio::awaitable<core::result<std::unique_ptr<http_stream>>> open(
        http_call call);

    /// Opens a connection without a request and waits until it is closed, which
    /// detects a restart sooner than polling does.
    /// \return false when no connection could be made.
    asio::awaitable<bool> wait_until_closed(std::string address);

    /// \return whether an address accepts a connection; nothing is sent on it.
    asio::awaitable<bool> accepts_connections(
        std::string address, core::duration timeout);

    const http_client_counts& counts() const;

    /// Lets connections to an address hang, or no longer; for tests of the
    /// fleet.
    void set_blocked(const std::string& address, bool blocked);

    struct pool;

private:
    std::shared_ptr<pool> pool_;
};

} // namespace poplarroute::drivers
