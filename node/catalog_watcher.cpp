#include "node/catalog_watcher.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "core/digest.hpp"
#include "drivers/log.hpp"
#include "node/limit_messages.hpp"
#include "node/reach_monitor.hpp"

namespace poplarroute::node
{

using drivers::log_event;
using drivers::log_level;

namespace
{

/// How long the leader may hold a watch request before it replies.
constexpr core::duration max_watch_wait{800};

/// Interval of the requests that look for a leader.
constexpr core::duration leader_search_interval{60};

/// Validity of a member's reply that it knows no leader.
constexpr core::duration leaderless_report_validity{1'500};

/// Timeout of one part of a document. A member that may be lost is waited for
/// less long than the leader, to which the watch is open. It may first have to
/// fetch the endpoint list itself, or to wait for a catalog that it is about to
/// apply.
constexpr core::duration part_timeout{2'000};
constexpr core::duration list_relay_timeout{1'000};
constexpr core::duration catalog_relay_timeout{500};
constexpr core::duration catalog_relay_timeout_of_large_fleets{1'000};

/// Interval at which a host without members looks for one.
constexpr core::duration source_search_interval{60};

/// How long the quarantines that a previous leader imposed hold after a change
/// of leader. The new leader takes them over meanwhile.
constexpr core::duration previous_quarantines_validity{6'000};

/// Time after its start in which a host accepts its first catalog only from a
/// member whose catalog is current. Keys may have been withdrawn since; but a
/// host that reaches no such member has to serve at last.
constexpr core::duration outdated_catalog_wait{3'000};

/// A leader that has told a host nothing for longer may have announced a newer
/// catalog to others.
constexpr core::duration max_leader_silence{1'500};

/// Time for which a host may be behind without a line in the log, and the
/// interval of these lines.
constexpr core::duration unreported_lateness{700};
constexpr core::duration behind_report_interval{1'000};

/// \return what an error says of the member that was asked for a part.
document_sources::failure failure_kind(const core::error& problem)
{
    const bool is_lost = problem.code_ == core::errc::timeout ||
                         problem.code_ == core::errc::broken ||
                         problem.code_ == core::errc::unreachable;
    return is_lost ? document_sources::failure::lost
                   : document_sources::failure::not_ready;
}

} // namespace

catalog_watcher::catalog_watcher(
    context& with, const wire_codec& codec, rollout_client& rollouts)
    : with_(with),
      codec_(codec),
      rollouts_(rollouts),
      list_(with),
      settler_(with),
      catalog_transfer_(with.io_),
      list_transfer_(with.io_)
{
}

void catalog_watcher::start()
{
    started_at_ = core::steady_now();
    catalog_transfer_.started_at_ = started_at_;
    list_transfer_.started_at_ = started_at_;
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const std::uint64_t seed = core::stable_hash(with_.identity().host_);
    meter = policy::account_meter(seed);
    with_.board_.section<endpoint_section>().limits_ =
        policy::endpoint_allowance(seed);
    sources_ = document_sources(seed);
    if (!with_.board_.section<settings_section>().settings_.first_start_)
    {
        meter.start_empty();
    }
    drivers::spawn_loop(
        with_.io_,
        "watch_loop",
        [this]()
        {
            return watch_loop();
        });
    drivers::spawn_loop(
        with_.io_,
        "catalog_loop",
        [this]()
        {
            return catalog_loop();
        });
    drivers::spawn_loop(
        with_.io_,
        "list_loop",
        [this]()
        {
            return list_loop();
        });
    settler_.start();
}

bool catalog_watcher::list_is_stale() const
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    return core::steady_now() - list.read_at_ > max_list_age &&
           with_.board_.section<catalog_section>().view_ != nullptr;
}

/// \return the members of the group and those that the settings name.
std::vector<core::host_id> catalog_watcher::known_members() const
{
    const group_section& group = with_.board_.section<group_section>();
    const auto& seeds =
        with_.board_.section<settings_section>().settings_.seeds_;
    std::vector<core::host_id> all = group.members_;
    for (const std::string& seed : seeds)
    {
        if (std::find(all.begin(), all.end(), seed) == all.end())
        {
            all.push_back(seed);
        }
    }
    return all;
}

/// \return the number of entry hosts; 0 if none is known.
std::int64_t catalog_watcher::known_hosts() const
{
    return with_.board_.section<group_section>().hosts_.value_or(0);
}

watch_request catalog_watcher::next_watch_request(bool wait) const
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    watch_request out;
    out.host_ = with_.identity().host_;
    out.revision_ = with_.board_.section<catalog_section>().revision_;
    list_.add_to(out);
    out.crash_revision_ = crash_revision_;
    out.known_revision_ = known_revision_;
    out.fetches_parts_ = true;
    const auto& crashers = with_.board_.section<group_section>().crashers_;
    out.crashers_.assign(crashers.begin(), crashers.end());
    out.hosts_ =
        with_.board_.section<group_section>().hosts_.value_or(out.hosts_);
    out.leaving_ = list.notices_.unlisted_leaving(core::steady_now());
    out.limits_ =
        to_limit_messages(list.limits_.statements(), core::steady_now());
    out.limit_revision_ = limit_revision_;
    const reach_section& reach = with_.board_.section<reach_section>();
    out.zone_ = with_.identity().zone_;
    if (!with_.board_.section<lifecycle_section>().leaving_)
    {
        out.relay_ = reach.relay_address_;
    }
    out.lost_services_.assign(reach.lost_.begin(), reach.lost_.end());
    out.wait_ms_ = wait ? max_watch_wait.ms_ : 0;
    out.places_ = running_placements(
        with_.board_.section<stream_section>(), core::steady_now());
    return out;
}

void catalog_watcher::record_leader_lost(
    const core::host_id& member, const core::error& error)
{
    group_section& group = with_.board_.section<group_section>();
    if (!group.leader_.empty())
    {
        log_event(
            log_level::warning,
            "leader_lost",
            {{"leader", group.leader_},
             {"asked", member},
             {"problem", error.message_},
             {"heard_ms_ago",
              (core::steady_now() - group.leader_contact_at_).ms_}});
    }
    const core::time_point now = core::steady_now();
    search_.record_failure(member, now);
    // In a large fleet, members are late for a moment when all hosts ask. They
    // still come before the leader.
    const bool is_lost =
        failure_kind(error) == document_sources::failure::lost &&
        known_hosts() <= max_hosts_of_small_fleets;
    if (is_lost)
    {
        sources_.record_silence(member, now);
    }
    group.leader_.clear();
}

/// \param bytes what arrived from all peers during the attempt.
void catalog_watcher::record_watch_failure(
    const core::host_id& member,
    core::duration timeout,
    std::uint64_t bytes,
    const core::error& error)
{
    log_event(
        log_level::warning,
        "watch_failed",
        {{"asked", member},
         {"problem", error.message_},
         {"timeout_ms", timeout.ms_},
         {"bytes_in", bytes},
         {"revision", with_.board_.section<catalog_section>().revision_}});
    with_.metrics_.count(
        "poplarroute_watch_failures_total",
        {{"kind", error.code_ == core::errc::timeout ? "timeout" : "other"}});
}

/// Logs whom this host asks and what it has, while it may lack the newest
/// catalog.
/// \param asked the member of the next watch request.
void catalog_watcher::report_if_behind(const core::host_id& asked)
{
    const core::time_point now = core::steady_now();
    const group_section& group = with_.board_.section<group_section>();
    const catalog_section& section = with_.board_.section<catalog_section>();
    const std::uint64_t version =
        section.view_ ? section.view_->whole().version_ : 0;
    const core::duration silence = now - group.leader_contact_at_;
    if (!needs_catalog() && silence <= max_leader_silence)
    {
        if (was_reported_behind_)
        {
            log_event(
                log_level::info,
                "catalog_caught_up",
                {{"version", version},
                 {"leader", group.leader_},
                 {"after_ms", (now - *behind_since_).ms_}});
        }
        behind_since_.reset();
        was_reported_behind_ = false;
        return;
    }
    behind_since_ = behind_since_.value_or(now);
    const bool is_due = now - *behind_since_ >= unreported_lateness &&
                        now >= next_behind_report_at_;
    if (!is_due)
    {
        return;
    }
    was_reported_behind_ = true;
    next_behind_report_at_ = now + behind_report_interval;
    log_event(
        log_level::warning,
        "catalog_behind",
        {{"version", version},
         {"announced", known_version_},
         {"revision", known_revision_},
         {"leader", group.leader_},
         {"heard_ms_ago", group.leader_contact_at_.ms_ == 0 ? -1 : silence.ms_},
         {"asks", asked},
         {"part_asked", catalog_transfer_.source_},
         {"behind_ms", (now - *behind_since_).ms_}});
}

/// Records whether a member knows a leader. When a majority of the members
/// knows none, there is none.
void catalog_watcher::record_leader_report(
    const core::host_id& member, bool leader_known)
{
    const core::time_point now = core::steady_now();
    leaderless_members_.erase(member);
    if (!leader_known)
    {
        leaderless_members_[member] = now;
    }
    std::erase_if(
        leaderless_members_,
        [now](const auto& item)
        {
            return now - item.second > leaderless_report_validity;
        });
    const std::size_t members =
        with_.board_.section<group_section>().members_.size();
    // Before a member has told the group, a single report decides nothing.
    with_.board_.section<meter_section>().meter_.set_no_ledger(
        members > 0 && leaderless_members_.size() * 2 > members);
}

awaitable<void> catalog_watcher::watch_loop()
{
    for (;;)
    {
        const leader_search::choice next =
            search_.next(known_members(), known_hosts(), core::steady_now());
        const core::host_id member = next.member_;
        if (member.empty())
        {
            co_await drivers::sleep_for(leader_search_interval);
            continue;
        }
        report_if_behind(member);
        forget_unlisted_limits(with_.board_.section<endpoint_section>());
        const watch_request request = next_watch_request(next.holds_);
        const std::uint64_t bytes_before = drivers::traffic().bytes_in_;
        const core::time_point sent_at = core::steady_now();
        const core::result<watch_reply> reply = co_await ask<watch_reply>(
            with_.peers_,
            member,
            method::catalog_watch,
            request,
            next.timeout_);
        if (!core::is_ok(reply))
        {
            record_watch_failure(
                member,
                next.timeout_,
                drivers::traffic().bytes_in_ - bytes_before,
                core::failure(reply));
            record_leader_lost(member, core::failure(reply));
            co_await drivers::sleep_for(leader_search_interval);
            continue;
        }
        sources_.record_contact(member);
        apply(request, core::value(reply), member, sent_at);
        record_leader_report(member, !core::value(reply).leader_.empty());
        if (!core::value(reply).leads_)
        {
            co_await drivers::sleep_for(leader_search_interval);
        }
    }
}

void catalog_watcher::apply(
    const watch_request& request,
    const watch_reply& reply,
    const core::host_id& from,
    core::time_point sent_at)
{
    group_section& group = with_.board_.section<group_section>();
    if (!reply.members_.empty())
    {
        group.members_ = reply.members_;
    }
    // Before the endpoint list, which may contain versions that a roll-out is
    // about.
    rollouts_.apply(reply.rollouts_);
    if (!may_be_outdated(reply))
    {
        if (reply.version_ > known_version_)
        {
            sources_.record_announcement(from);
        }
        apply_catalog(reply);
    }
    search_.record_reply(from, reply.leads_, reply.leader_, core::steady_now());
    const core::host_id& next = search_.leader();
    if (next != group.leader_)
    {
        log_event(
            log_level::info,
            next.empty() ? "leader_lost" : "leader_known",
            {{"leader", next}, {"told_by", from}});
        group.leader_ = next;
    }
    apply_host_count(reply);
    if (!reply.leads_)
    {
        return;
    }
    group.leader_contact_at_ = core::steady_now();
    apply_quarantines(reply);
    if (reply.tells_scarce_)
    {
        with_.board_.section<meter_section>().meter_.set_scarce(
            reply.scarce_accounts_, core::steady_now());
    }
    apply_endpoint_limits(reply, sent_at);
    list_.apply(request, reply);
    confirm_versions();
    if (list_.needs_download())
    {
        list_transfer_.wake_.cancel();
    }
}

/// Lets requests go to the versions in the list, if the roll-outs of the last
/// reply are those of this list or of a later one.
void catalog_watcher::confirm_versions()
{
    if (list_.is_announced())
    {
        rollouts_.confirm_versions();
    }
}

/// Takes the number of entry hosts from the leader; from another member, which
/// has it from hosts, only while none is known.
void catalog_watcher::apply_host_count(const watch_reply& reply)
{
    group_section& group = with_.board_.section<group_section>();
    const bool is_news = reply.hosts_ > 0 && group.hosts_ != reply.hosts_ &&
                         (reply.leads_ || !group.hosts_);
    if (!is_news)
    {
        return;
    }
    group.hosts_ = reply.hosts_;
    sources_.set_fleet_size(reply.hosts_);
    log_event(
        log_level::info,
        "host_count_known",
        {{"hosts", reply.hosts_}, {"by_leader", reply.leads_ ? 1 : 0}});
    refresh_limits();
    for (const auto& call : group.on_hosts_change_)
    {
        call();
    }
}

/// \return whether a member may state an older catalog than this host had
/// before it restarted. A host that has one takes only newer ones.
bool catalog_watcher::may_be_outdated(const watch_reply& reply) const
{
    const bool has_catalog =
        with_.board_.section<catalog_section>().view_ != nullptr;
    return !has_catalog && !reply.leads_ && !reply.current_ &&
           core::steady_now() - started_at_ < outdated_catalog_wait;
}

void catalog_watcher::apply_endpoint_limits(
    const watch_reply& reply, core::time_point sent_at)
{
    limit_revision_ = reply.limit_revision_;
    record_limits(
        with_.board_.section<endpoint_section>().limits_,
        reply.limits_,
        sent_at,
        core::steady_now());
}

void catalog_watcher::apply_quarantines(const watch_reply& reply)
{
    group_section& group = with_.board_.section<group_section>();
    const core::time_point now = core::steady_now();
    if (reply.term_ != quarantine_term_)
    {
        quarantine_term_ = reply.term_;
        with_.board_.section<meter_section>().meter_.begin_ledger();
        keep_quarantines_until_ = now + previous_quarantines_validity;
    }
    crash_revision_ = reply.crash_revision_;
    std::set<std::string> crashers(
        reply.crashers_.begin(), reply.crashers_.end());
    if (now < keep_quarantines_until_)
    {
        crashers.insert(group.crashers_.begin(), group.crashers_.end());
    }
    group.crashers_ = std::move(crashers);
    group.suspects_parts_ = reply.suspects_parts_;
    group.suspect_digests_.reset();
    if (reply.tells_suspects_)
    {
        group.suspect_digests_.emplace(
            reply.suspect_digests_.begin(), reply.suspect_digests_.end());
    }
}

void catalog_watcher::apply_catalog(const watch_reply& reply)
{
    if (reply.revision_ <= known_revision_)
    {
        return;
    }
    known_revision_ = reply.revision_;
    known_version_ = reply.version_;
    catalog_section& section = with_.board_.section<catalog_section>();
    section.zones_out_ = {reply.zones_out_.begin(), reply.zones_out_.end()};
    if (reply.text_.is_binary())
    {
        // A member of an older program sends the catalog in its reply.
        put_in_force(reply.version_, core::text_of(reply.text_));
        section.revision_ = reply.revision_;
        return;
    }
    if (needs_catalog())
    {
        catalog_transfer_.wake_.cancel();
        return;
    }
    section.revision_ = reply.revision_;
    log_event(
        log_level::info,
        "zones_in_force",
        {{"revision", reply.revision_},
         {"zones_out", section.zones_out_.size()}});
}

bool catalog_watcher::needs_catalog() const
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    const std::uint64_t version =
        section.view_ ? section.view_->whole().version_ : 0;
    return known_version_ > std::max(version, unreadable_version_);
}

awaitable<void> catalog_watcher::catalog_loop()
{
    for (;;)
    {
        if (needs_catalog())
        {
            co_await fetch_catalog_part();
        }
        else
        {
            co_await wait_for_news(catalog_transfer_);
        }
    }
}

awaitable<void> catalog_watcher::list_loop()
{
    for (;;)
    {
        if (list_.needs_download())
        {
            co_await fetch_list_part();
        }
        else
        {
            co_await wait_for_news(list_transfer_);
        }
    }
}

/// Waits until a document is announced that this host does not have.
awaitable<void> catalog_watcher::wait_for_news(transfer& waiting)
{
    waiting.wake_.expires_at(drivers::asio::steady_timer::time_point::max());
    drivers::error_code woken;
    co_await waiting.wake_.async_wait(
        drivers::asio::redirect_error(drivers::asio::use_awaitable, woken));
    waiting.started_at_ = core::steady_now();
}

/// \return the member to ask for the next part, once it may be asked.
awaitable<core::host_id> catalog_watcher::choose_source()
{
    for (;;)
    {
        const core::time_point now = core::steady_now();
        const document_sources::choice next = sources_.choose(
            known_members(),
            search_.confirmed_leader(),
            with_.identity().zone_,
            now);
        if (!next.member_.empty() && next.not_before_ <= now)
        {
            co_return next.member_;
        }
        co_await drivers::sleep_for(
            next.member_.empty() ? source_search_interval
                                 : next.not_before_ - now);
    }
}

/// Fetches the next part of a document. After a failure, the next call asks
/// another member.
/// \param relay_timeout for a member that does not lead.
awaitable<catalog_watcher::part_result> catalog_watcher::fetch_part(
    document_download& download, transfer& state, core::duration relay_timeout)
{
    const core::host_id source = co_await choose_source();
    const core::time_point sent_at = core::steady_now();
    state.source_ = source;
    const bool is_leader = source == search_.confirmed_leader();
    const core::duration timeout = is_leader ? part_timeout : relay_timeout;
    const document_part_request request = download.next_request();
    const core::result<document_part_reply> reply =
        co_await ask<document_part_reply>(
            with_.peers_, source, method::document_part, request, timeout);
    core::error problem{core::errc::invalid, "the document is damaged"};
    auto kind = document_sources::failure::not_ready;
    if (!core::is_ok(reply))
    {
        problem = core::failure(reply);
        kind = failure_kind(problem);
    }
    else
    {
        sources_.record_reply(source, core::value(reply).zone_);
        const document_download::progress reached =
            download.add(core::value(reply));
        if (reached != document_download::progress::damaged)
        {
            co_return reached == document_download::progress::complete
                ? part_result::completed
                : part_result::received;
        }
    }
    const core::time_point now = core::steady_now();
    sources_.record_failure(source, kind, now - sent_at, now);
    log_event(
        log_level::warning,
        "part_failed",
        {{"asked", source},
         {"problem", problem.message_},
         {"lost", kind == document_sources::failure::lost ? 1 : 0},
         {"document", request.id_.name_},
         {"revision", request.id_.revision_},
         {"offset", request.offset_},
         {"since_ms", (now - state.started_at_).ms_}});
    with_.metrics_.count("poplarroute_part_failures_total");
    co_return part_result::failed;
}

awaitable<void> catalog_watcher::fetch_list_part()
{
    document_download& download = list_.download();
    const part_result result =
        co_await fetch_part(download, list_transfer_, list_relay_timeout);
    if (result == part_result::completed)
    {
        const bool is_news = list_.finish_download();
        if (!is_news)
        {
            sources_.record_failure(
                list_transfer_.source_,
                document_sources::failure::not_ready,
                core::duration{},
                core::steady_now());
        }
        confirm_versions();
    }
}

awaitable<void> catalog_watcher::fetch_catalog_part()
{
    catalog_download_.want(catalog_document(known_version_));
    const bool is_large = known_hosts() > max_hosts_of_small_fleets;
    const part_result result = co_await fetch_part(
        catalog_download_,
        catalog_transfer_,
        is_large ? catalog_relay_timeout_of_large_fleets
                 : catalog_relay_timeout);
    if (result == part_result::completed)
    {
        put_in_force(
            catalog_download_.id().revision_, catalog_download_.take_content());
    }
}

void catalog_watcher::put_in_force(std::uint64_t version, std::string_view text)
{
    catalog_section& section = with_.board_.section<catalog_section>();
    core::finding_list findings;
    auto read = codec_.decode_catalog(text, findings);
    if (!read)
    {
        unreadable_version_ = version;
        log_event(
            log_level::error,
            "catalog_unreadable",
            {{"version", version}, {"findings", findings.text()}});
        return;
    }
    const bool is_newer =
        !section.view_ || read->version_ > section.view_->whole().version_;
    if (!is_newer)
    {
        return;
    }
    section.view_ = std::make_shared<control::catalog_view>(std::move(*read));
    if (section.view_->whole().version_ == known_version_)
    {
        section.revision_ = known_revision_;
    }
    log_event(
        log_level::info,
        "catalog_in_force",
        {{"version", section.view_->whole().version_},
         {"newest", known_version_},
         {"revision", known_revision_},
         {"routes", section.view_->whole().routes_.size()},
         {"bytes", text.size()},
         {"fetched_ms",
          (core::steady_now() - catalog_transfer_.started_at_).ms_},
         {"zones_out", section.zones_out_.size()}});
    refresh_limits();
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

void catalog_watcher::refresh_limits()
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    if (!section.view_)
    {
        return;
    }
    with_.board_.section<meter_section>().meter_.set_limits(
        limits_of(
            section.view_->whole(),
            with_.board_.section<settings_section>().settings_.bounds_),
        with_.board_.section<group_section>().hosts_,
        core::steady_now());
}

} // namespace poplarroute::node
