#pragma once

#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "node/catalog_messages.hpp"

namespace poplarroute::node
{

/// Documents that a group member offers to hosts, compressed, in parts.
///
/// The parts are small, so that one arrives within a call's timeout over a slow
/// link, and a host that lost one asks for that part alone. Older revisions
/// remain available while hosts fetch them, so that frequent changes do not
/// make a host start again and again.
class document_parts
{
public:
    /// Makes a document available.
    /// \param content the document, not compressed.
    /// \param as_of time from which the content's age is counted.
    void put(
        const document_id& id,
        std::string_view content,
        core::time_point as_of);

    /// Makes a document available that another member has compressed.
    void put_compressed(
        const document_id& id, std::string bytes, core::time_point as_of);

    /// \return whether a document is available.
    bool contains(const document_id& id) const;

    /// \return the newest available revision of a document; 0: none.
    std::uint64_t newest_revision(std::string_view name) const;

    /// \return the part that begins at the requested offset; nothing when the
    /// document is not available or the offset is outside it.
    std::optional<document_part_reply> part(
        const document_part_request& request, core::time_point now);

private:
    struct document
    {
        document_id id_;
        std::string bytes_;
        std::uint64_t checksum_ = 0;
        core::time_point as_of_;
    };

    std::list<document> documents_; ///< The most recently requested first.
};

} // namespace poplarroute::node
