#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarroute::drivers
{

/// A header list in the order it was received or is to be sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// \return the first value of a header, whose name is compared without regard
/// to case; empty if absent.
std::string_view find_header(const header_list& headers, std::string_view name);

/// \return whether a header applies to a single connection, or frames a message
/// on it, and is not forwarded (RFC 9110, 7.6.1).
bool is_connection_header(std::string_view name);

/// \return whether the fields of a message leave in doubt where its body ends
/// (RFC 9112, 6.1 to 6.3). Codings other than chunked are not asked for and
/// count as such.
/// \param version of HTTP, 10 or 11.
bool has_doubtful_framing(const header_list& headers, int version);

/// \return whether a response of a status never has a body (RFC 9110, 6.4.1).
bool is_bodiless(int status);

/// How the body of a message is delimited.
struct body_framing
{
    /// Bytes of the body; nothing: the message has no Content-Length.
    std::optional<std::size_t> length_;
    bool chunked_ = false;
};

/// Formats the start line and the fields of a request in HTTP/1.1. Line breaks
/// within a text are replaced, so that no text begins a field or a message.
/// \param host the Host field, unless the headers have one.
std::string format_request_head(
    std::string_view method,
    std::string_view target,
    std::string_view host,
    const header_list& headers,
    const body_framing& framing);

/// Formats the status line and the fields of a response in HTTP/1.1, as
/// format_request_head() does.
/// \param status a value that is no status of a final response is sent as 502.
std::string format_response_head(
    int status,
    const header_list& headers,
    const body_framing& framing,
    bool keep_alive);

/// A caller's request with its whole body.
struct http_request
{
    std::string method_;
    std::string target_;
    header_list headers_;
    std::string body_;
    std::string remote_; ///< The caller's address, for logs.
};

} // namespace poplarroute::drivers
