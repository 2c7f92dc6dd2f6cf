#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/document_download.hpp"
#include "node/document_parts.hpp"

namespace poplarroute::node
{

/// Serves the leader's endpoint list at a group member that does not lead.
///
/// It is a cache: a list that it lacks is downloaded from the leader once, for
/// all hosts that ask for it. It serves the leader's own bytes, so that parts
/// from different members fit together, and announces nothing, so that it
/// cannot pass an old list off as the newest.
class document_relay
{
public:
    /// \param leader returns the leader; empty: none is known.
    document_relay(context& with, std::function<core::host_id()> leader);

    /// \return a part of a document, or an error of kind not_ready if the
    /// leader does not provide the document in time.
    awaitable<core::result<document_part_reply>> answer_part(
        document_part_request request);

private:
    std::optional<document_part_reply> kept_part(
        const document_part_request& request);
    awaitable<void> fetch(document_id id);
    core::error refuse(const char* reason);

    context& with_;
    std::function<core::host_id()> leader_;
    document_parts kept_;
    core::time_point fetched_at_;
    bool is_fetching_ = false;
    std::vector<std::shared_ptr<drivers::asio::steady_timer>> waiting_;
};

} // namespace poplarroute::node
