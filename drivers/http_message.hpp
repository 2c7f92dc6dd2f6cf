#pragma once

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
