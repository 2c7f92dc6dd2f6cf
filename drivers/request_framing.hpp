#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>

#include "drivers/http_message.hpp"
#include "drivers/message_parser.hpp"

namespace poplarroute::drivers
{

/// Limits on one request.
struct request_limits
{
    std::size_t header_bytes_ = 16 * 1024; ///< Also of all its trailers.
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    std::size_t framing_bytes_ = 64 * 1024; ///< Around the body.
};

/// Why a request is refused before it is read.
struct request_refusal
{
    std::string_view reason_; ///< For the log and metrics.
    int status_;
    std::string_view error_; ///< JSON members for the client.
};

/// Parses one request from bytes, without I/O, and limits what they can make a
/// process hold. Trailers are read and discarded.
class request_framing
{
public:
    using buffer_type = boost::beast::flat_buffer;

    /// \param buffer what has arrived and is not parsed; it keeps what follows
    /// the request.
    /// \param remote the caller's address, for the request.
    request_framing(
        request_limits limits, buffer_type& buffer, std::string remote);

    /// \return space for the next bytes; never empty unless parse() has
    /// refused the request.
    boost::asio::mutable_buffer prepare();

    /// Parses what is in the buffer.
    /// \return why the request is refused; nothing if it may go on.
    std::optional<request_refusal> parse();

    /// \return whether the request is complete.
    bool is_done() const
    {
        return parser_.is_done();
    }

    /// \return the bytes that buffer and headers take.
    std::size_t held_bytes() const
    {
        return buffer_.capacity() + parsed_cost_;
    }

    std::size_t body_bytes() const
    {
        return parser_.body().size();
    }

    /// \pre is_done().
    bool keep_alive() const
    {
        return parser_.keep_alive();
    }

    /// \pre is_done(), and called once.
    http_request take();

private:
    void count_header(std::size_t used);
    bool has_folded_line(std::size_t used) const;
    void take_header();
    std::optional<request_refusal> check_limits() const;

    request_limits limits_;
    buffer_type& buffer_;
    message_parser<true> parser_;
    http_request request_;
    std::size_t wire_bytes_ = 0;
    std::size_t parsed_cost_ = 0;
    bool is_folded_ = false; ///< Whether a field of the header is folded.
};

} // namespace poplarroute::drivers
