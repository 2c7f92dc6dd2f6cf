#include "drivers/peer_connection.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <exception>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

namespace poplarroute::drivers
{

namespace
{

constexpr std::uint32_t max_concurrent_streams = 4096;
constexpr std::int32_t window_bytes = 4 * 1024 * 1024;
constexpr std::size_t max_body_bytes = 32 * 1024 * 1024;
constexpr std::size_t write_batch_bytes = 256 * 1024;
constexpr std::size_t read_buffer_bytes = 16 * 1024;

/// What an open connection takes besides its streams: read buffer, coroutines
/// and the state of nghttp2.
constexpr std::size_t connection_cost_bytes = 32 * 1024;
constexpr int status_ok = 200;
constexpr int status_error_base = 500;
constexpr const char* path_prefix = "/call/";

/// Silence after which a connection counts as broken, once a call has failed.
constexpr core::duration min_silence{300};

/// Longer than the name of any method. A longer one is not kept, so that the
/// call is refused as one of an unknown method.
constexpr std::size_t max_path_bytes = 256;

nghttp2_nv make_header(std::string_view key, std::string_view text)
{
    // nghttp2 copies both before it returns, and does not write to them.
    auto bytes = [](std::string_view view)
    {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(view.data()));
    };
    return {
        bytes(key), bytes(text), key.size(), text.size(), NGHTTP2_NV_FLAG_NONE};
}

peer_connection& connection_of(void* user_data)
{
    return *static_cast<peer_connection*>(user_data);
}

/// Runs the work of a callback. No exception may pass through nghttp2, which is
/// written in C; it ends the connection instead.
template <class Work>
int guard_callback(Work work)
{
    try
    {
        return work();
    }
    catch (const std::exception&)
    {
        report_exception("peer", std::current_exception());
    }
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

/// Encodes the kind of an error as a status from 500 on.
int status_of(core::errc code)
{
    return status_error_base + static_cast<int>(code);
}

core::errc code_of(int status)
{
    const int max_code = static_cast<int>(core::errc::storage);
    const int code = status - status_error_base;
    if (code < 0 || code > max_code)
    {
        return core::errc::invalid;
    }
    return static_cast<core::errc>(code);
}

} // namespace

peer_traffic& traffic()
{
    static peer_traffic counts;
    return counts;
}

void set_traffic_metrics(metrics& out)
{
    constexpr const char* name = "poplarroute_peer_bytes_total";
    const peer_traffic& counts = traffic();
    out.set(name, {{"direction", "in"}}, static_cast<double>(counts.bytes_in_));
    out.set(
        name, {{"direction", "out"}}, static_cast<double>(counts.bytes_out_));
}

peer_connection::peer_connection(
    asio::io_context& context,
    peer_stream stream,
    peer_identity remote,
    peer_handler handler,
    std::unique_ptr<held_connection> held)
    : context_(context),
      stream_(std::move(stream)),
      remote_(std::move(remote)),
      handler_(std::move(handler)),
      writer_timer_(context),
      held_(std::move(held))
{
    make_session();
}

peer_connection::~peer_connection()
{
    nghttp2_session_del(session_);
}

void peer_connection::make_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_close);
    if (is_server())
    {
        nghttp2_session_server_new(&session_, callbacks, this);
    }
    else
    {
        nghttp2_session_client_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
    }};
    nghttp2_submit_settings(
        session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
        session_, NGHTTP2_FLAG_NONE, 0, window_bytes);
}

/// Counts what the connection holds, on the server side.
/// \return false if there is no room for it, or the connection has been ended.
bool peer_connection::hold_bytes()
{
    if (!held_)
    {
        return true;
    }
    const bool has_room = held_->hold(connection_cost_bytes + *stream_bytes_);
    if (!has_room && !held_->ended())
    {
        held_->group().report("memory", held_->remote());
    }
    return has_room;
}

bool peer_connection::is_server() const
{
    return static_cast<bool>(handler_);
}

