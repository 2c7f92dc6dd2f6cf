#include "node/crash_detector.hpp"

#include "drivers/log.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration report_timeout{300};
constexpr core::duration probe_retry_delay{50};
constexpr int max_probes = 4;

} // namespace

crash_detector::crash_detector(context& with)
    : with_(with), engines_(with.http_)
{
}

void crash_detector::start()
{
    with_.calls_.add_typed<crash_report, empty_reply>(
        method::crash,
        allowed_callers::host,
        [this](drivers::peer_identity, crash_report report)
            -> awaitable<core::result<empty_reply>>
        {
            with_.board_.section<quarantine_section>().records_.crashed(
                report.digest_,
                report.crash_,
                static_cast<policy::evidence>(report.weight_),
                core::duration{report.span_ms_},
                core::steady_now());
            co_return empty_reply();
        });
}

awaitable<bool> crash_detector::is_process_lost(
    std::string address, std::string boot)
{
    core::errc why = core::errc::broken;
    for (int tries = 0; tries < max_probes; ++tries)
    {
        const auto report = co_await engines_.report(address, "", true);
        if (core::is_ok(report))
        {
            co_return core::value(report).boot_ != boot;
        }
        why = core::failure(report).code_;
        if (why != core::errc::broken)
        {
            break;
        }
        // A process that is ending may still accept a connection and then
        // reset it.
        co_await drivers::sleep_for(probe_retry_delay);
    }
    // A timeout can mean a network partition or a frozen process, and an answer
    // that cannot be read a sound one; a refused connection can mean neither.
    co_return why == core::errc::unreachable || why == core::errc::broken;
}

awaitable<void> crash_detector::send_report(
    core::host_id host, std::string address, crash_report report)
{
    const auto reply = co_await ask<empty_reply>(
        with_.peers_, address, method::crash, report, report_timeout);
    if (!core::is_ok(reply))
    {
        drivers::log_event(
            drivers::log_level::warning, "crash_not_told", {{"peer", host}});
    }
}

awaitable<void> crash_detector::note(
    std::string digest, std::string crash, policy::evidence weight)
{
    quarantine_section& section = with_.board_.section<quarantine_section>();
    const core::duration quarantine_time =
        with_.directory().fleet_.settings().quarantine_;
    const bool is_new = section.records_.crashed(
        digest, crash, weight, quarantine_time, core::steady_now());
    if (!is_new)
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
        digest, crash, static_cast<int>(weight), quarantine_time.ms_};
    for (const auto& [host, peer] : with_.membership().members_->peers())
    {
        if (peer.state_ != control::liveness::dead)
        {
            drivers::spawn_task(
                with_.io_,
                "send_report",
                send_report(host, peer.peer_, report));
        }
    }
    // The caller may retry through any host, so the reports are given time to
    // arrive first.
    co_await drivers::sleep_for(core::duration{report_timeout.ms_ / 3});
}

policy::suspicion crash_detector::look_up(const std::string& digest) const
{
    return with_.board_.section<quarantine_section>().records_.look_up(
        digest, core::steady_now());
}

} // namespace poplarroute::node
