#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <nghttp2/nghttp2.h>

#include "drivers/peer_channel.hpp"

namespace poplarroute::drivers
{

using plain_stream = boost::beast::tcp_stream;
using secure_stream = asio::ssl::stream<boost::beast::tcp_stream>;
using peer_stream = std::variant<plain_stream, secure_stream>;

/// One HTTP/2 connection between two processes, in either role.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// \param handler answers calls; empty on the calling side.
    peer_connection(
        asio::io_context& context,
        peer_stream stream,
        peer_identity remote,
        peer_handler handler);
    ~peer_connection();
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    /// Starts reading and writing.
    void start();

    /// Ends the connection; every call under way fails as broken.
    void close();

    bool closed() const
    {
        return closed_;
    }

    /// Makes a call and waits for its reply.
    asio::awaitable<core::result<std::string>> call(
        std::string method, std::string body, core::duration deadline);

private:
    /// What is kept of one stream, whichever side opened it.
    struct exchange
    {
        explicit exchange(asio::io_context& context) : finished_timer_(context)
        {
        }

        std::string method_;
        std::string incoming_;
        std::string outgoing_;
        std::size_t sent_ = 0;
        int status_ = 0;
        bool finished_ = false;
        asio::steady_timer finished_timer_;
    };

    using exchange_ptr = std::shared_ptr<exchange>;

    static int on_header(
        nghttp2_session* session,
        const nghttp2_frame* frame,
        const std::uint8_t* key,
        std::size_t key_size,
        const std::uint8_t* text,
        std::size_t text_size,
        std::uint8_t flags,
        void* self);
    static int on_begin_headers(
        nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_data(
        nghttp2_session* session,
        std::uint8_t flags,
        std::int32_t stream,
        const std::uint8_t* data,
        std::size_t size,
        void* self);
    static int on_frame(
        nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int on_close(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint32_t code,
        void* self);
    static ssize_t read_body(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint8_t* out,
        std::size_t room,
        std::uint32_t* flags,
        nghttp2_data_source* source,
        void* self);

    void make_session();
    asio::awaitable<void> read_loop();
    asio::awaitable<void> write_loop();
    asio::awaitable<void> answer(std::int32_t stream, exchange_ptr call);
    std::string pending_output();
    void wake_writer();
    exchange_ptr find(std::int32_t stream) const;
    bool is_server() const;

    asio::io_context& context_;
    peer_stream stream_;
    peer_identity remote_;
    peer_handler handler_;
    nghttp2_session* session_ = nullptr;
    asio::steady_timer writable_;
    std::map<std::int32_t, exchange_ptr> exchanges_;
    bool closed_ = false;
    core::time_point last_read_;
};

} // namespace poplarroute::drivers
