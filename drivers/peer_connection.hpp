#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <nghttp2/nghttp2.h>

#include "drivers/connection_budget.hpp"
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
    /// \param held limits what the connection holds, on the server side; null
    /// on the client side, where deadlines and own calls do.
    peer_connection(
        asio::io_context& context,
        peer_stream stream,
        peer_identity remote,
        peer_handler handler,
        std::unique_ptr<held_connection> held = nullptr);
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

    /// Closes the connection if the other side has not read for a time.
    void close_if_unread(core::duration limit);

    /// Makes a call and waits for its reply.
    asio::awaitable<core::result<std::string>> call(
        std::string method, std::string body, core::duration deadline);

private:
    /// State of one HTTP/2 stream, on either side.
    struct stream_state
    {
        stream_state(
            asio::io_context& context, std::shared_ptr<std::size_t> all_bytes)
            : finished_timer_(context), all_bytes_(std::move(all_bytes))
        {
            *all_bytes_ += bytes_;
        }

        ~stream_state()
        {
            *all_bytes_ -= bytes_;
        }

        stream_state(const stream_state&) = delete;
        stream_state& operator=(const stream_state&) = delete;

        void add_bytes(std::size_t bytes)
        {
            bytes_ += bytes;
            *all_bytes_ += bytes;
        }

        std::string method_;
        std::string incoming_;
        std::string outgoing_;
        std::size_t sent_ = 0; ///< Bytes of outgoing_ given to nghttp2.
        int status_ = 0;
        bool finished_ = false;
        asio::steady_timer finished_timer_; ///< Cancelled to wake the caller.

    private:
        /// What a stream takes, here and in nghttp2, besides its bodies.
        static constexpr std::size_t stream_cost_bytes_ = 1024;

        std::size_t bytes_ = stream_cost_bytes_;
        std::shared_ptr<std::size_t> all_bytes_; ///< Of the connection.
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
    bool hold_bytes();
    bool is_silent(core::time_point call_started_at);
    asio::awaitable<void> read_loop();
    asio::awaitable<void> write_loop();
    asio::awaitable<void> run_and_close(asio::awaitable<void> loop);
    asio::awaitable<core::result<std::string>> answer(
        std::string method, std::string body);
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
    std::unique_ptr<held_connection> held_;
    /// Bytes of all streams, also of those whose handler still runs after they
    /// were reset.
    std::shared_ptr<std::size_t> stream_bytes_ =
        std::make_shared<std::size_t>(0);
    std::map<std::int32_t, stream_state_ptr> streams_;
    std::optional<core::time_point> writing_since_;
    bool closed_ = false;
    core::time_point last_read_at_;
    /// When the earliest call began that has failed since anything arrived.
    std::optional<core::time_point> silent_since_;
};

} // namespace poplarroute::drivers
