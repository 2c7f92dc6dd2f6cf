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

namespace poplarroute::drivers
{

/// Who speaks on a peer connection, as its certificate says.
struct peer_identity
{
    std::string role_; ///< "host" or "operator".
    std::string name_;
};

/// Answers one call. Bodies are opaque bytes; `node` gives them meaning.
using peer_handler = std::function<asio::awaitable<core::result<std::string>>(
    peer_identity from, std::string method, std::string body)>;

/// The files of a host's or an operator's own certificate.
struct tls_files
{
    std::string authority_;
    std::string certificate_;
    std::string key_;
};

using tls_context = std::shared_ptr<boost::asio::ssl::context>;

/// Loads certificates for mutual TLS 1.3.
/// \return the context, or the file that could not be used.
core::result<tls_context> make_tls_context(const tls_files& files);

/// Counts of a process's peer traffic.
struct peer_traffic
{
    std::uint64_t bytes_in_ = 0;
    std::uint64_t bytes_out_ = 0;
    std::uint64_t calls_in_ = 0;
    std::uint64_t calls_out_ = 0;
};

/// \return the counts of this process since its start.
peer_traffic& traffic();

/// The port for peers and operators: calls as HTTP/2 streams.
class peer_server
{
public:
    /// \param tls nothing for plain text, which only loopback may use.
    peer_server(
        asio::io_context& context,
        const std::string& address,
        tls_context tls,
        peer_handler handler);

    void start();
    void stop();

    struct state;

private:
    std::shared_ptr<state> state_;
};

/// Calls to peers, with one connection per address.
///
/// After a failed set-up an address is left alone for a while that doubles
/// up to a bound, so that reconnection cannot storm.
class peer_client
{
public:
    peer_client(asio::io_context& context, tls_context tls);

    /// Calls a method of the peer.
    /// \param address "ip:port".
    /// \param method a name, such as "pool.reserve".
    /// \param body the encoded request.
    /// \param deadline how long the whole call may take.
    /// \return the encoded reply, or an error: unreachable when nothing was
    /// sent, the peer's own error, or broken or timeout.
    asio::awaitable<core::result<std::string>> call(
        std::string address,
        std::string method,
        std::string body,
        core::duration deadline);

    /// For tests: refuses traffic to and from an address, as a cut would.
    void set_cut(const std::string& address, bool cut);

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace poplarroute::drivers
