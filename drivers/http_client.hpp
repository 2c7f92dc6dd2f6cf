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
};

/// An answer whose body is read line by line.
class http_stream
{
public:
    virtual ~http_stream() = default;

    virtual int status() const = 0;

    /// Reads the next line.
    /// \param timeout how long the line may take.
    /// \return the line without its end; nothing at the body's proper end;
    /// an error of kind broken or timeout otherwise.
    virtual asio::awaitable<core::result<std::optional<std::string>>> next_line(
        core::duration timeout) = 0;
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

    /// Sends a request and reads the answer's header.
    asio::awaitable<core::result<std::unique_ptr<http_stream>>> open(
        http_call call);

    /// Holds a connection without a request and waits until it is lost, which
    /// tells of a restart sooner than any poll.
    /// \return false when no connection could be made.
    asio::awaitable<bool> until_closed(std::string address);

    struct pool;

private:
    std::shared_ptr<pool> pool_;
};

} // namespace poplarroute::drivers
