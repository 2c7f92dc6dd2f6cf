#include "drivers/http_message.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

namespace poplarroute::drivers
{

namespace
{

constexpr std::array<std::string_view, 9> connection_headers{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect"};

} // namespace

bool is_connection_header(std::string_view name)
{
    return std::any_of(
        connection_headers.begin(),
        connection_headers.end(),
        [name](std::string_view item)
        {
            return boost::beast::iequals(item, name);
        });
}

std::string_view find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [key, text] : headers)
    {
        if (boost::beast::iequals(key, name))
        {
            return text;
        }
    }
    return {};
}

} // namespace poplarroute::drivers
