#include "node/event_stream_parser.hpp"

#include <algorithm>
#include <charconv>

namespace poplarroute::node
{

namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;

/// Length of the longest end of an event, less one.
constexpr std::size_t search_overlap = 2;

/// \param begin position before which no event ends.
/// \return the end of the first event, including its empty line; npos when no
/// event is complete.
std::size_t end_of_event(std::string_view text, std::size_t begin)
{
    for (std::size_t at = text.find('\n', begin); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        const std::string_view rest = text.substr(at + 1);
        if (rest.starts_with('\n'))
        {
            return at + 2;
        }
        if (rest.starts_with("\r\n"))
        {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

/// \return the event's numeric id; nothing when it has none.
std::optional<std::int64_t> id_of(std::string_view event)
{
    static constexpr std::string_view key = "id:";
    while (!event.empty())
    {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(
            end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(key))
        {
            continue;
        }
        line.remove_prefix(key.size());
        while (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        const auto read =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (read.ec == std::errc())
        {
            return id;
        }
    }
    return std::nullopt;
}

/// \return whether an event has a line of data.
bool has_data(std::string_view event)
{
    static constexpr std::string_view key = "data";
    for (std::size_t begin = 0; begin < event.size();)
    {
        if (event.substr(begin).starts_with(key))
        {
            return true;
        }
        const std::size_t end = event.find('\n', begin);
        begin = end == std::string_view::npos ? event.size() : end + 1;
    }
    return false;
}

} // namespace

void event_stream_parser::add(std::string_view bytes)
{
    pending_ += bytes;
}

bool event_stream_parser::is_overlong() const
{
    return pending_.size() > max_event_bytes;
}

std::optional<stream_event> event_stream_parser::next()
{
    const std::size_t end = end_of_event(pending_, searched_);
    if (end == std::string::npos)
    {
        searched_ = pending_.size() > search_overlap
                        ? pending_.size() - search_overlap
                        : 0;
        return std::nullopt;
    }
    searched_ = 0;
    stream_event out;
    out.bytes_ = pending_.substr(0, end);
    pending_.erase(0, end);
    out.id_ = id_of(out.bytes_);
    out.has_data_ = has_data(out.bytes_);
    return out;
}

} // namespace poplarroute::node
