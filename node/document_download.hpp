#pragma once

#include <string>

#include "node/catalog_messages.hpp"

namespace poplarroute::node
{

/// A host's download of a document in parts, from any members.
///
/// What has arrived is kept when a call fails or another member is asked, so
/// each part that arrives is progress. A download that has begun is completed
/// even when a newer revision exists meanwhile.
class document_download
{
public:
    /// State of the download after a part.
    enum class progress
    {
        incomplete,
        complete, ///< content() is the whole document.
        damaged,  ///< What has arrived was discarded.
    };

    /// Sets the document to download, unless the download of an earlier
    /// revision of it has begun.
    /// \param least_revision oldest revision that will do; 0: only this one or
    /// a newer one.
    void want(const document_id& id, std::uint64_t least_revision = 0);

    /// \return the request for the next part.
    document_part_request next_request() const;

    /// Adds the part that a member replied with.
    progress add(const document_part_reply& part);

    /// \return the complete document's id.
    const document_id& id() const
    {
        return id_;
    }

    /// \return the age of the document's content when its last part was sent.
    core::duration age() const
    {
        return age_;
    }

    /// \return the complete document as it was received.
    const std::string& compressed() const
    {
        return received_;
    }

    /// Ends the download.
    /// \return the complete document.
    std::string take_content();

private:
    void restart(const document_part_reply& part);
    progress discard();

    document_id id_;
    std::uint64_t least_revision_ = 0;
    std::uint64_t size_ = 0;
    std::uint64_t checksum_ = 0;
    core::duration age_;
    std::string received_; ///< Compressed.
    std::string content_;
};

} // namespace poplarroute::node
