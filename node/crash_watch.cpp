#include "node/crash_watch.hpp"

#include "drivers/log.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration tell_deadline{300};
constexpr core::duration look_again_after{50};
constexpr int most_looks = 4;

} // namespace

crash_watch::crash_watch(context& with) : with_(with), engines_(with.http_) {}

void crash_watch::start()
{
    with_.calls_.add_typed<crash_report, empty_reply>(
        method::crash,
        caller_kind::host,
        [this](drivers::peer_identity, crash_report news)
            -> awaitable<core::result<empty_reply>>
        {
            with_.board_.section<quarantine_section>().records_.crashed(
                news.digest_,
                news.crash_,
                static_cast<policy::evidence>(news.weight_),
                core::duration{news.span_ms_},
                core::steady_now());
            co_return empty_reply();
        });
}

awaitable<bool> crash_watch::was_lost(std::string address, std::string boot)
{
    core::errc why = core::errc::broken;
    for (int tries = 0; tries < most_looks; ++tries)
    {
        const auto report = co_await engines_.report(address, "");
        if (core::is_ok(report))
        {
            co_return core::value(report).boot_ != boot;
        }
        why = core::failure(report).code_;
        if (why != core::errc::broken)
        {
            break;
        }
        // A process that is just ending may still accept and then reset.
        co_await drivers::sleep_for(look_again_after);
    }
    // Silence may be a cut or a freeze; a refused connection is neither.
    co_return why != core::errc::timeout;
}

awaitable<void> crash_watch::tell(
    core::host_id host, std::string address, crash_report news)
{
    const auto reply = co_await ask<empty_reply>(
        with_.peers_, address, method::crash, news, tell_deadline);
    if (!core::is_ok(reply))
    {
        drivers::log_event(
            drivers::log_level::warning, "crash_not_told", {{"peer", host}});
    }
}

awaitable<void> crash_watch::note(
    std::string digest, std::string crash, policy::evidence weight)
{
    quarantine_section& section = with_.board_.section<quarantine_section>();
    const core::duration span = with_.directory().fleet_.settings().quarantine_;
    const bool news = section.records_.crashed(
        digest, crash, weight, span, core::steady_now());
    if (!news)
    {
        co_return;
    }
    drivers::log_event(
        drivers::log_level::warning,
        "endpoint_lost_under_request",
        {{"digest", digest},
         {"crash", crash},
         {"weight", static_cast<int>(weight)}});
    const crash_report report{
        digest, crash, static_cast<int>(weight), span.ms_};
    for (const auto& [host, peer] : with_.membership().members_->peers())
    {
        if (peer.state_ != control::liveness::dead)
        {
            drivers::spawn(with_.io_, tell(host, peer.peer_, report));
        }
    }
    // The caller may come back through any host: let the news go first.
    co_await drivers::sleep_for(core::duration{tell_deadline.ms_ / 3});
}

policy::suspicion crash_watch::look_up(const std::string& digest) const
{
    return with_.board_.section<quarantine_section>().records_.look_up(
        digest, core::steady_now());
}

} // namespace poplarroute::node
