#include "drivers/http_message.hpp"

#include <boost/beast/core/string.hpp>

namespace poplarroute::drivers
{

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
