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

/// One HTTP/2 connection between two processes, as client or as server.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// \param handler handles calls on the server side; empty on the client
    /// side.
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

    /// Closes the connection; every pending call fails with an error of kind
    /// broken.
    void close();

    bool closed() const
    {
        return closed_;
    }

    /// Makes a call and waits for its reply.
    asio::awaitable<core::result<std::string>> call(
        std::string method, std::string body, core::duration deadline);

private:
    /// State of one HTTP/2 stream, on either side.
    struct stream_state
    {
        explicit stream_state(asio::io_context& context)
            : finished_timer_(context)
        {
        }

        std::string method_;
        std::string incoming_;
        std::string outgoing_;
        std::size_t sent_ = 0; ///< Bytes of outgoing_ given to nghttp2.
        int status_ = 0;
        bool finished_ = false;
        asio::steady_timer finished_timer_; ///< Cancelled to wake the caller.
    };

    using stream_state_ptr = std::shared_ptr<stream_state>;

    static int on_header(
        nghttp2_session* session,
        const nghttp2_frame* frame,
        const std::uint8_t* key,
        std::size_t key_size,
        const std::uint8_t* text,
        std::size_t text_size,
        std::uint8_t flags,
        void* user_data);
    static int on_begin_headers(
        nghttp2_session* session, const nghttp2_frame* frame, void* user_data);
    static int on_data(
        nghttp2_session* session,
        std::uint8_t flags,
        std::int32_t stream,
        const std::uint8_t* data,
        std::size_t size,
        void* user_data);
    static int on_frame(
        nghttp2_session* session, const nghttp2_frame* frame, void* user_data);
    static int on_close(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint32_t code,
        void* user_data);
    static ssize_t read_body(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint8_t* out,
        std::size_t capacity,
        std::uint32_t* flags,
        nghttp2_data_source* source,
        void* user_data);

    void make_session();
    asio::awaitable<void> read_loop();
    asio::awaitable<void> write_loop();
    asio::awaitable<void> handle_call(
        std::int32_t stream, stream_state_ptr call);
    std::string pending_output();
    void wake_writer();
    stream_state_ptr find_stream(std::int32_t stream) const;
    bool is_server() const;

    asio::io_context& context_;
    peer_stream stream_;
    peer_identity remote_;
    peer_handler handler_;
    nghttp2_session* session_ = nullptr;
    asio::steady_timer writer_timer_; ///< Cancelled to wake write_loop().
    std::map<std::int32_t, stream_state_ptr> streams_;
    bool closed_ = false;
    core::time_point last_read_at_;
};

} // namespace poplarroute::drivers
