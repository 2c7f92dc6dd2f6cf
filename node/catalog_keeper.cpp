#include "node/catalog_keeper.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "drivers/log.hpp"
#include "node/replica_messages.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Between two tries to form or join a group.
constexpr core::duration form_every{150};
constexpr core::duration peer_deadline{600};

/// An operator's call moves on after a second, so an order is not followed
/// for longer here.
constexpr core::duration order_deadline{900};

constexpr core::duration tend_every{250};

/// A member without a leader for so long asks to be let in: it may have been
/// replaced while it was away.
constexpr core::duration lonely_after{4'000};

/// A member that was silent for so long gives way to one that joined after.
constexpr core::duration lost_after{6'000};
constexpr core::duration present_within{1'500};

/// A group keeps at least this many members however many are silent.
constexpr std::size_t least_members = 3;

/// An entry host that has not asked for so long is taken for gone.
constexpr core::duration host_silence{3'500};

/// The longest that a watch is left unanswered.
constexpr core::duration longest_watch{2'000};

/// How long a request that ends engines is refused.
constexpr core::duration crasher_span{60'000};

} // namespace

catalog_keeper::catalog_keeper(
    context& with, catalog_replica& group, const wire_dialect& dialect)
    : with_(with), group_(group), dialect_(dialect), desk_(with)
{
}

void catalog_keeper::start()
{
    register_calls();
    register_stream_calls();
    group_.on_change(
        [this]()
        {
            take_catalog();
            wake_watchers();
        });
    with_.board_.section<endpoint_section>().on_change_.emplace_back(
        [this]()
        {
            wake_watchers();
        });
    take_catalog();
    desk_.start();
    drivers::spawn(with_.io_, form_group());
    drivers::spawn(with_.io_, tend());
}

void catalog_keeper::take_catalog()
{
    catalog_section& section = with_.board_.section<catalog_section>();
    const control::catalog_machine& state = group_.state();
    if (state.version() == 0 || section.revision_ == state.revision())
    {
        return;
    }
    core::finding_list findings;
    auto read = dialect_.decode_catalog(state.text(), findings);
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
    section.zones_out_ = state.zones_out();
    log_event(
        log_level::info,
        "catalog_in_force",
        {{"version", state.version()},
         {"revision", state.revision()},
         {"routes", section.view_->whole().routes_.size()},
         {"zones_out", state.zones_out().size()}});
    ledger_.set_limits(
        limits_of(
            section.view_->whole(),
            with_.board_.section<settings_section>().settings_.bounds_),
        core::steady_now());
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

void catalog_keeper::wake_watchers()
{
    for (const auto& timer : watchers_)
    {
        timer->cancel();
    }
}

awaitable<bool> catalog_keeper::bootstrap_from_seeds()
{
    const fleet_settings& settings =
        with_.board_.section<settings_section>().settings_;
    control::member_group group;
    for (const std::string& seed : settings.seeds_)
    {
        const core::result<identify_reply> told = co_await ask<identify_reply>(
            with_.peers_,
            seed,
            method::identify,
            identify_request(),
            peer_deadline);
        if (!core::is_ok(told))
        {
            co_return false;
        }
        group.members_.push_back({seed, core::value(told).store_, true});
    }
    std::sort(
        group.members_.begin(),
        group.members_.end(),
        [](const control::member& left, const control::member& right)
        {
            return left.host_ < right.host_;
        });
    const core::result<core::done> formed = group_.bootstrap(group);
    log_event(
        core::is_ok(formed) ? log_level::info : log_level::warning,
        "group_formed",
        {{"members", group.members_.size()},
         {"problem",
          core::is_ok(formed) ? "" : core::failure(formed).message_}});
    co_return core::is_ok(formed);
}

awaitable<void> catalog_keeper::ask_to_join()
{
    std::vector<core::host_id> asked =
        with_.board_.section<settings_section>().settings_.seeds_;
    const core::host_id self = with_.identity().host_;
    for (std::size_t at = 0; at < asked.size() && at < 8; ++at)
    {
        if (asked[at] == self)
        {
            continue;
        }
        const join_request request{self, group_.store()};
        const core::result<submit_reply> told = co_await ask<submit_reply>(
            with_.peers_,
            asked[at],
            method::catalog_join,
            request,
            peer_deadline);
        if (core::is_ok(told))
        {
            co_return;
        }
        const error& why = core::failure(told);
        if (why.code_ == errc::not_leader && !why.message_.empty() &&
            std::find(asked.begin(), asked.end(), why.message_) == asked.end())
        {
            asked.push_back(why.message_);
        }
    }
}

awaitable<void> catalog_keeper::form_group()
{
    const fleet_settings& settings =
        with_.board_.section<settings_section>().settings_;
    const core::host_id self = with_.identity().host_;
    for (;;)
    {
        const bool blank = group_.member()->log().group().members_.empty();
        const auto& seeds = settings.seeds_;
        const bool founder =
            settings.first_start_ &&
            std::find(seeds.begin(), seeds.end(), self) != seeds.end();
        if (blank && founder)
        {
            const bool formed = co_await bootstrap_from_seeds();
            if (!formed)
            {
                co_await ask_to_join();
            }
        }
        else if (
            blank || core::steady_now() -
                             group_.member()->last_contact(core::steady_now()) >
                         lonely_after)
        {
            co_await ask_to_join();
        }
        co_await drivers::sleep_for(blank ? form_every : form_every * 6);
    }
}

awaitable<void> catalog_keeper::admit(join_request request)
{
    const auto& members = group_.member()->log().group();
    const control::member* known = members.find(request.host_);
    if (known != nullptr && known->store_ != request.store_)
    {
        // The host came back without its disk: another member.
        const auto removed =
            co_await group_.change_group("remove", request.host_, "");
        if (!core::is_ok(removed))
        {
            co_return;
        }
        known = nullptr;
    }
    if (known == nullptr)
    {
        const auto added =
            co_await group_.change_group("add", request.host_, request.store_);
        if (!core::is_ok(added))
        {
            co_return;
        }
    }
    joined_at_[request.host_] = core::steady_now();
    log_event(log_level::info, "member_joined", {{"member", request.host_}});
}

awaitable<void> catalog_keeper::tend_members()
{
    const control::raft& raft = *group_.member();
    const control::member_group group = raft.log().group();
    const core::time_point now = core::steady_now();
    for (const control::member& item : group.members_)
    {
        if (!item.voter_ && raft.caught_up(item.host_))
        {
            const auto promoted =
                co_await group_.change_group("promote", item.host_, "");
            if (core::is_ok(promoted))
            {
                log_event(
                    log_level::info,
                    "member_promoted",
                    {{"member", item.host_}});
            }
            co_return;
        }
    }
    std::size_t present = 0;
    core::host_id lost;
    core::time_point lost_since = now;
    for (const control::member& item : group.members_)
    {
        const auto heard = raft.heard_from(item.host_);
        const bool self = item.host_ == with_.identity().host_;
        if (self || (heard && now - *heard <= present_within))
        {
            silent_since_.erase(item.host_);
            ++present;
            continue;
        }
        const core::time_point since =
            silent_since_.try_emplace(item.host_, now).first->second;
        if (since < lost_since)
        {
            lost = item.host_;
            lost_since = since;
        }
    }
    const bool replaced = std::any_of(
        joined_at_.begin(),
        joined_at_.end(),
        [&](const auto& joined)
        {
            return joined.first != lost &&
                   joined.second + lost_after > lost_since;
        });
    const bool others_present = present + 1 == group.members_.size();
    if (!lost.empty() && replaced && others_present &&
        present >= least_members && now - lost_since > lost_after)
    {
        const auto removed = co_await group_.change_group("remove", lost, "");
        if (core::is_ok(removed))
        {
            log_event(
                log_level::info,
                "member_removed",
                {{"member", lost}, {"silent_ms", (now - lost_since).ms_}});
            joined_at_.clear();
        }
    }
}

void catalog_keeper::note_leadership()
{
    if (group_.leads() != led_)
    {
        led_ = group_.leads();
        log_event(
            log_level::info,
            led_ ? "leadership_gained" : "leadership_lost",
            {{"term", group_.member()->term()}});
        if (led_)
        {
            desk_.reset();
            ledger_ = policy::meter_ledger();
            const catalog_section& section =
                with_.board_.section<catalog_section>();
            if (section.view_)
            {
                ledger_.set_limits(
                    limits_of(
                        section.view_->whole(),
                        with_.board_.section<settings_section>()
                            .settings_.bounds_),
                    core::steady_now());
            }
            silent_since_.clear();
        }
        wake_watchers();
    }
    if (group_.leader() != last_leader_)
    {
        last_leader_ = group_.leader();
        log_event(
            log_level::info,
            last_leader_.empty() ? "leader_lost" : "leader_known",
            {{"leader", last_leader_}, {"term", group_.member()->term()}});
        wake_watchers();
    }
}

awaitable<void> catalog_keeper::tend()
{
    for (;;)
    {
        co_await drivers::sleep_for(tend_every);
        note_leadership();
        if (group_.leads())
        {
            co_await tend_members();
        }
        const core::time_point now = core::steady_now();
        std::erase_if(
            hosts_,
            [now](const auto& item)
            {
                return now - item.second.at_ > host_silence;
            });
        drivers::flush_log();
    }
}

std::int64_t catalog_keeper::live_hosts() const
{
    return std::max<std::int64_t>(static_cast<std::int64_t>(hosts_.size()), 1);
}

awaitable<core::result<submit_reply>> catalog_keeper::submit_here(
    std::string command)
{
    const core::result<control::catalog_reply> reply =
        co_await group_.submit(std::move(command));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    co_return submit_reply{
        core::value(reply).changed_, core::value(reply).number_};
}

awaitable<core::result<submit_reply>> catalog_keeper::submit(
    std::string command)
{
    const core::time_point until = core::steady_now() + order_deadline;
    error last{errc::not_ready, "no leader is known"};
    while (core::steady_now() < until)
    {
        if (group_.leads())
        {
            co_return co_await submit_here(command);
        }
        const core::host_id leader = group_.leader();
        if (!leader.empty())
        {
            core::result<std::string> answer = co_await with_.peers_.call(
                leader, method::catalog_submit, command, order_deadline);
            if (core::is_ok(answer))
            {
                auto reply =
                    core::from_bytes<submit_reply>(core::value(answer));
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
        co_await drivers::sleep_for(form_every);
    }
    co_return last;
}

awaitable<order_outcome> catalog_keeper::submit_text(std::string text)
{
    core::finding_list findings;
    const auto read = dialect_.decode_catalog(text, findings);
    if (!read)
    {
        log_event(
            log_level::warning,
            "catalog_refused",
            {{"findings", findings.text()}});
        co_return order_outcome{false, true, findings.text()};
    }
    const std::uint64_t version = read->version_;
    std::string command = control::encode(control::catalog_command(
        control::submit_catalog{version, std::move(text)}));
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
        co_return order_outcome{false, false, core::failure(reply).message_};
    }
    co_return order_outcome{true, false, ""};
}

awaitable<order_outcome> catalog_keeper::set_zone(core::zone_id zone, bool out)
{
    const auto& zones =
        with_.board_.section<settings_section>().settings_.zones_;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
    {
        co_return order_outcome{
            false, true, "there is no availability zone " + zone};
    }
    std::string command = control::encode(
        control::catalog_command(control::set_zone_out{zone, out}));
    const core::result<submit_reply> reply =
        co_await submit(std::move(command));
    const bool accepted = core::is_ok(reply);
    log_event(
        accepted ? log_level::info : log_level::warning,
        accepted ? "zone_set" : "zone_undecided",
        {{"zone", zone},
         {"out", out ? 1 : 0},
         {"problem", accepted ? "" : core::failure(reply).message_}});
    if (!accepted)
    {
        co_return order_outcome{false, false, core::failure(reply).message_};
    }
    co_return order_outcome{true, false, ""};
}

awaitable<core::result<catalog_reading>> catalog_keeper::read()
{
    if (group_.leads())
    {
        const core::result<core::done> current = co_await group_.read_barrier();
        if (!core::is_ok(current))
        {
            co_return core::failure(current);
        }
        co_return catalog_reading{
            group_.state().version(), group_.state().text()};
    }
    const core::host_id leader = group_.leader();
    if (leader.empty())
    {
        co_return error{errc::not_ready, "no leader is known"};
    }
    core::result<std::string> answer = co_await with_.peers_.call(
        leader, method::catalog_read, std::string(), order_deadline);
    if (!core::is_ok(answer))
    {
        co_return core::failure(answer);
    }
    const auto reply =
        core::from_bytes<read_reply_message>(core::value(answer));
    if (!reply || !reply->text_.is_binary())
    {
        co_return error{errc::invalid, "the leader's reply cannot be read"};
    }
    co_return catalog_reading{reply->version_, core::text_of(reply->text_)};
}

bool catalog_keeper::has_news(const watch_request& request) const
{
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    const bool list_news = group_.leads() && list.read_at_.ms_ > 0 &&
                           (request.list_epoch_ != list.epoch_ ||
                            request.list_revision_ != list.revision_);
    return group_.state().revision() > request.revision_ || list_news ||
           crash_revision_ != request.crash_revision_ || !group_.leads();
}

watch_reply catalog_keeper::describe(const watch_request& request)
{
    watch_reply out;
    out.leads_ = group_.leads();
    out.leader_ = group_.leader();
    for (const control::member& item : group_.member()->log().group().members_)
    {
        out.members_.push_back(item.host_);
    }
    const control::catalog_machine& state = group_.state();
    out.revision_ = state.revision();
    if (state.revision() > request.revision_)
    {
        out.text_ = core::binary(state.text());
    }
    out.zones_out_.assign(state.zones_out().begin(), state.zones_out().end());
    const endpoint_section& list = with_.board_.section<endpoint_section>();
    if (out.leads_ && list.read_at_.ms_ > 0)
    {
        out.list_epoch_ = list.epoch_;
        out.list_revision_ = list.revision_;
        out.list_age_ms_ = (core::steady_now() - list.read_at_).ms_;
        out.list_sent_ = request.list_epoch_ != list.epoch_ ||
                         request.list_revision_ != list.revision_;
    }
    if (out.list_sent_)
    {
        const core::time_point now = core::steady_now();
        for (const auto& [name, item] : list.endpoints_)
        {
            endpoint_message told = to_message(item.listed_);
            told.cold_ms_ = std::max<std::int64_t>(
                (item.cold_until_ - now).ms_ + out.list_age_ms_, 0);
            out.list_.push_back(std::move(told));
        }
    }
    out.hosts_ = live_hosts();
    out.crash_revision_ = crash_revision_;
    out.crashers_.assign(refused_digests_.begin(), refused_digests_.end());
    return out;
}

awaitable<watch_reply> catalog_keeper::answer_watch(watch_request request)
{
    hosts_[request.host_] = {core::steady_now()};
    if (group_.leads())
    {
        desk_.reconcile(request.host_, request.places_);
    }
    const core::duration most{std::min(request.wait_ms_, longest_watch.ms_)};
    const core::time_point until = core::steady_now() + most;
    auto timer = std::make_shared<asio::steady_timer>(with_.io_);
    watchers_.push_back(timer);
    while (!has_news(request) && core::steady_now() < until)
    {
        timer->expires_after((until - core::steady_now()).chrono());
        drivers::error_code woken;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
    }
    std::erase(watchers_, timer);
    hosts_[request.host_] = {core::steady_now()};
    co_return describe(request);
}

settle_reply catalog_keeper::settle(const settle_request& request)
{
    settle_reply out;
    const core::time_point now = core::steady_now();
    for (const use_message& use : request.uses_)
    {
        out.levels_.push_back(
            {use.account_,
             0,
             ledger_.settle(
                 use.account_, request.host_, use.used_, use.level_, now)});
    }
    return out;
}

void catalog_keeper::register_calls()
{
    with_.calls_.add_typed<watch_request, watch_reply>(
        method::catalog_watch,
        caller_kind::host,
        [this](drivers::peer_identity, watch_request request)
            -> awaitable<core::result<watch_reply>>
        {
            co_return co_await answer_watch(std::move(request));
        });
    with_.calls_.add(
        method::catalog_submit,
        caller_kind::host,
        [this](drivers::peer_identity, std::string command)
            -> awaitable<core::result<std::string>>
        {
            const core::result<submit_reply> reply =
                co_await submit_here(std::move(command));
            if (!core::is_ok(reply))
            {
                co_return core::failure(reply);
            }
            co_return core::to_bytes(core::value(reply));
        });
    with_.calls_.add(
        method::catalog_read,
        caller_kind::host,
        [this](drivers::peer_identity, std::string)
            -> awaitable<core::result<std::string>>
        {
            const core::result<core::done> current =
                co_await group_.read_barrier();
            if (!core::is_ok(current))
            {
                co_return core::failure(current);
            }
            read_reply_message out;
            out.version_ = group_.state().version();
            out.text_ = core::binary(group_.state().text());
            co_return core::to_bytes(out);
        });
    with_.calls_.add_typed<join_request, submit_reply>(
        method::catalog_join,
        caller_kind::host,
        [this](drivers::peer_identity, join_request request)
            -> awaitable<core::result<submit_reply>>
        {
            if (!group_.leads())
            {
                co_return error{errc::not_leader, group_.leader()};
            }
            const control::member* known =
                group_.member()->log().group().find(request.host_);
            const bool in = known != nullptr && known->store_ == request.store_;
            if (!in && admitting_.insert(request.host_).second)
            {
                co_await admit(request);
                admitting_.erase(request.host_);
            }
            co_return submit_reply();
        });
}

void catalog_keeper::register_stream_calls()
{
    with_.calls_.add_typed<want_message, place_reply>(
        method::streams_place,
        caller_kind::host,
        [this](drivers::peer_identity, want_message want)
            -> awaitable<core::result<place_reply>>
        {
            if (!group_.leads())
            {
                co_return error{errc::not_leader, group_.leader()};
            }
            co_return co_await desk_.place(std::move(want));
        });
    with_.calls_.add_typed<end_message, empty_reply>(
        method::streams_end,
        caller_kind::host,
        [this](drivers::peer_identity, end_message ending)
            -> awaitable<core::result<empty_reply>>
        {
            desk_.end(ending);
            co_return empty_reply();
        });
    with_.calls_.add_typed<note_message, empty_reply>(
        method::streams_note,
        caller_kind::host,
        [this](drivers::peer_identity, note_message what)
            -> awaitable<core::result<empty_reply>>
        {
            desk_.note(what);
            co_return empty_reply();
        });
    with_.calls_.add_typed<settle_request, settle_reply>(
        method::meters_settle,
        caller_kind::host,
        [this](drivers::peer_identity, settle_request request)
            -> awaitable<core::result<settle_reply>>
        {
            if (!group_.leads())
            {
                co_return error{errc::not_leader, group_.leader()};
            }
            co_return settle(request);
        });
    with_.calls_.add_typed<crash_message, empty_reply>(
        method::crash_report,
        caller_kind::host,
        [this](drivers::peer_identity, crash_message told)
            -> awaitable<core::result<empty_reply>>
        {
            const core::time_point now = core::steady_now();
            crashers_.crashed(
                told.digest_,
                told.crash_,
                static_cast<policy::evidence>(told.weight_),
                crasher_span,
                now);
            const bool refused = crashers_.look_up(told.digest_, now) ==
                                 policy::suspicion::quarantined;
            if (refused && refused_digests_.insert(told.digest_).second)
            {
                ++crash_revision_;
                log_event(
                    log_level::warning,
                    "request_quarantined",
                    {{"digest", told.digest_}});
                wake_watchers();
            }
            co_return empty_reply();
        });
}

} // namespace poplarroute::node
