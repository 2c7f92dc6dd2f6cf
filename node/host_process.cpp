#include "node/host_process.hpp"

#include <csignal>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>

#include "drivers/log.hpp"
#include "node/admin_api.hpp"
#include "node/context.hpp"
#include "node/control_client.hpp"
#include "node/crash_detector.hpp"
#include "node/directory_controller.hpp"
#include "node/entry_controller.hpp"
#include "node/escrow_controller.hpp"
#include "node/fault_injection.hpp"
#include "node/fleet_controller.hpp"
#include "node/membership_controller.hpp"
#include "node/order_controller.hpp"
#include "node/platform_monitor.hpp"
#include "node/pool_client.hpp"
#include "node/pool_controller.hpp"
#include "node/replica.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;
using drivers::log_event;
using drivers::log_level;

namespace
{

/// Time that the load balancer needs to see that a host is no longer ready.
constexpr core::duration balancer_update_delay{1'000};

constexpr core::duration drain_poll_interval{20};

/// Time for the last messages to other hosts, before the process ends.
constexpr core::duration final_message_delay{200};

constexpr int exit_status_requests_cut = 4;
constexpr std::size_t bytes_per_mb = 1024 * 1024;

/// Part of the process's memory that the bodies of requests may take.
constexpr std::size_t body_memory_divisor = 6;

core::result<drivers::tls_context> make_tls(
    const drivers::host_settings_file& settings)
{
    if (!settings.mutual_tls_)
    {
        return drivers::tls_context();
    }
    return drivers::make_tls_context(
        {settings.tls_authority_,
         settings.tls_certificate_,
         settings.tls_key_});
}

} // namespace

/// All components of the process.
struct host_process::parts
{
    explicit parts(drivers::host_settings_file settings)
        : http_(io_), signals_(io_, SIGTERM, SIGINT)
    {
        identity_section& identity = board_.section<identity_section>();
        identity.host_ = settings.name_;
        identity.zone_ = settings.zone_;
        identity.incarnation_ = static_cast<std::uint64_t>(core::wall_ms());
        identity.settings_ = std::move(settings);
        board_.section<lifecycle_section>().started_at_ = core::steady_now();
        board_.section<membership_section>().members_ =
            std::make_shared<control::membership>(
                identity.host_,
                identity.zone_,
                identity.incarnation_,
                identity.incarnation_);
        board_.section<escrow_section>().shares_ =
            std::make_shared<policy::escrow>();
    }

    const drivers::host_settings_file& settings()
    {
        return board_.section<identity_section>().settings_;
    }

    core::result<core::done> open_control();
    void build();
    void open_ports();
    void start();
    awaitable<void> stop();
    void register_block_peers();

    asio::io_context io_{1};
    core::blackboard board_;
    drivers::metrics metrics_;
    call_dispatcher calls_;
    drivers::http_client http_;
    asio::signal_set signals_;
    drivers::tls_context tls_;
    int exit_status_ = 0;

    std::unique_ptr<drivers::peer_client> peers_;
    std::unique_ptr<context> with_;
    std::unique_ptr<replica> replica_;
    std::unique_ptr<control_client> control_client_;
    std::unique_ptr<membership_controller> membership_;
    std::unique_ptr<directory_controller> directory_;
    std::unique_ptr<fleet_controller> fleet_;
    std::unique_ptr<pool_controller> pools_;
    std::unique_ptr<pool_client> gateway_;
    std::unique_ptr<escrow_controller> escrow_;
    std::unique_ptr<crash_detector> crash_detector_;
    std::unique_ptr<platform_monitor> platform_monitor_;
    std::unique_ptr<order_controller> orders_;
    std::unique_ptr<entry_controller> entry_;
    std::unique_ptr<admin_api> admin_;
    std::unique_ptr<drivers::http_server> client_port_;
    std::unique_ptr<drivers::http_server> admin_port_;
    std::unique_ptr<drivers::peer_server> peer_port_;
};

core::result<core::done> host_process::parts::open_control()
{
    if (settings().data_folder_.empty())
    {
        return core::done();
    }
    replica_ = std::make_unique<replica>(*with_);
    return replica_->open();
}

void host_process::parts::build()
{
    control_client_ = std::make_unique<control_client>(*with_, replica_.get());
    membership_ =
        std::make_unique<membership_controller>(*with_, replica_.get());
    directory_ = std::make_unique<directory_controller>(*with_, replica_.get());
    if (replica_)
    {
        fleet_ = std::make_unique<fleet_controller>(
            *with_, *replica_, *control_client_);
    }
    pools_ = std::make_unique<pool_controller>(*with_);
    gateway_ = std::make_unique<pool_client>(*with_, *pools_);
    escrow_ = std::make_unique<escrow_controller>(*with_);
    crash_detector_ = std::make_unique<crash_detector>(*with_);
    platform_monitor_ = std::make_unique<platform_monitor>(
        *with_, replica_.get(), *control_client_);
    orders_ = std::make_unique<order_controller>(*with_, *control_client_);
    entry_ = std::make_unique<entry_controller>(
        *with_, *gateway_, *escrow_, *control_client_, *crash_detector_);
    admin_ = std::make_unique<admin_api>(*with_, *pools_, *escrow_, *entry_);
    membership_->on_newer_directory_ = [this](core::host_id host)
    {
        directory_->pull_directory(host);
    };
    membership_->on_host_gone_ = [this](const control::membership_update& gone)
    {
        pools_->host_gone(gone);
    };
}

void host_process::parts::open_ports()
{
    const drivers::client_settings& clients = settings().clients_;
    const drivers::process_limits shares =
        drivers::divide_limits(clients, true);
    const auto bodies = std::make_shared<drivers::byte_budget>(
        clients.memory_mb_ * bytes_per_mb / body_memory_divisor);
    const auto make_group =
        [&](const char* listener, const drivers::listener_limits& share)
    {
        return std::make_shared<drivers::connection_group>(
            listener, share, bodies, &metrics_);
    };
    drivers::http_limits limits;
    limits.framing_bytes_ = clients.framing_bytes_;
    limits.write_timeout_ = clients.write_timeout_;
    drivers::http_limits admin_limits = limits;
    admin_limits.counts_responses_ = true;
    limits.body_bytes_ = static_cast<std::size_t>(settings().body_bytes_);
    client_port_ = std::make_unique<drivers::http_server>(
        io_,
        settings().client_listen_,
        limits,
        [this](drivers::http_exchange& exchange)
        {
            return entry_->answer(exchange);
        },
        make_group("callers", shares.callers_));
    admin_port_ = std::make_unique<drivers::http_server>(
        io_,
        settings().admin_listen_,
        admin_limits,
        [this](drivers::http_exchange& exchange)
        {
            return admin_->answer(exchange);
        },
        make_group("admin", shares.service_));
    peer_port_ = std::make_unique<drivers::peer_server>(
        io_,
        settings().peer_listen_,
        tls_,
        [this](drivers::peer_identity from, std::string name, std::string body)
        {
            return calls_.answer(
                std::move(from), std::move(name), std::move(body));
        },
        make_group("peers", shares.peers_),
        clients.write_timeout_);
}

void host_process::parts::register_block_peers()
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
                peers_->set_blocked(address, request.cut_);
            }
            co_return empty_reply();
        });
}

