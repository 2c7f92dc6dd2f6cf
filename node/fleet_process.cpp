#include "node/fleet_process.hpp"

#include <csignal>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>

#include "core/digest.hpp"
#include "drivers/log.hpp"
#include "node/catalog_watcher.hpp"
#include "node/endpoint_list_poller.hpp"
#include "node/fault_injection.hpp"
#include "node/ingress_controller.hpp"
#include "node/load_monitor.hpp"
#include "node/messages.hpp"
#include "node/reach_monitor.hpp"
#include "node/rollout_client.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time until the load balancer stops sending requests to a host that is not
/// ready: it checks once per second and removes a host after two failed checks.
constexpr core::duration balancer_detection_time{2'600};

/// Part of the stop grace period that is reserved for the process's exit.
constexpr core::duration exit_margin{500};

/// Time for the answers to requests that have not ended when the host stops.
constexpr core::duration final_answer_time{200};
constexpr core::duration drain_check_interval{20};

/// Time for the last messages to other hosts before the process exits.
constexpr core::duration final_send_time{60};

constexpr core::duration settings_check_interval{2'000};
constexpr std::size_t epoch_bytes = 6;

/// Entry hosts get no placements from the group during an election, so the
/// group's timeouts are only a few times the latency between zones.
constexpr control::raft_timing group_timing{
    core::duration{100},
    core::duration{450},
    core::duration{450},
    core::duration{120}};

/// Part of the process's memory that the requests and responses which it holds
/// may take. Each may be copied once on its way.
constexpr std::size_t http_memory_divisor = 6;
constexpr std::size_t default_memory_mb = 144;

/// \param memory_mb memory of the process; 0: not stated.
std::size_t known_memory_mb(std::int64_t memory_mb)
{
    return memory_mb > 0 ? static_cast<std::size_t>(memory_mb)
                         : default_memory_mb;
}

/// \return the budget of requests and responses.
std::size_t http_budget_bytes(std::int64_t memory_mb)
{
    return known_memory_mb(memory_mb) * 1024 * 1024 / http_memory_divisor;
}

/// Largest body of a request for readiness or metrics, which has none.
constexpr std::size_t max_service_body_bytes = 1024;

/// What one host adds to the header of a request that it hands to another.
constexpr std::size_t relay_header_bytes = 4 * 1024;

constexpr int status_ok = 200;
constexpr int exit_status_connections_cut = 4;

} // namespace

struct fleet_process::parts
{
    parts(
        fleet_settings settings,
        settings_loader load_settings,
        std::unique_ptr<wire_codec> codec,
        operator_handler_factory make_operator_handler)
        : load_settings_(std::move(load_settings)),
          codec_(std::move(codec)),
          make_operator_handler_(std::move(make_operator_handler)),
          budget_(std::make_shared<drivers::byte_budget>(
              http_budget_bytes(settings.memory_mb_))),
          http_(io_, budget_),
          peers_(io_, nullptr),
          with_{io_, board_, peers_, http_, metrics_, calls_},
          signals_(io_, SIGTERM, SIGINT),
          hangups_(io_, SIGHUP),
          load_(with_)
    {
        identity_section& identity = board_.section<identity_section>();
        identity.host_ = settings.peer_listen_;
        identity.zone_ = settings.zone_;
        identity.incarnation_ = static_cast<std::uint64_t>(core::wall_ms());
        identity.settings_.data_folder_ = settings.data_folder_;
        settings_section& section = board_.section<settings_section>();
        section.settings_ = std::move(settings);
        section.epoch_ = core::random_hex(epoch_bytes);
        board_.section<endpoint_section>().notices_ =
            policy::endpoint_notices(core::stable_hash(identity.host_));
    }

    const fleet_settings& settings()
    {
        return board_.section<settings_section>().settings_;
    }

    bool is_entry()
    {
        return !settings().client_listen_.empty();
    }

    core::result<core::done> build();
    void divide_limits();
    drivers::connection_group_ptr make_group(
        const char* listener, const drivers::listener_limits& limits);
    drivers::http_limits limits_of_clients();
    drivers::http_limits limits_of_service();
    void open_ports();
    void open_entry_ports();
    void register_block_endpoints();
    void start();
    void reload_settings();
    awaitable<void> reload_on_hangup();
    awaitable<void> reload_while_leaderless();
    awaitable<void> stop_on_signal();
    std::size_t open_requests() const;
    awaitable<void> drain();
    awaitable<void> answer_ready(drivers::http_exchange& exchange);
    awaitable<void> answer_metrics(drivers::http_exchange& exchange);
    void refresh_gauges();

    settings_loader load_settings_;
    std::unique_ptr<wire_codec> codec_;
    operator_handler_factory make_operator_handler_;
    asio::io_context io_{1};
    core::blackboard board_;
    drivers::metrics metrics_;
    call_dispatcher calls_;
    drivers::byte_budget_ptr budget_; ///< Of requests and responses.
    drivers::process_limits limits_;
    std::vector<drivers::connection_group_ptr> groups_;
    drivers::http_client http_;
    drivers::peer_client peers_;
    context with_;
    asio::signal_set signals_;
    asio::signal_set hangups_;
    int exit_status_ = 0;

    load_monitor load_;
    std::unique_ptr<catalog_replica> group_;
    std::unique_ptr<catalog_controller> catalog_controller_;
    std::unique_ptr<endpoint_list_poller> list_poller_;
    std::unique_ptr<rollout_client> rollout_client_;
    std::unique_ptr<catalog_watcher> catalog_watcher_;
    std::unique_ptr<ingress_controller> ingress_;
    std::unique_ptr<drivers::http_server> client_port_;
    std::unique_ptr<drivers::http_server> relay_port_; ///< For other hosts.
    std::unique_ptr<drivers::http_server> ready_port_;
    std::unique_ptr<drivers::http_server> control_port_;
    std::unique_ptr<drivers::http_server> metrics_port_;
    std::unique_ptr<drivers::peer_server> peer_port_;
};

core::result<core::done> fleet_process::parts::build()
{
    if (is_entry())
    {
        rollout_client_ = std::make_unique<rollout_client>(with_);
        catalog_watcher_ =
            std::make_unique<catalog_watcher>(with_, *codec_, *rollout_client_);
        ingress_ = std::make_unique<ingress_controller>(
            with_, *codec_, *rollout_client_);
        list_poller_ = std::make_unique<endpoint_list_poller>(
            with_,
            *codec_,
            [this]()
            {
                return catalog_watcher_->list_is_stale();
            },
            true);
        return core::done();
    }
    group_ = std::make_unique<catalog_replica>(with_, group_timing);
    const core::result<core::done> opened = group_->open();
    if (!core::is_ok(opened))
    {
        return opened;
    }
    catalog_controller_ =
        std::make_unique<catalog_controller>(with_, *group_, *codec_);
    list_poller_ = std::make_unique<endpoint_list_poller>(
        with_,
        *codec_,
        [this]()
        {
            return catalog_controller_->leads() &&
                   group_->state().version() > 0;
        });
    return core::done();
}

void fleet_process::parts::divide_limits()
{
    drivers::client_settings clients = settings().clients_;
    clients.memory_mb_ = known_memory_mb(settings().memory_mb_);
    limits_ = drivers::divide_limits(clients, is_entry());
}

drivers::connection_group_ptr fleet_process::parts::make_group(
    const char* listener, const drivers::listener_limits& limits)
{
    auto out = std::make_shared<drivers::connection_group>(
        listener, limits, budget_, &metrics_);
    groups_.push_back(out);
    return out;
}

drivers::http_limits fleet_process::parts::limits_of_clients()
{
    drivers::http_limits out;
    out.framing_bytes_ = settings().clients_.framing_bytes_;
    out.write_timeout_ = settings().clients_.write_timeout_;
    return out;
}

drivers::http_limits fleet_process::parts::limits_of_service()
{
    drivers::http_limits out = limits_of_clients();
    out.body_bytes_ = max_service_body_bytes;
    out.counts_responses_ = true;
    return out;
}

void fleet_process::parts::open_entry_ports()
{
    const drivers::connection_group_ptr callers =
        make_group("callers", limits_.callers_);
    // Requests that still arrive give way to responses of those that run.
    budget_->set_reclaimer(
        [group = std::weak_ptr(callers)](std::size_t bytes)
        {
            if (const auto requests = group.lock())
            {
                requests->free_bodies(bytes);
            }
        });
    client_port_ = std::make_unique<drivers::http_server>(
        io_,
        settings().client_listen_,
        limits_of_clients(),
        [this](drivers::http_exchange& exchange)
        {
            return ingress_->handle(exchange);
        },
        callers);
    if (!settings().relay_listen_.empty())
    {
        relay_port_ = std::make_unique<drivers::http_server>(
            io_,
            settings().relay_listen_,
            limits_of_clients(),
            [this](drivers::http_exchange& exchange)
            {
                return ingress_->handle_relayed(exchange);
            },
            make_group("relay", limits_.peers_));
        board_.section<reach_section>().relay_address_ =
            settings().relay_listen_;
    }
    ready_port_ = std::make_unique<drivers::http_server>(
        io_,
        settings().ready_listen_,
        limits_of_service(),
        [this](drivers::http_exchange& exchange)
        {
            return answer_ready(exchange);
        },
        make_group("ready", limits_.service_));
    board_.section<catalog_section>().on_change_.emplace_back(
        [this]()
        {
            const control::caller_limits& configured =
                board_.section<catalog_section>().view_->whole().limits_;
            drivers::http_limits limits = limits_of_clients();
            limits.header_bytes_ =
                static_cast<std::size_t>(configured.header_bytes_);
            limits.body_bytes_ =
                static_cast<std::size_t>(configured.body_bytes_);
            limits.read_timeout_ = configured.request_header_timeout_ * 2;
            limits.idle_timeout_ = configured.connection_idle_timeout_;
            client_port_->set_limits(limits);
            if (relay_port_)
            {
                limits.header_bytes_ += relay_header_bytes;
                relay_port_->set_limits(limits);
            }
        });
}

void fleet_process::parts::open_ports()
{
    divide_limits();
    if (is_entry())
    {
        open_entry_ports();
    }
    else
    {
        drivers::http_limits limits = limits_of_clients();
        limits.counts_responses_ = true;
        control_port_ = std::make_unique<drivers::http_server>(
            io_,
            settings().control_listen_,
            limits,
            make_operator_handler_(*catalog_controller_),
            make_group("control", limits_.service_));
    }
    metrics_port_ = std::make_unique<drivers::http_server>(
        io_,
        settings().metrics_listen_,
        limits_of_service(),
        [this](drivers::http_exchange& exchange)
        {
            return answer_metrics(exchange);
        },
        make_group("metrics", limits_.service_));
    peer_port_ = std::make_unique<drivers::peer_server>(
        io_,
        settings().peer_listen_,
        nullptr,
        [this](drivers::peer_identity from, std::string name, std::string body)
        {
            return calls_.answer(
                std::move(from), std::move(name), std::move(body));
        },
        make_group("peers", limits_.peers_),
        settings().clients_.write_timeout_);
}

awaitable<void> fleet_process::parts::answer_ready(
    drivers::http_exchange& exchange)
{
    const bool ready = board_.section<catalog_section>().view_ != nullptr &&
                       !board_.section<lifecycle_section>().leaving_;
    const int status = ready ? status_ok : status_unavailable;
    drivers::header_list headers;
    std::string body;
    co_await exchange.send(status, std::move(headers), std::move(body));
}

void fleet_process::parts::refresh_gauges()
{
    const drivers::log_counts& lines = drivers::log_line_counts();
    metrics_.set(
        "poplarroute_log_lines",
        {{"end", "written"}},
        static_cast<double>(lines.written_));
    metrics_.set(
        "poplarroute_log_lines",
        {{"end", "dropped"}},
        static_cast<double>(lines.dropped_));
    metrics_.set(
        "poplarroute_log_lines",
        {{"end", "suppressed"}},
        static_cast<double>(lines.suppressed_));
    const drivers::http_client_counts& calls = http_.counts();
    metrics_.set(
        "poplarroute_endpoint_connections",
        {{"use", "opened"}},
        static_cast<double>(calls.opened_));
    metrics_.set(
        "poplarroute_endpoint_connections",
        {{"use", "reused"}},
        static_cast<double>(calls.reused_));
    metrics_.set(
        "poplarroute_directory_version",
        {},
        static_cast<double>(board_.section<catalog_section>().revision_));
    drivers::set_traffic_metrics(metrics_);
    load_.set_metrics();
    metrics_.set(
        "poplarroute_exceptions",
        {},
        static_cast<double>(drivers::reported_exceptions()));
    for (const drivers::connection_group_ptr& group : groups_)
    {
        const drivers::metric_labels labels{{"listener", group->listener()}};
        metrics_.set(
            "poplarroute_connections",
            labels,
            static_cast<double>(group->connections()));
        metrics_.set(
            "poplarroute_connection_bytes",
            labels,
            static_cast<double>(group->bytes()));
    }
    if (ingress_)
    {
        metrics_.set(
            "poplarroute_active_requests",
            {},
            static_cast<double>(ingress_->active()));
        ingress_->set_metrics();
    }
    if (group_)
    {
        metrics_.set(
            "poplarroute_control_role", {}, group_->leads() ? 1.0 : 0.0);
        metrics_.set(
            "poplarroute_hosts_behind",
            {},
            static_cast<double>(catalog_controller_->hosts_behind()));
        catalog_controller_->set_metrics();
    }
}

awaitable<void> fleet_process::parts::answer_metrics(
    drivers::http_exchange& exchange)
{
    refresh_gauges();
    drivers::header_list headers{{"Content-Type", "text/plain"}};
    std::string body = metrics_.text();
    co_await exchange.send(status_ok, std::move(headers), std::move(body));
}

void fleet_process::parts::register_block_endpoints()
{
    if (!settings().allow_fault_injection_)
    {
        return;
    }
    calls_.add_typed<block_peers_request, empty_reply>(
        method::cut,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, block_peers_request request)
            -> awaitable<core::result<empty_reply>>
        {
            for (const std::string& address : request.addresses_)
            {
                http_.set_blocked(address, request.cut_);
            }
            co_return empty_reply();
        });
}

