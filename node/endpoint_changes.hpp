#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "node/catalog_messages.hpp"
#include "node/fleet_sections.hpp"

namespace poplarroute::node
{

/// Bounds of a history of changes and of one message from it.
struct endpoint_change_bounds
{
    std::size_t history_entries_ = 4'096;
    std::size_t history_bytes_ = 512 * 1024;
    /// Beyond one of these a host fetches the whole list, in parts.
    std::size_t message_entries_ = 256;
    std::size_t message_bytes_ = 32 * 1024;
};

/// The last changes of an endpoint list, for hosts that know an earlier
/// revision of it.
///
/// Load: a list of thousands of endpoints of which a few change several times
/// per second, and hundreds of hosts that are some revisions behind. Each
/// endpoint is kept once, with the revision of its last change. Changes since a
/// revision therefore contain the newest state of each endpoint, and apply to
/// that revision and to all later ones.
class endpoint_changes
{
public:
    explicit endpoint_changes(endpoint_change_bounds bounds = {})
        : bounds_(bounds)
    {
    }

    /// Records a revision of the list. The first one begins the history.
    /// \param revision larger than that of the previous call.
    void update(
        std::uint64_t revision,
        const std::map<core::endpoint_id, known_endpoint>& list);

    /// \param revision that a host has of the list.
    /// \param read_at time that the message's times are relative to.
    /// \return the changes that lead to the newest revision; nothing if the
    /// history does not reach back far enough or the message would be too
    /// large.
    std::optional<list_changes> since(
        std::uint64_t revision, core::time_point read_at) const;

    /// \return endpoints removed after a revision, as far as the history
    /// reaches back: the newest ones, at most message_entries_.
    std::vector<core::endpoint_id> removed_since(std::uint64_t revision) const;

    /// \return the newest revision.
    std::uint64_t revision() const
    {
        return revision_;
    }

    /// \return the number of endpoints whose changes are kept.
    std::size_t size() const
    {
        return history_.size();
    }

private:
    struct state
    {
        std::optional<known_endpoint> endpoint_; ///< Nothing: removed.
        std::uint64_t changed_at_ = 0;           ///< Revision.
    };

    using states = std::map<core::endpoint_id, state>;

    void record(
        states::iterator item,
        const std::optional<known_endpoint>& endpoint,
        std::uint64_t revision);
    void forget(states::iterator item);
    void forget_oldest();

    endpoint_change_bounds bounds_;
    states states_;
    /// Endpoints by the revision of their last change, as far back as kept.
    std::set<std::pair<std::uint64_t, core::endpoint_id>> history_;
    /// Those that were removed.
    std::set<std::pair<std::uint64_t, core::endpoint_id>> removed_;
    std::size_t history_bytes_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t complete_since_ = 0; ///< Oldest revision that can be served.
};

/// Applies changes to a host's view of the list.
/// \param revision of the host's view, updated.
/// \param read_at time that the changes' times are relative to, on this host's
/// clock.
/// \return whether the view is newer now. Changes that were applied before, are
/// older than the view, or begin after its revision change nothing.
bool apply_list_changes(
    const list_changes& changes,
    core::time_point read_at,
    std::uint64_t& revision,
    std::map<core::endpoint_id, known_endpoint>& endpoints);

/// \return an endpoint as a message.
/// \param read_at time that the message's times are relative to.
endpoint_message to_message(
    const known_endpoint& item, core::time_point read_at);

} // namespace poplarroute::node