void peer_connection::start()
{
    auto self = shared_from_this();
    if (held_)
    {
        held_->set_ender(
            [connection = weak_from_this()](held_connection::phase)
            {
                if (const auto ended = connection.lock())
                {
                    ended->close();
                }
                return true;
            });
        held_->enter(held_connection::phase::idle);
    }
    spawn_task(
        context_,
        "peer_read",
        [](std::shared_ptr<peer_connection> connection) -> asio::awaitable<void>
        {
            co_await connection->run_and_close(connection->read_loop());
        }(self));
    spawn_task(
        context_,
        "peer_write",
        [](std::shared_ptr<peer_connection> connection) -> asio::awaitable<void>
        {
            co_await connection->run_and_close(connection->write_loop());
        }(self));
}

/// Runs a loop of the connection. An exception ends this connection only.
asio::awaitable<void> peer_connection::run_and_close(asio::awaitable<void> loop)
{
    std::exception_ptr thrown;
    try
    {
        co_await std::move(loop);
    }
    catch (const std::exception&)
    {
        thrown = std::current_exception();
    }
    if (thrown)
    {
        report_exception("peer", thrown);
        close();
    }
}

void peer_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    std::visit(
        [](auto& stream)
        {
            boost::beast::get_lowest_layer(stream).close();
        },
        stream_);
    for (auto& [stream, call] : streams_)
    {
        call->finished_timer_.cancel();
    }
    writer_timer_.cancel();
}

void peer_connection::close_if_unread(core::duration limit)
{
    if (!closed_ && writing_since_ &&
        core::steady_now() - *writing_since_ > limit)
    {
        held_->group().report("write_timeout", held_->remote());
        close();
    }
}

