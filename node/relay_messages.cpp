#include "node/relay_messages.hpp"

#include <boost/beast/core/string.hpp>

namespace poplarroute::node
{

bool is_relay_header(std::string_view name)
{
    const std::string_view prefix = relay_header::prefix;
    return boost::beast::iequals(name.substr(0, prefix.size()), prefix);
}

} // namespace poplarroute::node
