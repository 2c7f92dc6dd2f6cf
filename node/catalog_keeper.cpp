#include "node/catalog_keeper.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using core::errc;
using core::error;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Between two looks for a leader that takes an order.
constexpr core::duration leader_search_every{150};

/// An operator's call moves on after a second, so an order is not followed
/// for longer here.
constexpr core::duration order_deadline{900};

constexpr core::duration tend_every{250};

/// An entry host without a watch for this long no longer counts as alive.
constexpr core::duration host_silence{3'500};

/// The longest that a watch is left unanswered.
constexpr core::duration longest_watch{2'000};

/// Fraction of the bound on second sends that the leader grants to streams. A
/// new leader does not know what the former has granted.
constexpr double stream_resends = 0.5;

/// How long a request that ends engines is refused.
constexpr core::duration crasher_span{60'000};

} // namespace

catalog_keeper::catalog_keeper(
    context& with, catalog_replica& group, const wire_dialect& dialect)
    : with_(with),
      group_(group),
      dialect_(dialect),
      desk_(with, stream_desk::reach::fleet),
      stages_(with, group, dialect, desk_),
      tender_(with, group)
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
    stages_.start();
    tender_.start();
    drivers::spawn(with_.io_, tend());
}

void catalog_keeper::take_catalog()
{
    catalog_section& section = with_.board_.section<catalog_section>();
    const control::catalog_state_machine& state = group_.state();
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
    section.zones_out_ = state.out_of_service_zones();
    log_event(
        log_level::info,
        "catalog_in_force",
        {{"version", state.version()},
         {"revision", state.revision()},
         {"routes", section.view_->whole().routes_.size()},
         {"zones_out", state.out_of_service_zones().size()}});
    set_bounds();
    for (const auto& call : section.on_change_)
    {
        call();
    }
}

void catalog_keeper::set_bounds()
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
        resends_[name].set_bound(resend_bound_of(bounds), 1, stream_resends);
    }
}

void catalog_keeper::wake_watchers()
{
    for (const auto& timer : watchers_)
    {
        timer->cancel();
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
            resends_.clear();
            set_bounds();
            tender_.begin_leading();
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
            co_await tender_.tend_members();
        }
        const core::time_point now = core::steady_now();
        std::erase_if(
            hosts_,
            [now](const auto& item)
            {
                return now - item.second > host_silence;
            });
        forget_crashers(now);
        drivers::flush_log();
    }
}

void catalog_keeper::forget_crashers(core::time_point now)
{
    crashers_.expire(now);
    const std::size_t ended = std::erase_if(
        refused_digests_,
        [&](const std::string& digest)
        {
            return crashers_.look_up(digest, now) !=
                   policy::suspicion::quarantined;
        });
    if (ended > 0)
    {
        ++crash_revision_;
        log_event(log_level::info, "quarantine_ended", {{"requests", ended}});
        wake_watchers();
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
        co_await drivers::sleep_for(leader_search_every);
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
        control::catalog_command(control::set_zone_out_of_service{zone, out}));
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
    const control::catalog_state_machine& state = group_.state();
    out.revision_ = state.revision();
    if (state.revision() > request.revision_)
    {
        out.text_ = core::binary(state.text());
    }
    out.zones_out_.assign(
        state.out_of_service_zones().begin(),
        state.out_of_service_zones().end());
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
    hosts_[request.host_] = core::steady_now();
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
    hosts_[request.host_] = core::steady_now();
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
}

awaitable<place_reply> catalog_keeper::charge_and_place(want_message want)
{
    // Charged here, where all hosts' streams meet, the limit needs no margin
    // for what hosts do not know of each other.
    const core::account_id account = want.account_;
    const std::int64_t price = want.price_;
    const core::time_point now = core::steady_now();
    policy::resend_allowance& resends = resends_[want.service_];
    if (want.resends_ == 0)
    {
        resends.request(now);
    }
    else if (!resends.take(want.resends_, now))
    {
        place_reply none;
        none.reason_ = "no allowance to send again";
        co_return none;
    }
    if (price > 0 && !ledger_.charge(account, price, now))
    {
        co_return refuse_over_rate(
            ledger_.inputs(account, price, now),
            ledger_.wait_for(account, price, now));
    }
    place_reply reply = co_await desk_.place(std::move(want));
    if (price > 0 && !reply.placed_)
    {
        ledger_.refund(account, price);
    }
    co_return reply;
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
            co_return co_await charge_and_place(std::move(want));
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
