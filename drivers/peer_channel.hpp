#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/ssl/context.hpp>

#include "core/result.hpp"
#include "drivers/asio.hpp"
#include "drivers/connection_budget.hpp"
#include "drivers/metrics.hpp"

namespace poplarroute::drivers
{

/// Identity of the other side of a peer connection, from its certificate.
struct peer_identity
{
    std::string role_; ///< "host" or "operator".
    std::string name_;
};

/// Handles one call and returns its reply. Bodies are opaque bytes here; the
/// code in node/ encodes and decodes them.
using peer_handler = std::function<asio::awaitable<core::result<std::string>>(
    peer_identity from, std::string method, std::string body)>;

/// Paths of the PEM files for the TLS connections of a host or an operator.
struct tls_files
{
    std::string authority_;   ///< Certificates of the trusted authority.
    std::string certificate_; ///< Own certificate chain.
    std::string key_;         ///< Private key of the own certificate.
};

using tls_context = std::shared_ptr<boost::asio::ssl::context>;

/// Loads certificates for mutual TLS 1.3.
/// \return the context, or an error that names the file that could not be used.
core::result<tls_context> make_tls_context(const tls_files& files);

/// Counters of a process's traffic with peers.
struct peer_traffic
{
    std::uint64_t bytes_in_ = 0;
    std::uint64_t bytes_out_ = 0;
    std::uint64_t calls_in_ = 0;
    std::uint64_t calls_out_ = 0;
};

/// \return the counters of this process since its start.
peer_traffic& traffic();

/// Sets the metrics of the traffic with peers.
void set_traffic_metrics(metrics& out);

/// Server for calls of peers and operators, each an HTTP/2 stream.
class peer_server
{
public:
    /// \param tls the certificates; null for plain text, which is allowed on
    /// loopback only.
    /// \param group limits the connections; null: a group of the server's own.
    /// \param write_timeout how long the other side may not read.
    peer_server(
        asio::io_context& context,
        const std::string& address,
        tls_context tls,
        peer_handler handler,
        connection_group_ptr group = nullptr,
        core::duration write_timeout = core::duration{15'000});

    void start();
    void stop();

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Client for calls to peers, with one connection per address.
///
/// After a failed attempt to connect, no new attempt is made for a backoff
/// time, which doubles up to a bound, so that reconnecting hosts do not
/// overload a peer.
class peer_client
{
public:
    peer_client(asio::io_context& context, tls_context tls);

    /// Calls a method of the peer.
    /// \param address "ip:port".
    /// \param method the method's name, such as "pool.reserve".
    /// \param body the encoded request.
    /// \param deadline how long the whole call may take.
    /// \return the encoded reply, or an error: of kind unreachable when nothing
    /// was sent, the error that the peer returned, or of kind broken or
    /// timeout.
    asio::awaitable<core::result<std::string>> call(
        std::string address,
        std::string method,
        std::string body,
        core::duration deadline);

    /// For tests: closes the connection to an address and refuses calls to it,
    /// as in a network partition.
    void set_blocked(const std::string& address, bool blocked);

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace poplarroute::drivers
