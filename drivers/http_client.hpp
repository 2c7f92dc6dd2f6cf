#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/result.hpp"
#include "drivers/asio.hpp"
#include "drivers/http_server.hpp"

namespace poplarroute::drivers
{

/// An answer read whole.
struct http_reply
{
    int status_ = 0;
    header_list headers_;
    std::string body_;
};

/// A request to an endpoint.
struct http_call
{
    std::string address_; ///< "ip:port".
    std::string method_ = "GET";
    std::string target_ = "/";
    header_list headers_;
    std::string body_;
    core::duration timeout_{5'000}; ///< For the whole answer, or its header.
    core::duration connect_timeout_{1'000};
    core::duration newest_idle_{
        60'000}; ///< Older kept connections stay unused.

    /// A header that answers repeat, and its value. An answer with another
    /// value belongs to an earlier request and is skipped.
    std::string echo_header_;
    std::string echo_value_;
};

/// An answer whose body is read as it arrives. Destroying it before the
/// body's end closes the connection, which cancels the request.
class http_stream
{
public:
    virtual ~http_stream() = default;

    virtual int status() const = 0;

    virtual header_list headers() const = 0;

    /// Reads the next line.
    /// \param timeout how long the line may take.
    /// \return the line without its end; nothing at the body's proper end;
    /// an error of kind broken or timeout otherwise.
    virtual asio::awaitable<core::result<std::optional<std::string>>> next_line(
        core::duration timeout) = 0;

    /// Reads bytes as they come.
    /// \param timeout how long to wait for the first of them.
    /// \return what came; nothing at the body's proper end; an error of kind
    /// broken or timeout otherwise.
    virtual asio::awaitable<core::result<std::optional<std::string>>>
    next_piece(core::duration timeout) = 0;

    /// Reads the rest of the body.
    /// \param timeout for all of it.
    /// \param most bytes accepted.
    virtual asio::awaitable<core::result<std::string>> read_rest(
        core::duration timeout, std::size_t most) = 0;
};

/// Connections of a client, for metrics.
struct http_client_counts
{
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    std::uint64_t foreign_answers_ = 0; ///< Skipped: of another request.
};

/// HTTP/1.1 towards endpoints, with kept connections per address.
///
/// An error of kind unreachable says that no byte was sent; broken and
/// timeout say that the request may have been received.
class http_client
{
public:
    explicit http_client(asio::io_context& context);

    /// Sends a request and reads the whole answer.
    asio::awaitable<core::result<http_reply>> request(http_call call);

    /// Sends a request and reads the answer's header. The body is written
    /// while the answer is read, since an endpoint may answer early.
    asio::awaitable<core::result<std::unique_ptr<http_stream>>> open(
        http_call call);

    /// Holds a connection without a request and waits until it is lost, which
    /// tells of a restart sooner than any poll.
    /// \return false when no connection could be made.
    asio::awaitable<bool> until_closed(std::string address);

    /// \return whether an address takes a connection; nothing is sent on it.
    asio::awaitable<bool> takes_connections(
        std::string address, core::duration patience);

    const http_client_counts& counts() const;

    struct pool;

private:
    std::shared_ptr<pool> pool_;
};

} // namespace poplarroute::drivers
