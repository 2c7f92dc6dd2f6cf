#include "node/catalog_controller.hpp"

#include <algorithm>
#include <utility>

#include "core/counted.hpp"
#include "core/ini.hpp"
#include "drivers/log.hpp"
#include "node/document_sources.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time between attempts to find a leader that accepts a command.
constexpr core::duration leader_search_interval{150};

/// Timeout of a command. It is shorter than the second for which an operator's
/// client waits for a member's reply.
constexpr core::duration submit_timeout{900};

constexpr core::duration maintenance_interval{250};

/// An entry host that sends no watch request for this long no longer counts as
/// alive.
constexpr core::duration host_timeout{3'500};

/// Time after its election in which a leader hears from each host that runs and
/// reaches it; hosts look for a leader several times per second.
constexpr core::duration host_discovery_time{1'000};

/// A host that has been silent for longer is not named to hosts that look for
/// one which reaches a service.
constexpr core::duration relay_contact_timeout{1'500};

/// Number of hosts named of the zone of the one that asks, and of all others.
constexpr std::size_t max_relay_hosts_per_group = 4;

/// Longest time for which a watch request is held before the reply.
constexpr core::duration max_watch_wait{2'000};

/// Largest number of suspected requests that hosts are told.
constexpr std::size_t max_told_suspects = 64;

/// Time between two replies with news to one host, for each watching host.
constexpr core::duration news_interval_per_host{1};
constexpr core::duration max_news_interval{500};

/// Fraction of the bound on retries that the leader grants to streams. It is
/// not larger, since a new leader does not know what the previous one has
/// granted.
constexpr double stream_retry_fraction = 0.5;

/// How long a request is under suspicion after an endpoint that ran it crashed.
constexpr core::duration suspicion_duration{60'000};

/// How long a request that crashes endpoints is refused. Each time that it is
/// let through again costs an endpoint.
constexpr core::duration quarantine_duration{24LL * 3'600'000};

/// A member that has heard of its group within this time holds what is in
/// force.
constexpr core::duration current_member_silence{1'000};

/// How long a member that follows its leader lets hosts wait for a catalog that
/// it is about to apply: it learns of it by the next heartbeat.
constexpr core::duration catalog_wait{200};
constexpr core::duration catalog_wait_of_large_fleets{400};
constexpr core::duration catalog_check_interval{20};
constexpr std::size_t max_catalog_waits = 128;

/// Time after its election in which a leader takes over what hosts refuse.
constexpr core::duration adoption_period{4'000};

} // namespace

catalog_controller::catalog_controller(
    context& with, catalog_replica& group, const wire_codec& codec)
    : with_(with),
      group_(group),
      codec_(codec),
      placements_(with, placement_controller::scope::fleet),
      stages_(with, group, codec, placements_),
      group_manager_(with, group),
      rollout_orders_(with, group),
      rollouts_(
          with,
          group,
          [this]()
          {
              return watching_host_names();
          }),
      documents_(with, group),
      relay_(
          with,
          [&group]()
          {
              return group.leader();
          }),
      queues_(with),
      limits_(
          with,
          [this]()
          {
              queues_.wake_watches();
          }),
      origins_(with, group),
      random_(static_cast<std::uint32_t>(core::steady_now().ms_))
{
}

void catalog_controller::start()
{
    register_calls();
    register_stream_calls();
    group_.on_change(
        [this]()
        {
            apply_catalog();
            queues_.wake_watches();
        });
    with_.board_.section<endpoint_section>().on_change_.emplace_back(
        [this]()
        {
            documents_.record_list();
            queues_.wake_watches();
        });
    apply_catalog();
    placements_.start();
    stages_.start();
    group_manager_.start();
    rollout_orders_.start();
    rollouts_.start();
    origins_.start();
    drivers::spawn_loop(
        with_.io_,
        "maintenance_loop",
        [this]()
        {
            return maintenance_loop();
        });
}

void catalog_controller::apply_catalog()
{
    catalog_section& section = with_.board_.section<catalog_section>();
    const control::catalog_state_machine& state = group_.state();
    if (state.version() == 0 || section.revision_ == state.revision())
    {
        return;
    }
    core::finding_list findings;
    auto read = codec_.decode_catalog(state.text(), findings);
    if (!read)
    {
        log_event(
            log_level::error,
            "catalog_unreadable",
            {{"version", state.version()}, {"findings", findings.text()}});
        return;
    }
    section.view_ = std::make_shared<control::catalog_view>(std::move(*read));
    section.revision_ = state.revision();
    section.zones_out_ = state.out_of_service_zones();
    log_event(
        log_level::info,
        "catalog_in_force",
        {{"version", state.version()},
         {"revision", state.revision()},
         {"routes", section.view_->whole().routes_.size()},
         {"zones_out", state.out_of_service_zones().size()}});
    apply_limits();
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

void catalog_controller::apply_limits()
{
    const catalog_section& section = with_.board_.section<catalog_section>();
    if (!section.view_)
    {
        return;
    }
    const fleet_bounds& bounds =
        with_.board_.section<settings_section>().settings_.bounds_;
    ledger_.set_limits(
        limits_of(section.view_->whole(), bounds), core::steady_now());
    for (const auto& [name, service] : section.view_->whole().services_)
    {
        policy::retry_allowance& allowance = retry_allowances_[name];
        allowance.accrue_from(leading_since_);
        allowance.set_bound(retry_bound_of(bounds), 1, stream_retry_fraction);
    }
}

void catalog_controller::track_leadership()
{
    if (group_.leads() != was_leading_)
    {
        was_leading_ = group_.leads();
        log_event(
            log_level::info,
            was_leading_ ? "leadership_gained" : "leadership_lost",
            {{"term", group_.member()->term()}});
        // After a short pause a leader may lead on in its term, with all that
        // it knows: no other has led meanwhile.
        if (was_leading_ && led_term_ != group_.member()->term())
        {
            led_term_ = group_.member()->term();
            leading_since_ = core::steady_now();
            documents_.begin_leading(leading_since_);
            placements_.reset();
            ledger_ = policy::meter_ledger();
            limits_.begin_leading();
            retry_allowances_.clear();
            apply_limits();
            group_manager_.begin_leading();
            rollouts_.begin_leading();
            origins_.begin_leading(leading_since_);
        }
        queues_.wake_watches();
    }
    if (group_.leader() != last_leader_)
    {
        last_leader_ = group_.leader();
        log_event(
            log_level::info,
            last_leader_.empty() ? "leader_lost" : "leader_known",
            {{"leader", last_leader_}, {"term", group_.member()->term()}});
        queues_.wake_watches();
    }
}

awaitable<void> catalog_controller::maintenance_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(maintenance_interval);
        track_leadership();
        if (group_.leads())
        {
            co_await group_manager_.update_members();
        }
        const core::time_point now = core::steady_now();
        std::erase_if(
            watching_hosts_,
            [now](const auto& item)
            {
                return now - item.second.seen_at_ > host_timeout;
            });
        lift_expired_quarantines(now);
        drivers::flush_log();
    }
}

void catalog_controller::lift_expired_quarantines(core::time_point now)
{
    crashes_.expire(now);
    crashers_.expire(now);
    const std::size_t ended = std::erase_if(
        refused_digests_,
        [&](const std::string& digest)
        {
            return crashers_.look_up(digest, now) !=
                   policy::suspicion::quarantined;
        });
    prompt_parts_.expire(now);
    if (ended > 0)
    {
        log_event(log_level::info, "quarantine_ended", {{"requests", ended}});
    }
    publish_quarantines(ended > 0);
}

/// Publishes to hosts what to refuse, and whether to report answered prompts.
/// \param requests_changed whether the digests to refuse have changed.
void catalog_controller::publish_quarantines(bool requests_changed)
{
    const std::vector<std::string> suspects = prompt_parts_.suspects();
    std::vector<std::string> parts = prompt_parts_.quarantined();
    const bool parts_changed = parts != quarantined_parts_;
    if (parts_changed)
    {
        log_event(
            log_level::warning,
            "parts_quarantined",
            {{"parts", core::join_list(parts, ',')},
             {"before", quarantined_parts_.size()},
             {"suspects", suspects.size()}});
        quarantined_parts_ = std::move(parts);
    }
    const bool has_suspects =
        !suspects.empty() || crashers_.has_suspects(core::steady_now());
    if (requests_changed || parts_changed || has_suspects_ != has_suspects)
    {
        has_suspects_ = has_suspects;
        ++crash_revision_;
        queues_.wake_watches();
    }
}

void catalog_controller::record_crash(const crash_message& report)
{
    const core::time_point now = core::steady_now();
    const core::time_point began_at = now - core::duration{report.ran_ms_};
    const std::string crash = crashes_.record(report.crash_, began_at, now);
    const bool is_new = crashers_.crashed(
        report.digest_,
        crash,
        static_cast<policy::evidence>(report.weight_),
        suspicion_duration,
        now);
    const bool is_quarantined = crashers_.look_up(report.digest_, now) ==
                                policy::suspicion::quarantined;
    log_event(
        log_level::warning,
        "crash_recorded",
        {{"digest", report.digest_},
         {"crash", crash},
         {"weight", report.weight_},
         {"ran_ms", report.ran_ms_},
         {"new", is_new ? 1 : 0},
         {"quarantined", is_quarantined ? 1 : 0}});
    bool refused = false;
    if (is_quarantined)
    {
        crashers_.keep_until(report.digest_, now + quarantine_duration);
        refused = refused_digests_.insert(report.digest_).second;
    }
    if (refused)
    {
        log_event(
            log_level::warning,
            "request_quarantined",
            {{"digest", report.digest_}});
    }
    prompt_parts_.crashed(report.service_, report.parts_, now);
    publish_quarantines(refused);
}

void catalog_controller::record_answer(
    const core::service_id& service,
    std::span<const std::string> parts,
    const std::string& digest)
{
    const core::time_point now = core::steady_now();
    const bool parts_changed = prompt_parts_.answered(service, parts, now);
    const bool request_cleared = crashers_.answered(digest, now);
    if (parts_changed || request_cleared)
    {
        publish_quarantines(false);
    }
}

/// Leaves an endpoint out for all hosts, once it has told one of them that it
/// is leaving.
void catalog_controller::record_leaving(
    const core::endpoint_id& name, const core::host_id& told_by)
{
    endpoint_section& list = with_.board_.section<endpoint_section>();
    const bool is_new =
        group_.leads() && mark_leaving(list, name, core::steady_now());
    if (is_new)
    {
        log_event(
            log_level::info,
            "endpoint_leaving",
            {{"endpoint", name},
             {"told_by", told_by},
             {"list_revision", list.revision_}});
    }
}

/// Takes over what a host refuses, since a new leader has not seen the crashes.
void catalog_controller::adopt_quarantines(const watch_request& request)
{
    const core::time_point now = core::steady_now();
    if (!group_.leads() || now - leading_since_ > adoption_period)
    {
        return;
    }
    bool changed = false;
    for (const std::string& key : request.crashers_)
    {
        if (policy::prompt_part_quarantine::is_key(key))
        {
            prompt_parts_.adopt(key, now);
            continue;
        }
        crashers_.crashed(
            key, "adopted", policy::evidence::alone, quarantine_duration, now);
        changed = refused_digests_.insert(key).second || changed;
    }
    publish_quarantines(changed);
}

/// \return the number of live entry hosts; 0 if it is unknown. A member that
/// does not lead knows what hosts were told last, and so does a leader at
/// first: it has not heard from all of them yet.
std::int64_t catalog_controller::live_hosts() const
{
    std::int64_t told = 0;
    for (const auto& [host, item] : watching_hosts_)
    {
        told = std::max(told, item.told_hosts_);
    }
    if (!group_.leads())
    {
        return told;
    }
    const core::duration led = core::steady_now() - leading_since_;
    const auto watching = static_cast<std::int64_t>(watching_hosts_.size());
    if (led < host_discovery_time && told == 0)
    {
        return 0;
    }
    return led < host_timeout ? std::max(told, watching) : watching;
}

std::vector<core::host_id> catalog_controller::watching_host_names() const
{
    std::vector<core::host_id> out;
    out.reserve(watching_hosts_.size());
    const core::time_point now = core::steady_now();
    for (const auto& [host, item] : watching_hosts_)
    {
        if (now - item.seen_at_ <= rollout_contact_timeout)
        {
            out.push_back(host);
        }
    }
    return out;
}

std::int64_t catalog_controller::hosts_behind() const
{
    const std::uint64_t newest = group_.state().revision();
    return std::count_if(
        watching_hosts_.begin(),
        watching_hosts_.end(),
        [newest](const auto& item)
        {
            return item.second.revision_ < newest;
        });
}

awaitable<core::result<submit_reply>> catalog_controller::submit_locally(
    std::string command)
{
    track_leadership();
    const core::result<control::catalog_reply> reply =
        co_await group_.submit(std::move(command));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    co_return submit_reply{
        core::value(reply).changed_,
        core::value(reply).number_,
        core::value(reply).conflicts_};
}

awaitable<core::result<submit_reply>> catalog_controller::submit(
    std::string command)
{
    const core::time_point until = core::steady_now() + submit_timeout;
    error last{errc::not_ready, "no leader is known"};
    while (core::steady_now() < until)
    {
        if (group_.leads())
        {
            co_return co_await submit_locally(command);
        }
        const core::host_id leader = group_.leader();
        if (!leader.empty())
        {
            core::result<std::string> answer = co_await with_.peers_.call(
                leader, method::catalog_submit, command, submit_timeout);
            if (core::is_ok(answer))
            {
                auto reply =
                    core::decode_cbor<submit_reply>(core::value(answer));
                if (reply)
                {
                    co_return *reply;
                }
            }
            else
            {
                last = core::failure(answer);
                if (last.code_ != errc::not_leader &&
                    last.code_ != errc::unreachable)
                {
                    co_return last;
                }
            }
        }
        co_await drivers::sleep_for(leader_search_interval);
    }
    co_return last;
}

awaitable<operator_call_result> catalog_controller::submit_text(
    std::string text)
{
    core::finding_list findings;
    const auto read = codec_.decode_catalog(text, findings);
    if (!read)
    {
        log_event(
            log_level::warning,
            "catalog_refused",
            {{"findings", findings.text()}});
        co_return operator_call_result{false, true, findings.text()};
    }
    const std::uint64_t version = read->version_;
    std::vector<core::service_id> services;
    for (const auto& [name, service] : read->services_)
    {
        services.push_back(name);
    }
    std::string command =
        control::encode(control::catalog_command(control::submit_catalog{
            version, std::move(text), std::move(services), core::wall_ms()}));
    const core::result<submit_reply> reply =
        co_await submit(std::move(command));
    const bool accepted = core::is_ok(reply);
    log_event(
        accepted ? log_level::info : log_level::warning,
        accepted ? "catalog_accepted" : "catalog_undecided",
        {{"version", version},
         {"changed", accepted && core::value(reply).changed_ ? 1 : 0},
         {"in_force", accepted ? core::value(reply).number_ : 0},
         {"problem", accepted ? "" : core::failure(reply).message_}});
    if (!accepted)
    {
        co_return operator_call_result{
            false, false, core::failure(reply).message_};
    }
    co_return operator_call_result{true, false, ""};
}

awaitable<operator_call_result> catalog_controller::set_zone(
    core::zone_id zone, bool out)
{
    const auto& zones =
        with_.board_.section<settings_section>().settings_.zones_;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
    {
        co_return operator_call_result{
            false, true, "there is no availability zone " + zone};
    }
    const std::uint64_t base = group_.state().zone_revision(zone);
    std::string command = control::encode(control::catalog_command(
        control::set_zone_out_of_service{zone, out, base}));
    const core::result<submit_reply> reply =
        co_await submit(std::move(command));
    const bool decided = core::is_ok(reply);
    const bool conflicts = decided && core::value(reply).conflicts_;
    std::string problem;
    if (conflicts)
    {
        problem = "the zone has changed since the order was received";
    }
    else if (!decided)
    {
        problem = core::failure(reply).message_;
    }
    const bool accepted = decided && !conflicts;
    log_event(
        accepted ? log_level::info : log_level::warning,
        accepted    ? "zone_set"
        : conflicts ? "zone_conflict"
                    : "zone_undecided",
        {{"zone", zone},
         {"out", out ? 1 : 0},
         {"base", base},
         {"changed", decided && core::value(reply).changed_ ? 1 : 0},
         {"problem", problem}});
    co_return operator_call_result{accepted, false, std::move(problem)};
}

awaitable<core::result<catalog_contents>> catalog_controller::read()
{
    if (group_.leads())
    {
        const core::result<core::done> current = co_await group_.read_barrier();
        if (!core::is_ok(current))
        {
            co_return core::failure(current);
        }
        co_return catalog_contents{
            group_.state().version(), group_.state().text()};
    }
    const core::host_id leader = group_.leader();
    if (leader.empty())
    {
        co_return error{errc::not_ready, "no leader is known"};
    }
    core::result<std::string> answer = co_await with_.peers_.call(
        leader, method::catalog_read, std::string(), submit_timeout);
    if (!core::is_ok(answer))
    {
        co_return core::failure(answer);
    }
    const auto reply =
        core::decode_cbor<catalog_read_reply>(core::value(answer));
    if (!reply || !reply->text_.is_binary())
    {
        co_return error{errc::invalid, "the leader's reply cannot be read"};
    }
    co_return catalog_contents{reply->version_, core::text_of(reply->text_)};
}

bool catalog_controller::has_updates(const watch_request& request)
{
    const std::uint64_t known_revision =
        std::max(request.revision_, request.known_revision_);
    return group_.state().revision() > known_revision ||
           documents_.has_list_news(request) ||
           crash_revision_ != request.crash_revision_ ||
           limits_.has_news(request) || !group_.leads();
}

watch_reply catalog_controller::make_watch_reply(const watch_request& request)
{
    watch_reply out;
    out.leads_ = group_.leads();
    out.leader_ = group_.leader();
    out.term_ = group_.member()->term();
    for (const control::member& item : group_.member()->log().group().members_)
    {
        out.members_.push_back(item.host_);
    }
    const control::catalog_state_machine& state = group_.state();
    out.revision_ = state.revision();
    out.version_ = state.version();
    out.current_ = is_current();
    if (state.revision() > request.revision_ && !request.fetches_parts_)
    {
        out.text_ = core::binary(state.text());
    }
    out.zones_out_.assign(
        state.out_of_service_zones().begin(),
        state.out_of_service_zones().end());
    documents_.add_list(request, out);
    out.hosts_ = live_hosts();
    out.crash_revision_ = crash_revision_;
    out.crashers_.assign(refused_digests_.begin(), refused_digests_.end());
    out.crashers_.insert(
        out.crashers_.end(),
        quarantined_parts_.begin(),
        quarantined_parts_.end());
    out.suspects_parts_ = has_suspects_;
    if (auto suspects =
            crashers_.suspects(max_told_suspects, core::steady_now()))
    {
        out.tells_suspects_ = true;
        out.suspect_digests_ = std::move(*suspects);
    }
    out.rollouts_ = rollouts_.to_tell();
    limits_.add_to(out);
    if (auto scarce = ledger_.scarce_accounts(core::steady_now());
        scarce && out.leads_)
    {
        out.tells_scarce_ = true;
        out.scarce_accounts_ = std::move(*scarce);
    }
    return out;
}

/// \return whether this member has heard of its group a moment ago, so that it
/// has or is about to have what is in force.
bool catalog_controller::is_current() const
{
    const std::optional<core::time_point> as_of = group_.current_as_of();
    return as_of && core::steady_now() - *as_of <= current_member_silence;
}

/// Waits until this member has applied a catalog that the leader has told hosts
/// of. A host that is refused asks the leader, as all hosts would.
awaitable<void> catalog_controller::wait_for_catalog(document_id wanted)
{
    const bool is_due = wanted.name_ == catalog_document(0).name_ &&
                        !group_.leads() && is_current() &&
                        catalog_waits_ < max_catalog_waits;
    if (!is_due)
    {
        co_return;
    }
    const core::counted waiting(catalog_waits_);
    const bool is_large = live_hosts() > max_hosts_of_small_fleets;
    const core::time_point until =
        core::steady_now() +
        (is_large ? catalog_wait_of_large_fleets : catalog_wait);
    while (group_.state().version() < wanted.revision_ &&
           core::steady_now() < until)
    {
        co_await drivers::sleep_for(catalog_check_interval);
    }
}

awaitable<core::result<document_part_reply>> catalog_controller::answer_part(
    document_part_request request)
{
    const auto dropped = queues_.check(policy::call_kind::part);
    if (dropped)
    {
        co_return *dropped;
    }
    co_await wait_for_catalog(request.id_);
    core::result<document_part_reply> reply = documents_.answer_part(request);
    const bool relays =
        !core::is_ok(reply) && !group_.leads() && is_endpoint_list(request.id_);
    if (relays)
    {
        reply = co_await relay_.answer_part(std::move(request));
    }
    if (auto* part = std::get_if<document_part_reply>(&reply))
    {
        part->zone_ = with_.identity().zone_;
    }
    co_return reply;
}

void catalog_controller::note_watching_host(const watch_request& request)
{
    watching_host& host = watching_hosts_[request.host_];
    host.seen_at_ = core::steady_now();
    host.revision_ = request.revision_;
    host.told_hosts_ = request.hosts_;
    host.relay_ = request.relay_;
    host.zone_ = request.zone_;
    host.lost_services_ = {
        request.lost_services_.begin(), request.lost_services_.end()};
}

/// \return some hosts that take requests of a service from a host which does
/// not reach it: those of its zone first, in each group at random.
relay_hosts_reply catalog_controller::name_relay_hosts(
    const relay_hosts_request& request)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    const core::time_point now = core::steady_now();
    for (const auto& [host, item] : watching_hosts_)
    {
        const bool may_take =
            host != request.host_ && !item.relay_.empty() &&
            item.lost_services_.count(request.service_) == 0 &&
            now - item.seen_at_ <= relay_contact_timeout;
        if (may_take)
        {
            (item.zone_ == request.zone_ ? near : far).push_back(item.relay_);
        }
    }
    std::shuffle(near.begin(), near.end(), random_);
    std::shuffle(far.begin(), far.end(), random_);
    near.resize(std::min(near.size(), max_relay_hosts_per_group));
    far.resize(std::min(far.size(), max_relay_hosts_per_group));
    relay_hosts_reply out;
    out.addresses_ = std::move(near);
    out.addresses_.insert(out.addresses_.end(), far.begin(), far.end());
    return out;
}

awaitable<watch_reply> catalog_controller::answer_watch(watch_request request)
{
    track_leadership();
    note_watching_host(request);
    if (group_.leads())
    {
        placements_.reconcile(request.host_, request.places_);
    }
    adopt_quarantines(request);
    limits_.record(request.limits_);
    for (const core::endpoint_id& name : request.leaving_)
    {
        record_leaving(name, request.host_);
    }
    const core::duration max_wait{
        std::min(request.wait_ms_, max_watch_wait.ms_)};
    const core::time_point until = core::steady_now() + max_wait;
    // Changes in quick succession are told together, since each costs a reply
    // and a request per host.
    const core::time_point news_due =
        watching_hosts_[request.host_].replied_at_ + news_interval();
    bool is_newest = true;
    for (;;)
    {
        const core::time_point now = core::steady_now();
        const bool has_news = has_updates(request);
        if (!is_newest || now >= until || !group_.leads() ||
            (has_news && now >= news_due))
        {
            break;
        }
        is_newest = co_await queues_.hold_watch(
            request.host_, has_news ? std::min(until, news_due) : until);
    }
    track_leadership();
    note_watching_host(request);
    watching_hosts_[request.host_].replied_at_ = core::steady_now();
    co_return make_watch_reply(request);
}

/// \return the shortest time between two replies with news to one host. It
/// grows with the number of hosts, so that storms of changes cost the leader no
/// more replies in a large fleet.
core::duration catalog_controller::news_interval() const
{
    return {std::min(
        static_cast<std::int64_t>(watching_hosts_.size()) *
            news_interval_per_host.ms_,
        max_news_interval.ms_)};
}

/// \return why a call that only the leader's ledgers can answer is refused.
std::optional<core::error> catalog_controller::find_ledger_objection()
{
    track_leadership();
    if (!group_.leads())
    {
        return error{errc::not_leader, group_.leader()};
    }
    return queues_.check(policy::call_kind::settlement);
}

settle_reply catalog_controller::settle(const settle_request& request)
{
    settle_reply out;
    const core::time_point now = core::steady_now();
    for (const account_usage_message& usage : request.uses_)
    {
        out.levels_.push_back(
            {usage.account_,
             0,
             ledger_.settle(
                 usage.account_,
                 request.host_,
                 usage.used_,
                 usage.level_,
                 now)});
    }
    return out;
}

void catalog_controller::register_calls()
{
    with_.calls_.add_typed<watch_request, watch_reply>(
        method::catalog_watch,
        allowed_callers::host,
        [this](drivers::peer_identity, watch_request request)
            -> awaitable<core::result<watch_reply>>
        {
            const auto dropped = queues_.check_watch(request.host_);
            if (dropped)
            {
                co_return *dropped;
            }
            co_return co_await answer_watch(std::move(request));
        });
    with_.calls_.add_typed<document_part_request, document_part_reply>(
        method::document_part,
        allowed_callers::host,
        [this](drivers::peer_identity, document_part_request request)
            -> awaitable<core::result<document_part_reply>>
        {
            co_return co_await answer_part(std::move(request));
        });
    with_.calls_.add(
        method::catalog_submit,
        allowed_callers::host,
        [this](drivers::peer_identity, std::string command)
            -> awaitable<core::result<std::string>>
        {
            const core::result<submit_reply> reply =
                co_await submit_locally(std::move(command));
            if (!core::is_ok(reply))
            {
                co_return core::failure(reply);
            }
            co_return core::encode_cbor(core::value(reply));
        });
    with_.calls_.add(
        method::catalog_read,
        allowed_callers::host,
        [this](drivers::peer_identity, std::string)
            -> awaitable<core::result<std::string>>
        {
            const core::result<core::done> current =
                co_await group_.read_barrier();
            if (!core::is_ok(current))
            {
                co_return core::failure(current);
            }
            catalog_read_reply out;
            out.version_ = group_.state().version();
            out.text_ = core::binary(group_.state().text());
            co_return core::encode_cbor(out);
        });
}

/// Places a stream on engines of the role that a roll-out has for it. One that
/// the target of a trial has no room for goes to the replaced versions.
awaitable<placement_reply> catalog_controller::place_in_role(
    placement_request request)
{
    const core::time_point began_at = core::steady_now();
    placement_request first = request;
    const rollout_controller::placement_role role =
        rollouts_.restrict_placement(first, true);
    if (role.is_trial_)
    {
        first.give_up_ms_ /= 2;
    }
    placement_reply reply = co_await placements_.place(std::move(first));
    reply.is_target_ = role.is_target_ && reply.placed_;
    if (reply.placed_ || !role.is_trial_)
    {
        co_return reply;
    }
    rollouts_.return_exposure(request);
    const core::duration waited = core::steady_now() - began_at;
    request.on_time_ms_ -= waited.ms_;
    request.give_up_ms_ -= waited.ms_;
    if (request.pins_version_ || request.give_up_ms_ <= 0)
    {
        co_return reply;
    }
    rollouts_.restrict_placement(request, false);
    reply = co_await placements_.place(std::move(request));
    reply.waited_ms_ += waited.ms_;
    co_return reply;
}

awaitable<placement_reply> catalog_controller::charge_and_place(
    placement_request request)
{
    // The leader sees the streams of all hosts, so the limit needs no margin
    // for usage that hosts have not yet reported to each other.
    const core::account_id account = request.account_;
    const std::int64_t price = request.price_;
    const core::time_point now = core::steady_now();
    policy::retry_allowance& allowance = retry_allowances_[request.service_];
    if (request.resends_ == 0)
    {
        allowance.request(now);
    }
    else if (!allowance.take(request.resends_, now))
    {
        placement_reply no_retry_reply;
        no_retry_reply.reason_ = "no allowance to send again";
        co_return no_retry_reply;
    }
    if (price > 0 && !ledger_.charge(account, price, now))
    {
        co_return make_over_rate_reply(
            ledger_.inputs(account, price, now),
            ledger_.wait_for(account, price, now));
    }
    placement_reply reply = co_await place_in_role(std::move(request));
    if (price > 0 && !reply.placed_)
    {
        ledger_.refund(account, price);
    }
    co_return reply;
}

void catalog_controller::register_stream_calls()
{
    with_.calls_.add_typed<placement_request, placement_reply>(
        method::streams_place,
        allowed_callers::host,
        [this](drivers::peer_identity, placement_request request)
            -> awaitable<core::result<placement_reply>>
        {
            track_leadership();
            if (!group_.leads())
            {
                co_return error{errc::not_leader, group_.leader()};
            }
            co_return co_await charge_and_place(std::move(request));
        });
    with_.calls_.add_typed<stream_end_message, empty_reply>(
        method::streams_end,
        allowed_callers::host,
        [this](drivers::peer_identity, stream_end_message ending)
            -> awaitable<core::result<empty_reply>>
        {
            placements_.end_stream(ending);
            if (ending.complete_)
            {
                record_answer(ending.service_, ending.parts_, ending.digest_);
            }
            co_return empty_reply();
        });
    with_.calls_.add_typed<engine_event_message, empty_reply>(
        method::streams_note,
        allowed_callers::host,
        [this](drivers::peer_identity, engine_event_message event)
            -> awaitable<core::result<empty_reply>>
        {
            placements_.record_engine_event(event);
            limits_.record(event.limits_);
            if (!event.leaving_.empty())
            {
                record_leaving(event.leaving_, event.host_);
            }
            if (event.answered_)
            {
                record_answer(
                    event.service_,
                    event.answered_parts_,
                    event.answered_digest_);
            }
            co_return empty_reply();
        });
    with_.calls_.add_typed<settle_request, settle_reply>(
        method::meters_settle,
        allowed_callers::host,
        [this](drivers::peer_identity, settle_request request)
            -> awaitable<core::result<settle_reply>>
        {
            if (const auto objection = find_ledger_objection())
            {
                co_return *objection;
            }
            co_return settle(request);
        });
    with_.calls_.add_typed<limit_request, limit_reply>(
        method::limits_take,
        allowed_callers::host,
        [this](drivers::peer_identity, limit_request request)
            -> awaitable<core::result<limit_reply>>
        {
            if (const auto objection = find_ledger_objection())
            {
                co_return *objection;
            }
            co_return limits_.take(request);
        });
    with_.calls_.add_typed<relay_hosts_request, relay_hosts_reply>(
        method::relay_hosts,
        allowed_callers::host,
        [this](drivers::peer_identity, relay_hosts_request request)
            -> awaitable<core::result<relay_hosts_reply>>
        {
            if (const auto objection = find_ledger_objection())
            {
                co_return *objection;
            }
            co_return name_relay_hosts(request);
        });
    with_.calls_.add_typed<crash_message, empty_reply>(
        method::crash_report,
        allowed_callers::host,
        [this](drivers::peer_identity, crash_message report)
            -> awaitable<core::result<empty_reply>>
        {
            record_crash(report);
            co_return empty_reply();
        });
}

} // namespace poplarroute::node
