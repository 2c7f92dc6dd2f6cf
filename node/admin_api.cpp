#include "node/admin_api.hpp"

#include <sys/resource.h>

#include "node/messages.hpp"

namespace poplarroute::node
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr std::int64_t ms_per_second = 1'000;
constexpr std::int64_t us_per_ms = 1'000;

std::int64_t cpu_ms()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto ms = [](const timeval& time)
    {
        return time.tv_sec * ms_per_second + time.tv_usec / us_per_ms;
    };
    return ms(usage.ru_utime) + ms(usage.ru_stime);
}

std::int64_t peak_kilobytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

std::string_view name_of(control::liveness state)
{
    switch (state)
    {
    case control::liveness::alive:
        return "alive";
    case control::liveness::suspect:
        return "suspect";
    case control::liveness::dead:
        return "dead";
    }
    return "dead";
}

} // namespace

admin_api::admin_api(
    context& with,
    pool_controller& pools,
    escrow_controller& escrow,
    entry_controller& entry)
    : with_(with), pools_(pools), escrow_(escrow), entry_(entry)
{
}

bool admin_api::ready() const
{
    const lifecycle_section& lifecycle = with_.lifecycle();
    return !lifecycle.leaving_ && !lifecycle.draining_ &&
           has_usable_version(with_) &&
           !with_.directory().fleet_.is_host_out_of_service(
               with_.identity().host_);
}

nlohmann::json admin_api::status() const
{
    const directory_section& directory = with_.directory();
    const core::time_point now = core::steady_now();
    nlohmann::json out;
    out["host"] = with_.identity().host_;
    out["zone"] = with_.identity().zone_;
    out["incarnation"] = with_.identity().incarnation_;
    out["ready"] = ready();
    out["version"] = directory.fleet_.version();
    out["configuration"] = directory.fleet_.configuration_version();
    out["confirmed"] = directory.confirmed_;
    out["control_age_ms"] =
        directory.current_as_of_.ms_ == 0
            ? nlohmann::json(nullptr)
            : nlohmann::json((now - directory.current_as_of_).ms_);
    out["leader"] = with_.membership().leader_;
    out["active"] = entry_.active();
    out["attempts"] = with_.board_.section<running_section>().attempts_.size();
    out["quarantined"] =
        with_.board_.section<quarantine_section>().records_.size();
    out["pools"] = pools_.status();
    out["shares"] = escrow_.status();
    out["cpu_ms"] = cpu_ms();
    out["peak_kilobytes"] = peak_kilobytes();
    const drivers::peer_traffic& traffic = drivers::traffic();
    out["peer_traffic"] = {
        {"bytes_in", traffic.bytes_in_},
        {"bytes_out", traffic.bytes_out_},
        {"calls_in", traffic.calls_in_},
        {"calls_out", traffic.calls_out_}};
    out["peers"] = nlohmann::json::object();
    for (const auto& [name, peer] : with_.membership().members_->peers())
    {
        out["peers"][name] = name_of(peer.state_);
    }
    return out;
}

void admin_api::start()
{
    with_.calls_.add(
        method::status,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, std::string)
            -> awaitable<core::result<std::string>>
        {
            co_return status().dump();
        });
    with_.calls_.add(
        method::burn,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, std::string)
            -> awaitable<core::result<std::string>>
        {
            co_return entry_.burn().rows(core::steady_now()).dump();
        });
}

awaitable<void> admin_api::answer(drivers::http_exchange& exchange)
{
    const std::string& path = exchange.request().target_;
    const drivers::header_list text{{"Content-Type", "text/plain"}};
    if (path == "/metrics")
    {
        drivers::set_traffic_metrics(with_.metrics_);
        with_.metrics_.set(
            "poplarroute_exceptions",
            {},
            static_cast<double>(drivers::reported_exceptions()));
        co_await exchange.send(status_ok, text, with_.metrics_.text());
    }
    else if (path == "/live")
    {
        co_await exchange.send(status_ok, text, "live\n");
    }
    else if (path == "/ready")
    {
        const bool is_ready = ready();
        co_await exchange.send(
            is_ready ? status_ok : status_unavailable,
            text,
            is_ready ? "ready\n" : "not ready\n");
    }
    else
    {
        co_await exchange.send(status_not_found, text, "not found\n");
    }
}

} // namespace poplarroute::node
