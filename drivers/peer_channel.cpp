#include "drivers/peer_channel.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>

#include "drivers/http_server.hpp"
#include "drivers/peer_connection.hpp"

namespace poplarroute::drivers
{

namespace
{

/// Several times the latency between zones. A host without power does not
/// answer, and TCP repeats what was sent to it only after a second, so that a
/// new attempt reaches it sooner once it is back.
constexpr core::duration connect_timeout{200};
constexpr core::duration handshake_timeout{2'000};

/// Bounds of the time between two attempts to connect to an unreachable host.
constexpr core::duration min_backoff{50};
constexpr core::duration max_backoff{200};

/// Limits of a server that is given none.
constexpr listener_limits default_limits{2'048, 256 * 1024 * 1024};

constexpr core::duration unread_check_interval{500};
constexpr int common_name_capacity_bytes = 256;

/// Returns the identity "role:name" from the common name in the other side's
/// certificate; empty if there is none.
peer_identity identity_of(SSL* session)
{
    X509* certificate = SSL_get1_peer_certificate(session);
    if (certificate == nullptr)
    {
        return {};
    }
    std::string name(common_name_capacity_bytes, '\0');
    const int size = X509_NAME_get_text_by_NID(
        X509_get_subject_name(certificate),
        NID_commonName,
        name.data(),
        common_name_capacity_bytes);
    X509_free(certificate);
    name.resize(static_cast<std::size_t>(std::max(size, 0)));
    const std::size_t colon = name.find(':');
    if (colon == std::string::npos)
    {
        return {};
    }
    return {name.substr(0, colon), name.substr(colon + 1)};
}

/// Identity of every peer without TLS, which is allowed on loopback only. It
/// has all rights.
peer_identity plain_identity()
{
    return {"operator", "plain"};
}

asio::awaitable<bool> handshake(
    peer_stream& stream, asio::ssl::stream_base::handshake_type side)
{
    auto* secure = std::get_if<secure_stream>(&stream);
    if (secure == nullptr)
    {
        co_return true;
    }
    secure->next_layer().expires_after(handshake_timeout.chrono());
    error_code failed;
    co_await secure->async_handshake(
        side, asio::redirect_error(asio::use_awaitable, failed));
    secure->next_layer().expires_never();
    co_return !failed;
}

peer_stream make_peer_stream(plain_stream stream, const tls_context& tls)
{
    error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    if (!tls)
    {
        return peer_stream(std::move(stream));
    }
    return peer_stream(
        std::in_place_type<secure_stream>, std::move(stream), *tls);
}

peer_identity remote_of(peer_stream& stream)
{
    auto* secure = std::get_if<secure_stream>(&stream);
    return secure == nullptr ? plain_identity()
                             : identity_of(secure->native_handle());
}

} // namespace

core::result<tls_context> make_tls_context(const tls_files& files)
{
    auto context =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tlsv13);
    error_code failed;
    context->load_verify_file(files.authority_, failed);
    if (failed)
    {
        return core::error{
            core::errc::invalid, "authority: " + failed.message()};
    }
    context->use_certificate_chain_file(files.certificate_, failed);
    if (failed)
    {
        return core::error{
            core::errc::invalid, "certificate: " + failed.message()};
    }
    context->use_private_key_file(files.key_, asio::ssl::context::pem, failed);
    if (failed)
    {
        return core::error{core::errc::invalid, "key: " + failed.message()};
    }
    context->set_verify_mode(
        asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return context;
}

struct peer_server::state
{
    state(
        asio::io_context& context,
        const std::string& address,
        tls_context tls,
        peer_handler handler,
        connection_group_ptr group,
        core::duration write_timeout)
        : context_(context),
          acceptor_(context, parse_endpoint(address)),
          tls_(std::move(tls)),
          handler_(std::move(handler)),
          group_(std::move(group)),
          write_timeout_(write_timeout)
    {
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    tls_context tls_;
    peer_handler handler_;
    connection_group_ptr group_;
    core::duration write_timeout_;
    std::set<std::weak_ptr<peer_connection>, std::owner_less<>> connections_;
};

namespace
{

void remove_closed_connections(peer_server::state& shared)
{
    std::erase_if(
        shared.connections_,
        [](const std::weak_ptr<peer_connection>& entry)
        {
            const auto connection = entry.lock();
            return !connection || connection->closed();
        });
}

asio::awaitable<void> accept_peer(
    std::shared_ptr<peer_server::state> shared, tcp::socket socket)
{
    error_code ignored;
    std::string address = socket.remote_endpoint(ignored).address().to_string();
    peer_stream stream =
        make_peer_stream(plain_stream(std::move(socket)), shared->tls_);
    auto held = std::make_unique<held_connection>(
        shared->group_,
        std::move(address),
        [&stream](held_connection::phase)
        {
            std::visit(
                [](auto& open)
                {
                    boost::beast::get_lowest_layer(open).close();
                },
                stream);
            return true;
        });
    const bool authenticated =
        co_await handshake(stream, asio::ssl::stream_base::server);
    if (!authenticated || held->ended())
    {
        co_return;
    }
    const peer_identity remote = remote_of(stream);
    if (remote.role_.empty())
    {
        co_return;
    }
    auto connection = std::make_shared<peer_connection>(
        shared->context_,
        std::move(stream),
        remote,
        shared->handler_,
        std::move(held));
    shared->connections_.insert(connection);
    connection->start();
}

/// Closes connections that are not read from, and forgets closed ones.
asio::awaitable<void> check_connections(
    std::shared_ptr<peer_server::state> shared)
{
    while (shared->acceptor_.is_open())
    {
        co_await sleep_for(unread_check_interval);
        for (const auto& entry : shared->connections_)
        {
            if (const auto connection = entry.lock())
            {
                connection->close_if_unread(shared->write_timeout_);
            }
        }
        remove_closed_connections(*shared);
    }
}

asio::awaitable<void> accept_loop(std::shared_ptr<peer_server::state> shared)
{
    static constexpr core::duration accept_retry_delay{20};
    while (shared->acceptor_.is_open())
    {
        error_code failed;
        tcp::socket socket = co_await shared->acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
        {
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
            shared->context_,
            "peer_accept",
            accept_peer(shared, std::move(socket)));
    }
}

} // namespace

peer_server::peer_server(
    asio::io_context& context,
    const std::string& address,
    tls_context tls,
    peer_handler handler,
    connection_group_ptr group,
    core::duration write_timeout)
    : state_(std::make_shared<state>(
          context,
          address,
          std::move(tls),
          std::move(handler),
          group
              ? std::move(group)
              : std::make_shared<connection_group>(
                    "peers", default_limits, std::make_shared<byte_budget>(0)),
          write_timeout))
{
}

void peer_server::start()
{
    spawn(state_->context_, accept_loop(state_));
    spawn(state_->context_, check_connections(state_));
}

void peer_server::stop()
{
    error_code ignored;
    state_->acceptor_.close(ignored);
    for (const auto& entry : state_->connections_)
    {
        if (const auto connection = entry.lock())
        {
            connection->close();
        }
    }
}

struct peer_client::state
{
    /// Connection state of one address.
    struct address_state
    {
        std::shared_ptr<peer_connection> connection_;
        std::shared_ptr<asio::steady_timer> connecting_;
        core::duration backoff_ = min_backoff;
        core::time_point next_attempt_at_;
        bool blocked_ = false;
    };

    state(asio::io_context& context, tls_context tls)
        : context_(context), tls_(std::move(tls))
    {
    }

    asio::io_context& context_;
    tls_context tls_;
    std::map<std::string, address_state> address_states_;
};

namespace
{

using client_state = std::shared_ptr<peer_client::state>;
using address_state = peer_client::state::address_state;

asio::awaitable<std::shared_ptr<peer_connection>> connect(
    client_state shared, std::string address, core::duration timeout)
{
    const std::optional<tcp::endpoint> remote = find_endpoint(address);
    if (!remote)
    {
        co_return nullptr;
    }
    plain_stream plain(shared->context_);
    plain.expires_after(std::min(connect_timeout, timeout).chrono());
    error_code failed;
    co_await plain.async_connect(
        *remote, asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
    {
        co_return nullptr;
    }
    plain.expires_never();
    peer_stream stream = make_peer_stream(std::move(plain), shared->tls_);
    const bool authenticated =
        co_await handshake(stream, asio::ssl::stream_base::client);
    if (!authenticated)
    {
        co_return nullptr;
    }
    const peer_identity identity = remote_of(stream);
    auto connection = std::make_shared<peer_connection>(
        shared->context_, std::move(stream), identity, nullptr);
    connection->start();
    co_return connection;
}

/// Returns the open connection to an address, or connects. Concurrent calls for
/// the same address share one attempt.
/// \return null when the attempt fails or the backoff has not passed.
asio::awaitable<std::shared_ptr<peer_connection>> connection_to(
    client_state shared, std::string address, core::duration timeout)
{
    address_state& remote = shared->address_states_[address];
    if (remote.connection_ && !remote.connection_->closed())
    {
        co_return remote.connection_;
    }
    if (remote.connecting_)
    {
        const auto waiting = remote.connecting_;
        error_code cancelled;
        co_await waiting->async_wait(
            asio::redirect_error(asio::use_awaitable, cancelled));
        co_return remote.connection_;
    }
    if (core::steady_now() < remote.next_attempt_at_)
    {
        co_return nullptr;
    }
    remote.connecting_ = std::make_shared<asio::steady_timer>(shared->context_);
    remote.connecting_->expires_at(asio::steady_timer::time_point::max());
    remote.connection_ = co_await connect(shared, address, timeout);
    if (remote.connection_)
    {
        remote.backoff_ = min_backoff;
    }
    else
    {
        remote.next_attempt_at_ = core::steady_now() + remote.backoff_;
        remote.backoff_ = std::min(remote.backoff_ * 2, max_backoff);
    }
    remote.connecting_->cancel();
    remote.connecting_ = nullptr;
    co_return remote.connection_;
}

} // namespace

peer_client::peer_client(asio::io_context& context, tls_context tls)
    : state_(std::make_shared<state>(context, std::move(tls)))
{
}

asio::awaitable<core::result<std::string>> peer_client::call(
    std::string address,
    std::string method,
    std::string body,
    core::duration deadline)
{
    const client_state shared = state_;
    if (shared->address_states_[address].blocked_)
    {
        co_return core::error{core::errc::unreachable, "cut off: " + address};
    }
    const auto connection = co_await connection_to(shared, address, deadline);
    if (!connection)
    {
        co_return core::error{
            core::errc::unreachable, "no connection to " + address};
    }
    co_return co_await connection->call(
        std::move(method), std::move(body), deadline);
}

void peer_client::set_blocked(const std::string& address, bool blocked)
{
    address_state& remote = state_->address_states_[address];
    remote.blocked_ = blocked;
    if (blocked && remote.connection_)
    {
        remote.connection_->close();
    }
}

} // namespace poplarroute::drivers
