#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarroute::node
{

/// A whole event of a stream.
struct stream_event
{
    std::string bytes_; ///< With the empty line at its end.
    std::optional<std::int64_t> id_;
};

/// Cuts the bytes of an event stream into whole events (the format of HTML's
/// server-sent events). What an engine left unfinished is never passed on.
class event_reader
{
public:
    void add(std::string_view bytes);

    /// \return the next whole event, or nothing yet.
    std::optional<stream_event> next();

    /// \return whether bytes of an unfinished event are left.
    bool unfinished() const
    {
        return !pending_.empty();
    }

private:
    std::string pending_;
};

} // namespace poplarroute::node