asio::awaitable<core::result<std::string>> peer_connection::call(
    std::string method, std::string body, core::duration deadline)
{
    if (closed_)
    {
        co_return core::error{core::errc::unreachable, "connection closed"};
    }
    if (streams_.size() >= max_concurrent_streams)
    {
        co_return core::error{core::errc::overloaded, "too many calls"};
    }
    auto self = shared_from_this();
    auto state = std::make_shared<stream_state>(context_, stream_bytes_);
    state->outgoing_ = std::move(body);
    const core::time_point started_at = core::steady_now();
    const std::string path = path_prefix + method;
    const std::array<nghttp2_nv, 4> headers{
        make_header(":method", "POST"),
        make_header(":scheme", "http"),
        make_header(":path", path),
        make_header(":authority", "peer")};
    nghttp2_data_provider body_source{};
    body_source.read_callback = read_body;
    body_source.source.ptr = state.get();
    const std::int32_t stream = nghttp2_submit_request(
        session_,
        nullptr,
        headers.data(),
        headers.size(),
        &body_source,
        nullptr);
    if (stream < 0)
    {
        close();
        co_return core::error{core::errc::unreachable, "no stream left"};
    }
    streams_[stream] = state;
    ++traffic().calls_out_;
    wake_writer();
    state->finished_timer_.expires_after(deadline.chrono());
    error_code cancelled;
    co_await state->finished_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
    if (state->finished_ && state->status_ == status_ok)
    {
        co_return std::move(state->incoming_);
    }
    if (state->finished_)
    {
        co_return core::error{code_of(state->status_), state->incoming_};
    }
    if (closed_)
    {
        co_return core::error{core::errc::broken, "connection lost"};
    }
    // A caller that gives up earlier says nothing about the connection.
    const bool is_due = core::steady_now() - started_at >= deadline;
    if (is_due && is_silent(started_at))
    {
        // A new connection may work.
        close();
        co_return core::error{core::errc::timeout, "silent: " + method};
    }
    nghttp2_submit_rst_stream(
        session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    wake_writer();
    co_return core::error{core::errc::timeout, "deadline passed: " + method};
}

/// \param call_started_at of a call whose deadline has passed.
/// \return whether the connection has been silent for so long that it counts as
/// broken. A call of a short deadline alone does not show that: the other side
/// may be late, and all other calls would be lost with the connection.
bool peer_connection::is_silent(core::time_point call_started_at)
{
    if (last_read_at_ > call_started_at)
    {
        return false;
    }
    const bool is_first = !silent_since_ || *silent_since_ < last_read_at_;
    silent_since_ =
        is_first ? call_started_at : std::min(*silent_since_, call_started_at);
    return core::steady_now() - *silent_since_ >= min_silence;
}

peer_connection::stream_state_ptr peer_connection::find_stream(
    std::int32_t stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second;
}

int peer_connection::on_begin_headers(
    nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    return guard_callback(
        [&]() -> int
        {
            peer_connection& connection = connection_of(user_data);
            if (connection.is_server() &&
                frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            {
                connection.streams_[frame->hd.stream_id] =
                    std::make_shared<stream_state>(
                        connection.context_, connection.stream_bytes_);
                connection.held_->enter(held_connection::phase::arriving);
                if (!connection.hold_bytes())
                {
                    return NGHTTP2_ERR_CALLBACK_FAILURE;
                }
            }
            return 0;
        });
}

int peer_connection::on_header(
    nghttp2_session*,
    const nghttp2_frame* frame,
    const std::uint8_t* key,
    std::size_t key_size,
    const std::uint8_t* text,
    std::size_t text_size,
    std::uint8_t,
    void* user_data)
{
    return guard_callback(
        [&]() -> int
        {
            const stream_state_ptr found =
                connection_of(user_data).find_stream(frame->hd.stream_id);
            if (!found)
            {
                return 0;
            }
            const std::string_view key_view(
                reinterpret_cast<const char*>(key), key_size);
            const std::string_view text_view(
                reinterpret_cast<const char*>(text), text_size);
            if (key_view == ":path" && text_view.starts_with(path_prefix) &&
                text_view.size() <= max_path_bytes)
            {
                found->method_ = text_view.substr(std::strlen(path_prefix));
            }
            if (key_view == ":status")
            {
                found->status_ = std::atoi(std::string(text_view).c_str());
            }
            return 0;
        });
}

int peer_connection::on_data(
    nghttp2_session*,
    std::uint8_t,
    std::int32_t stream,
    const std::uint8_t* data,
    std::size_t size,
    void* user_data)
{
    return guard_callback(
        [&]() -> int
        {
            peer_connection& connection = connection_of(user_data);
            const stream_state_ptr found = connection.find_stream(stream);
            if (!found)
            {
                return 0;
            }
            if (found->incoming_.size() + size > max_body_bytes)
            {
                return NGHTTP2_ERR_CALLBACK_FAILURE;
            }
            found->add_bytes(size);
            if (!connection.hold_bytes())
            {
                return NGHTTP2_ERR_CALLBACK_FAILURE;
            }
            found->incoming_.append(reinterpret_cast<const char*>(data), size);
            return 0;
        });
}

int peer_connection::on_frame(
    nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    return guard_callback(
        [&]() -> int
        {
            peer_connection& connection = connection_of(user_data);
            const bool body_frame = frame->hd.type == NGHTTP2_DATA ||
                                    frame->hd.type == NGHTTP2_HEADERS;
            if (!body_frame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            {
                return 0;
            }
            const stream_state_ptr found =
                connection.find_stream(frame->hd.stream_id);
            if (!found)
            {
                return 0;
            }
            if (connection.is_server())
            {
                ++traffic().calls_in_;
                spawn_task(
                    connection.context_,
                    "peer_call",
                    connection.handle_call(frame->hd.stream_id, found));
                return 0;
            }
            found->finished_ = true;
            found->finished_timer_.cancel();
            return 0;
        });
}

int peer_connection::on_close(
    nghttp2_session*, std::int32_t stream, std::uint32_t, void* user_data)
{
    return guard_callback(
        [&]() -> int
        {
            peer_connection& connection = connection_of(user_data);
            const stream_state_ptr found = connection.find_stream(stream);
            if (found && !found->finished_)
            {
                found->finished_timer_.cancel();
            }
            connection.streams_.erase(stream);
            if (connection.held_ && connection.streams_.empty())
            {
                connection.held_->enter(held_connection::phase::idle);
                connection.hold_bytes();
            }
            return 0;
        });
}

ssize_t peer_connection::read_body(
    nghttp2_session*,
    std::int32_t,
    std::uint8_t* out,
    std::size_t capacity,
    std::uint32_t* flags,
    nghttp2_data_source* source,
    void*)
{
    auto* call = static_cast<stream_state*>(source->ptr);
    const std::size_t rest = call->outgoing_.size() - call->sent_;
    const std::size_t size = std::min(capacity, rest);
    std::memcpy(out, call->outgoing_.data() + call->sent_, size);
    call->sent_ += size;
    if (call->sent_ == call->outgoing_.size())
    {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size);
}

/// Runs the handler of a call. An exception ends this call only, with an error
/// as its reply.
asio::awaitable<core::result<std::string>> peer_connection::answer(
    std::string method, std::string body)
{
    try
    {
        core::result<std::string> reply =
            co_await handler_(remote_, std::move(method), std::move(body));
        co_return reply;
    }
    catch (const std::exception&)
    {
        report_exception("peer_call", std::current_exception());
    }
    co_return core::error{core::errc::invalid, "the call cannot be handled"};
}

asio::awaitable<void> peer_connection::handle_call(
    std::int32_t stream, stream_state_ptr call)
{
    auto self = shared_from_this();
    const core::result<std::string> reply =
        co_await answer(call->method_, std::move(call->incoming_));
    if (closed_ || find_stream(stream) != call)
    {
        co_return;
    }
    int status = status_ok;
    if (core::is_ok(reply))
    {
        call->outgoing_ = core::value(reply);
    }
    else
    {
        status = status_of(core::failure(reply).code_);
        call->outgoing_ = core::failure(reply).message_;
    }
    call->add_bytes(call->outgoing_.size());
    if (!hold_bytes())
    {
        close();
        co_return;
    }
    const std::string status_text = std::to_string(status);
    const std::array<nghttp2_nv, 1> headers{
        make_header(":status", status_text)};
    nghttp2_data_provider body_source{};
    body_source.read_callback = read_body;
    body_source.source.ptr = call.get();
    nghttp2_submit_response(
        session_, stream, headers.data(), headers.size(), &body_source);
    wake_writer();
}

void peer_connection::wake_writer()
{
    writer_timer_.cancel();
}

std::string peer_connection::pending_output()
{
    std::string out;
    while (out.size() < write_batch_bytes)
    {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(session_, &data);
        if (size <= 0)
        {
            break;
        }
        out.append(
            reinterpret_cast<const char*>(data),
            static_cast<std::size_t>(size));
    }
    return out;
}

asio::awaitable<void> peer_connection::write_loop()
{
    while (!closed_)
    {
        const std::string out = pending_output();
        error_code failed;
        if (out.empty())
        {
            writer_timer_.expires_at(asio::steady_timer::time_point::max());
            co_await writer_timer_.async_wait(
                asio::redirect_error(asio::use_awaitable, failed));
            continue;
        }
        traffic().bytes_out_ += out.size();
        writing_since_ = core::steady_now();
        co_await std::visit(
            [&](auto& stream) -> asio::awaitable<void>
            {
                co_await asio::async_write(
                    stream,
                    asio::buffer(out),
                    asio::redirect_error(asio::use_awaitable, failed));
            },
            stream_);
        writing_since_.reset();
        if (failed)
        {
            close();
        }
    }
}

asio::awaitable<void> peer_connection::read_loop()
{
    std::string buffer(read_buffer_bytes, '\0');
    while (!closed_)
    {
        error_code failed;
        std::size_t size = 0;
        co_await std::visit(
            [&](auto& stream) -> asio::awaitable<void>
            {
                size = co_await stream.async_read_some(
                    asio::buffer(buffer),
                    asio::redirect_error(asio::use_awaitable, failed));
            },
            stream_);
        if (failed || closed_)
        {
            break;
        }
        traffic().bytes_in_ += size;
        last_read_at_ = core::steady_now();
        const ssize_t used = nghttp2_session_mem_recv(
            session_,
            reinterpret_cast<const std::uint8_t*>(buffer.data()),
            size);
        if (used < 0)
        {
            break;
        }
        wake_writer();
    }
    close();
}

} // namespace poplarroute::drivers
