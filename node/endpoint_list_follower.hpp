#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/document_download.hpp"
#include "node/fleet_sections.hpp"

namespace poplarroute::node
{

/// An entry host's view of the leader's endpoint list, brought up to date by
/// changes in the replies to its watches, or by a download of the whole list
/// where the leader has no changes from the host's revision.
class endpoint_list_follower
{
public:
    explicit endpoint_list_follower(context& with);

    /// Adds to a watch request what is known of the list.
    void add_to(watch_request& request) const;

    /// Applies a leader's reply.
    /// \param request that it replies to.
    void apply(const watch_request& request, const watch_reply& reply);

    /// \return whether the whole list has to be downloaded. Only the leader has
    /// its list.
    bool needs_download() const;

    /// \return whether the list in force is not newer than the last reply, so
    /// that what the reply said besides covers it.
    bool is_announced() const;

    /// \return the download of the newest list, begun unless an earlier
    /// revision's goes on.
    document_download& download();

    /// Puts the downloaded list in force.
    /// \return whether it is newer than the list that was.
    bool finish_download();

private:
    endpoint_section& list() const;
    bool is_outdated() const;
    bool is_own_list() const;
    std::uint64_t least_revision() const;
    void apply_changes(const watch_reply& reply, core::time_point read_at);
    void replace(
        std::span<const endpoint_message> items,
        std::uint64_t revision,
        core::time_point read_at);
    void leave_out(std::span<const core::endpoint_id> names);

    context& with_;

    /// The list that the leader has announced.
    std::string known_epoch_;
    std::uint64_t known_revision_ = 0;
    core::time_point known_read_at_;       ///< Last read, changed or not.
    std::uint64_t announced_revision_ = 0; ///< In the last reply.

    /// Revision in force from which the leader had no changes.
    std::string uncovered_epoch_;
    std::uint64_t uncovered_revision_ = 0;

    /// Whether endpoints were left out that only another leader's list shows as
    /// leaving. Changes of the list in force do not put them back.
    bool is_altered_ = false;

    document_download download_;
};

} // namespace poplarroute::node
