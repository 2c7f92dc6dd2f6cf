#include "core/ids.hpp"

#include <charconv>
#include <string_view>

namespace poplarroute::core
{

namespace
{

bool parse_number(std::string_view text, std::uint64_t& out)
{
    const char* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, out);
    return status == std::errc() && stop == end && !text.empty();
}

} // namespace

std::string to_string(const attempt_id& attempt)
{
    return attempt.host_ + "." + std::to_string(attempt.incarnation_) + "." +
           std::to_string(attempt.number_);
}

bool parse(std::string_view text, attempt_id& out)
{
    const std::size_t last = text.rfind('.');
    if (last == std::string_view::npos || last == 0)
    {
        return false;
    }
    const std::size_t first = text.rfind('.', last - 1);
    if (first == std::string_view::npos || first == 0)
    {
        return false;
    }
    out.host_ = std::string(text.substr(0, first));
    return parse_number(
               text.substr(first + 1, last - first - 1), out.incarnation_) &&
           parse_number(text.substr(last + 1), out.number_);
}

} // namespace poplarroute::core
