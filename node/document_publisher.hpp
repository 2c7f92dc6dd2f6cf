#pragma once

#include <string>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/document_parts.hpp"
#include "node/endpoint_changes.hpp"
#include "node/fleet_sections.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

/// What a group member offers to hosts: the catalog and, while it leads, the
/// endpoint list; whole in parts, and the list's last changes with the reply to
/// a watch. Each is encoded once for all hosts.
class document_publisher
{
public:
    document_publisher(context& with, const catalog_replica& group);

    /// Sets when this member became the leader. An endpoint list that was read
    /// before is not offered.
    void begin_leading(core::time_point now);

    /// Records that the endpoint list has changed.
    void record_list();

    /// \return whether there is an endpoint list that the host has not been
    /// told of, or can be brought up to date with changes.
    bool has_list_news(const watch_request& request);

    /// Adds what the host needs to know of the endpoint list.
    void add_list(const watch_request& request, watch_reply& reply);

    /// \return a part of a document, or an error of kind not_ready.
    core::result<document_part_reply> answer_part(
        const document_part_request& request);

private:
    bool has_current_list() const;
    bool has_newest_list(const watch_request& request) const;
    const std::string* encoded_changes(const watch_request& request);
    const std::vector<core::endpoint_id>& leaving_endpoints();

    context& with_;
    const catalog_replica& group_;
    core::time_point leading_since_;
    document_parts documents_;
    endpoint_changes changes_;

    /// Encoded changes by the revision that they begin at, valid for the
    /// revision and the time of the last read below. Empty: none can be sent.
    std::map<std::uint64_t, std::string> encoded_changes_;
    std::uint64_t encoded_revision_ = 0;
    core::time_point encoded_read_at_;

    std::vector<core::endpoint_id> leaving_;
    std::uint64_t leaving_revision_ = 0;
};

} // namespace poplarroute::node