void fleet_process::parts::start()
{
    register_block_endpoints();
    if (group_)
    {
        group_->start();
        catalog_controller_->start();
        control_port_->start();
    }
    if (ingress_)
    {
        rollout_client_->start();
        catalog_watcher_->start();
        ingress_->start();
        client_port_->start();
        if (relay_port_)
        {
            relay_port_->start();
        }
        ready_port_->start();
    }
    load_.start();
    list_poller_->start();
    peer_port_->start();
    metrics_port_->start();
}

void fleet_process::parts::reload_settings()
{
    std::optional<fleet_settings> loaded = load_settings_();
    if (!loaded)
    {
        log_event(log_level::error, "settings_unreadable", {});
        return;
    }
    // Listen addresses and the role do not change while the process runs.
    settings_section& section = board_.section<settings_section>();
    section.settings_.seeds_ = loaded->seeds_;
    section.settings_.bounds_ = loaded->bounds_;
    section.settings_.list_address_ = loaded->list_address_;
}

awaitable<void> fleet_process::parts::reload_on_hangup()
{
    for (;;)
    {
        drivers::error_code failed;
        co_await hangups_.async_wait(
            asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
        {
            co_return;
        }
        reload_settings();
        log_event(
            log_level::info, "reloaded", {{"seeds", settings().seeds_.size()}});
    }
}

/// Reloads the settings while no leader is known, since the file may change
/// without a signal; this matters to a host that has lost contact to the group.
awaitable<void> fleet_process::parts::reload_while_leaderless()
{
    for (;;)
    {
        co_await drivers::sleep_for(settings_check_interval);
        const bool lost = is_entry()
                              ? board_.section<group_section>().leader_.empty()
                              : group_->leader().empty();
        if (lost)
        {
            reload_settings();
        }
    }
}

/// \return the connections of callers, and the requests of other hosts.
std::size_t fleet_process::parts::open_requests() const
{
    return client_port_->connections() +
           (relay_port_ ? relay_port_->active_requests() : 0);
}

awaitable<void> fleet_process::parts::drain()
{
    const core::time_point stop_started_at = core::steady_now();
    const core::time_point until =
        stop_started_at + settings().bounds_.stop_grace_ - exit_margin;
    board_.section<lifecycle_section>().leaving_ = true;
    ingress_->stop_at(until - final_answer_time);
    client_port_->disable_keep_alive();
    co_await drivers::sleep_for(balancer_detection_time);
    client_port_->stop_accepting();
    // A request that is still being received is not active yet, but its
    // connection is open.
    while (open_requests() > 0 && core::steady_now() < until)
    {
        co_await drivers::sleep_for(drain_check_interval);
    }
    if (open_requests() > 0)
    {
        log_event(
            log_level::error,
            "connections_cut",
            {{"open", open_requests()}, {"active", ingress_->active()}});
        exit_status_ = exit_status_connections_cut;
    }
}

awaitable<void> fleet_process::parts::stop_on_signal()
{
    drivers::error_code failed;
    co_await signals_.async_wait(
        asio::redirect_error(asio::use_awaitable, failed));
    log_event(
        log_level::info,
        "stopping",
        {{"active", ingress_ ? ingress_->active() : 0}});
    if (ingress_)
    {
        co_await drain();
    }
    if (catalog_controller_)
    {
        co_await catalog_controller_->announce_leave();
    }
    co_await drivers::sleep_for(final_send_time);
    log_event(log_level::info, "stopped", {});
    drivers::flush_log();
    io_.stop();
}

fleet_process::fleet_process(
    fleet_settings settings,
    settings_loader load_settings,
    std::unique_ptr<wire_codec> codec,
    operator_handler_factory make_operator_handler)
    : parts_(std::make_unique<parts>(
          std::move(settings),
          std::move(load_settings),
          std::move(codec),
          std::move(make_operator_handler)))
{
}

fleet_process::~fleet_process() = default;

core::result<core::done> fleet_process::open()
{
    const core::result<core::done> built = parts_->build();
    if (!core::is_ok(built))
    {
        return built;
    }
    try
    {
        parts_->open_ports();
    }
    catch (const boost::system::system_error& thrown)
    {
        return core::error{core::errc::invalid, thrown.what()};
    }
    return core::done();
}

int fleet_process::run()
{
    parts& all = *parts_;
    std::signal(SIGPIPE, SIG_IGN);
    all.start();
    drivers::spawn(all.io_, all.stop_on_signal());
    drivers::spawn_loop(
        all.io_,
        "reload_on_hangup",
        [&all]()
        {
            return all.reload_on_hangup();
        });
    drivers::spawn_loop(
        all.io_,
        "reload_while_leaderless",
        [&all]()
        {
            return all.reload_while_leaderless();
        });
    log_event(
        log_level::info,
        "started",
        {{"zone", all.settings().zone_},
         {"entry", all.is_entry() ? 1 : 0},
         {"first_start", all.settings().first_start_ ? 1 : 0},
         {"seeds", all.settings().seeds_.size()}});
    all.io_.run();
    return all.exit_status_;
}

} // namespace poplarroute::node
