#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/asio.hpp"
#include "drivers/byte_budget.hpp"
#include "drivers/connection_budget.hpp"
#include "drivers/http_message.hpp"

namespace poplarroute::drivers
{

/// One request of a caller, and its response.
///
/// The response can be started once: starting it again is a programming error
/// and violates an invariant.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    const http_request& request() const
    {
        return request_;
    }

    /// Sends a whole response.
    /// \param status the HTTP status.
    /// \param headers all headers besides Content-Length and Connection.
    /// \param body the body, sent unchanged.
    virtual asio::awaitable<void> send(
        int status, header_list headers, std::string body) = 0;

    /// Starts a response of unknown length, with chunked encoding.
    virtual asio::awaitable<void> start_stream(
        int status, header_list headers) = 0;

    /// Writes the next bytes of a started response.
    /// \return whether they could be written.
    virtual asio::awaitable<bool> write(std::string_view piece) = 0;

    /// Ends a started response, which is then complete for the caller.
    virtual asio::awaitable<void> finish() = 0;

    /// Closes the connection of a started response, so that the caller detects
    /// that it is incomplete.
    virtual void abort_response() = 0;

    /// Completes when the caller closes the connection.
    virtual asio::awaitable<void> gone() = 0;

    /// \return whether the caller has closed the connection, as far as this
    /// process has received. A request that waited in a process that was paused
    /// may have been given up and sent elsewhere.
    virtual bool is_abandoned() = 0;

    /// \return whether the response has been started.
    bool opened() const
    {
        return response_started_;
    }

protected:
    /// Records that the response is started, and checks that it was not
    /// started before.
    void mark_response_started();

    http_request request_;
    bool response_started_ = false;
};

using http_handler = std::function<asio::awaitable<void>(http_exchange&)>;

/// Limits of a server.
struct http_limits
{
    std::size_t header_bytes_ = 16 * 1024;     ///< Largest request header.
    std::size_t body_bytes_ = 4 * 1024 * 1024; ///< Largest request body.
    std::size_t max_connections_ = 4096;       ///< Open at a time.
    std::size_t framing_bytes_ = 64 * 1024;    ///< Around a request's body.
    core::duration read_timeout_{15'000};      ///< For a whole request.
    core::duration idle_timeout_{60'000};      ///< Between two requests.
    core::duration write_timeout_{15'000};     ///< For one write of a response.
    /// Whether large responses count towards the budget. Those of callers are
    /// counted where they are received from endpoints.
    bool counts_responses_ = false;
};

/// An HTTP/1.1 server with keep-alive.
class http_server
{
public:
    /// Binds the port.
    /// \param address "ip:port".
    /// \param budget limits the requests that are held in memory together;
    /// null: a budget of the server's own.
    /// \throws boost::system::system_error when it cannot be bound.
    http_server(
        asio::io_context& context,
        const std::string& address,
        http_limits limits,
        http_handler handler,
        byte_budget_ptr budget = nullptr);

    /// Binds the port. The connections and their requests are limited by a
    /// group, as documented there.
    http_server(
        asio::io_context& context,
        const std::string& address,
        http_limits limits,
        http_handler handler,
        connection_group_ptr group);

    /// Accepts connections until stop_accepting().
    void start();

    /// Accepts no further connections, closes idle ones and lets each of the
    /// others close after its current response.
    void stop_accepting();

    /// Closes connections with their next response ("Connection: close"),
    /// while requests on open connections are still read.
    void disable_keep_alive();

    /// Changes the limits, from the next request on.
    void set_limits(http_limits limits);

    /// \return number of open connections.
    std::size_t connections() const;

    /// \return number of requests whose handler is running.
    std::size_t active_requests() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Parses "ip:port", as another program may state it.
/// \return nothing when the text is not an address.
std::optional<tcp::endpoint> find_endpoint(std::string_view address);

/// Parses "ip:port" of the settings.
/// \throws boost::system::system_error when the text is not an address.
tcp::endpoint parse_endpoint(const std::string& address);

} // namespace poplarroute::drivers
