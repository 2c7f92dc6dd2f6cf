#pragma once

#include <optional>
#include <string>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "node/document_download.hpp"
#include "node/document_sources.hpp"
#include "node/endpoint_list_follower.hpp"
#include "node/fleet_sections.hpp"
#include "node/leader_search.hpp"
#include "node/rollout_client.hpp"
#include "node/running_streams.hpp"
#include "node/usage_settler.hpp"

namespace poplarroute::node
{

/// An entry host's connection to the group: it watches the catalog and the
/// endpoint list at the leader, and settles the accounts' usage there.
///
/// A watch only announces a newer catalog or list. They are fetched in parts
/// beside it, so that their size neither delays the rest of the reply nor makes
/// a responsive leader look lost.
class catalog_watcher
{
public:
    catalog_watcher(
        context& with, const wire_codec& codec, rollout_client& rollouts);

    void start();

    /// \return whether this host should read the platform's list itself,
    /// because no leader has sent a recent one.
    bool list_is_stale() const;

private:
    /// Result of asking for one part of a document.
    enum class part_result
    {
        received,
        completed, ///< It was the last part.
        failed,    ///< Parts that arrived before are kept, unless damaged.
    };

    /// Download of one of the documents. Each has its own, so that one which
    /// members are slow to send does not delay the other.
    struct transfer
    {
        explicit transfer(drivers::asio::io_context& io) : wake_(io) {}

        drivers::asio::steady_timer wake_;
        core::time_point started_at_;
        core::host_id source_; ///< Of the last part.
    };

    awaitable<void> watch_loop();
    awaitable<void> catalog_loop();
    awaitable<void> list_loop();
    static awaitable<void> wait_for_news(transfer& waiting);
    awaitable<core::host_id> choose_source();
    awaitable<part_result> fetch_part(
        document_download& download,
        transfer& state,
        core::duration relay_timeout);
    awaitable<void> fetch_catalog_part();
    awaitable<void> fetch_list_part();
    std::vector<core::host_id> known_members() const;
    std::int64_t known_hosts() const;
    void apply(
        const watch_request& request,
        const watch_reply& reply,
        const core::host_id& from,
        core::time_point sent_at);
    void apply_endpoint_limits(
        const watch_reply& reply, core::time_point sent_at);
    void apply_host_count(const watch_reply& reply);
    void confirm_versions();
    void apply_quarantines(const watch_reply& reply);
    void apply_catalog(const watch_reply& reply);
    bool may_be_outdated(const watch_reply& reply) const;
    bool needs_catalog() const;
    void put_in_force(std::uint64_t version, std::string_view text);
    void refresh_limits();
    watch_request next_watch_request(bool wait) const;
    void record_leader_report(const core::host_id& member, bool leader_known);
    void record_watch_failure(
        const core::host_id& member,
        core::duration timeout,
        std::uint64_t bytes,
        const core::error& error);
    void record_leader_lost(
        const core::host_id& member, const core::error& error);
    void report_if_behind(const core::host_id& asked);

    context& with_;
    const wire_codec& codec_;
    rollout_client& rollouts_;
    core::time_point started_at_;
    leader_search search_;
    std::uint64_t crash_revision_ = 0;
    std::uint64_t limit_revision_ = 0;

    /// The newest catalog that a member has announced; 0: none.
    std::uint64_t known_revision_ = 0;
    std::uint64_t known_version_ = 0;

    endpoint_list_follower list_;
    usage_settler settler_;
    document_download catalog_download_;
    document_sources sources_;
    transfer catalog_transfer_;
    transfer list_transfer_;
    std::uint64_t unreadable_version_ = 0; ///< Newest that failed to decode.

    /// Since when this host has not had the newest catalog, or not heard from a
    /// leader that would tell it of one.
    std::optional<core::time_point> behind_since_;
    core::time_point next_behind_report_at_;
    bool was_reported_behind_ = false;

    /// Term of the leader whose quarantines are known, and the end of the time
    /// for which those of the previous leader hold, too. A member that restarts
    /// may lead again.
    std::uint64_t quarantine_term_ = 0;
    core::time_point keep_quarantines_until_;

    /// Members that recently replied that they know no leader, with the time.
    std::map<core::host_id, core::time_point> leaderless_members_;
};

} // namespace poplarroute::node
