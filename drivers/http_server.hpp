#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/asio.hpp"

namespace poplarroute::drivers
{

/// A header list in the order it was received or is to be sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// \return the first value of a header, whatever its case; empty if absent.
std::string_view find_header(const header_list& headers, std::string_view name);

/// A request read whole from a caller.
struct http_request
{
    std::string method_;
    std::string target_;
    header_list headers_;
    std::string body_;
    std::string remote_; ///< The caller's address, for logs.
};

/// One request of a caller and the only way to answer it.
///
/// The answer is opened once: a second opening is a fault of the program and
/// breaks an invariant.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    const http_request& request() const
    {
        return request_;
    }

    /// Sends a whole answer.
    /// \param status the HTTP status.
    /// \param headers besides Content-Length and Connection.
    /// \param body sent as it is.
    virtual asio::awaitable<void> send(
        int status, header_list headers, std::string body) = 0;

    /// Opens an answer of unknown length.
    virtual asio::awaitable<void> open_stream(
        int status, header_list headers) = 0;

    /// Writes a piece of an opened answer.
    /// \return whether the caller still takes it.
    virtual asio::awaitable<bool> write(std::string_view piece) = 0;

    /// Ends an opened answer in the way the caller reads as complete.
    virtual asio::awaitable<void> finish() = 0;

    /// Ends an opened answer so that the caller sees it is incomplete.
    virtual void abandon() = 0;

    /// Completes once the caller has gone away.
    virtual asio::awaitable<void> gone() = 0;

    /// \return whether the answer has been opened.
    bool opened() const
    {
        return opened_;
    }

protected:
    /// Takes the right to answer. It can be taken once.
    void take_latch();

    http_request request_;
    bool opened_ = false;
};

using http_handler = std::function<asio::awaitable<void>(http_exchange&)>;

/// What a port accepts at most.
struct http_limits
{
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    std::size_t connections_ = 4096;
    core::duration read_timeout_{15'000};  ///< For a whole request.
    core::duration idle_timeout_{60'000};  ///< Between two requests.
    core::duration write_timeout_{15'000}; ///< For one piece of an answer.
};

/// An HTTP/1.1 port with keep-alive.
class http_server
{
public:
    /// Binds the port.
    /// \param address "ip:port".
    /// \throws boost::system::system_error when it cannot be bound.
    http_server(
        asio::io_context& context,
        const std::string& address,
        http_limits limits,
        http_handler handler);

    /// Accepts connections until stop_accepting().
    void start();

    /// Takes no further connection and lets each open one end after the
    /// answer under way.
    void stop_accepting();

    /// Says on each further answer that its connection ends, while requests
    /// on open connections are still read.
    void announce_close();

    /// Changes what the port accepts, from the next request on.
    void set_limits(http_limits limits);

    /// \return connections that are open now.
    std::size_t connections() const;

    /// \return requests being answered now.
    std::size_t active_requests() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Splits "ip:port".
/// \throws std::invalid_argument when the text is neither.
tcp::endpoint parse_endpoint(const std::string& address);

} // namespace poplarroute::drivers
