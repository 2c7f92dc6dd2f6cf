#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarroute::node
{

/// A complete event of a stream.
struct stream_event
{
    std::string bytes_; ///< Includes the empty line that ends it.
    std::optional<std::int64_t> id_;
    bool has_data_ = false; ///< Without data, callers take no notice of it.
};

/// Incremental parser that splits an event stream (server-sent events, as
/// defined by HTML) into complete events. An event that an engine left
/// unfinished is never returned.
class event_stream_parser
{
public:
    /// Appends received bytes.
    void add(std::string_view bytes);

    /// \return the next complete event; nothing until more bytes are added.
    std::optional<stream_event> next();

    /// \return whether the buffered event is larger than any sensible one, so
    /// that what arrives is no event stream.
    bool is_overlong() const;

    /// \return the size of what is buffered.
    std::size_t pending_bytes() const
    {
        return pending_.size();
    }

    /// \return whether bytes of an incomplete event are buffered.
    bool has_partial_event() const
    {
        return !pending_.empty();
    }

private:
    std::string pending_;
    std::size_t searched_ = 0; ///< Bytes that hold no end of an event.
};

} // namespace poplarroute::node