void host_process::parts::start()
{
    register_block_peers();
    if (replica_)
    {
        replica_->start();
    }
    control_client_->start();
    membership_->start();
    directory_->start();
    if (fleet_)
    {
        fleet_->start();
    }
    escrow_->start();
    crash_detector_->start();
    pools_->start();
    platform_monitor_->start();
    orders_->start();
    entry_->start();
    admin_->start();
    peer_port_->start();
    client_port_->start();
    admin_port_->start();
}

/// Stops gracefully after a signal: reports not ready to the load balancer,
/// hands the pools over and waits for the running requests. A second signal
/// ends the wait.
awaitable<void> host_process::parts::stop()
{
    drivers::error_code failed;
    co_await signals_.async_wait(
        asio::redirect_error(asio::use_awaitable, failed));
    log_event(log_level::info, "draining", {{"active", entry_->active()}});
    bool second_signal = false;
    signals_.async_wait(
        [&second_signal](drivers::error_code cancelled, int)
        {
            second_signal = second_signal || !cancelled;
        });
    lifecycle_section& lifecycle = board_.section<lifecycle_section>();
    lifecycle.leaving_ = true;
    const core::time_point deadline =
        core::steady_now() + balancer_update_delay + settings().drain_limit_;
    entry_->stop_at(deadline - final_message_delay);
    board_.section<membership_section>().members_->start_draining();
    co_await pools_->hand_over_all();
    co_await drivers::sleep_for(balancer_update_delay);
    lifecycle.draining_ = true;
    client_port_->stop_accepting();
    while (entry_->active() > 0 && !second_signal &&
           core::steady_now() < deadline)
    {
        co_await drivers::sleep_for(drain_poll_interval);
    }
    if (entry_->active() > 0)
    {
        log_event(
            log_level::error, "requests_cut", {{"active", entry_->active()}});
        exit_status_ = exit_status_requests_cut;
    }
    co_await drivers::sleep_for(final_message_delay);
    log_event(log_level::info, "stopped", {});
    io_.stop();
}

host_process::host_process(drivers::host_settings_file settings)
    : parts_(std::make_unique<parts>(std::move(settings)))
{
}

host_process::~host_process() = default;

core::result<core::done> host_process::open()
{
    parts& process = *parts_;
    auto tls = make_tls(process.settings());
    if (!core::is_ok(tls))
    {
        return core::failure(tls);
    }
    process.tls_ = core::value(tls);
    process.peers_ =
        std::make_unique<drivers::peer_client>(process.io_, process.tls_);
    process.with_ = std::make_unique<context>(context{
        process.io_,
        process.board_,
        *process.peers_,
        process.http_,
        process.metrics_,
        process.calls_});
    const core::result<core::done> control = process.open_control();
    if (!core::is_ok(control))
    {
        return control;
    }
    process.build();
    try
    {
        process.open_ports();
    }
    catch (const std::exception& thrown)
    {
        return core::error{core::errc::invalid, thrown.what()};
    }
    return core::done();
}

int host_process::run()
{
    parts& process = *parts_;
    process.start();
    drivers::spawn(process.io_, process.stop());
    log_event(
        log_level::info,
        "started",
        {{"zone", process.settings().zone_},
         {"incarnation",
          process.board_.section<identity_section>().incarnation_},
         {"control", process.replica_ ? 1 : 0}});
    process.io_.run();
    return process.exit_status_;
}

} // namespace poplarroute::node
