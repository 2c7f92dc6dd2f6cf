#include "node/membership_controller.hpp"

#include <algorithm>

#include "drivers/log.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration probe_interval{500};
constexpr core::duration probe_timeout{450};
constexpr std::int64_t unknown_age_ms = 1'000'000'000;

} // namespace

membership_controller::membership_controller(
    context& with, replica* local_replica)
    : with_(with), local_replica_(local_replica)
{
}

void membership_controller::start()
{
    update_hosts();
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            update_hosts();
        });
    with_.calls_.add_typed<control::probe, control::probe>(
        method::probe,
        allowed_callers::host,
        [this](drivers::peer_identity, control::probe received)
            -> awaitable<core::result<control::probe>>
        {
            handle_probe(received);
            co_return make_probe(received.sender_.host_);
        });
    drivers::spawn_loop(
        with_.io_,
        "membership_controller",
        [this]()
        {
            return run();
        });
}

void membership_controller::update_hosts()
{
    std::map<core::host_id, control::peer_record> hosts;
    for (const drivers::seed_settings& seed : with_.identity().settings_.seeds_)
    {
        hosts[seed.host_] = {seed.host_, "", seed.peer_};
    }
    for (const auto& [name, host] : with_.directory().fleet_.settings().hosts_)
    {
        hosts[name] = {name, host.zone_, host.peer_};
    }
    std::vector<control::peer_record> list;
    list.reserve(hosts.size());
    for (const auto& [name, record] : hosts)
    {
        list.push_back(record);
    }
    with_.membership().members_->set_hosts(list, core::steady_now());
}

control::probe membership_controller::make_probe(const core::host_id& to)
{
    const directory_section& section = with_.directory();
    const core::time_point now = core::steady_now();
    const std::int64_t age = section.current_as_of_.ms_ == 0
                                 ? unknown_age_ms
                                 : (now - section.current_as_of_).ms_;
    return with_.membership().members_->make_probe(
        to, section.fleet_.version(), age, with_.membership().leader_);
}

void membership_controller::handle_probe(const control::probe& received)
{
    directory_section& section = with_.directory();
    const core::time_point now = core::steady_now();
    with_.membership().members_->heard(received, now);
    if (!received.leader_.empty() && local_replica_ == nullptr)
    {
        with_.membership().leader_ = received.leader_;
    }
    if (received.version_ > section.fleet_.version())
    {
        on_newer_directory_(received.sender_.host_);
    }
    const bool confirms_version =
        received.version_ == section.fleet_.version() &&
        received.control_age_ms_ < unknown_age_ms;
    const core::time_point current_as_of =
        now - core::duration{received.control_age_ms_};
    if (confirms_version && current_as_of > section.current_as_of_)
    {
        section.current_as_of_ = current_as_of;
        section.confirmed_ = section.confirmed_ ||
                             current_as_of >= with_.lifecycle().started_at_;
    }
    report_gone_hosts();
}

void membership_controller::report_gone_hosts()
{
    for (const control::membership_update& gone_host :
         with_.membership().members_->take_dead_hosts())
    {
        drivers::log_event(
            drivers::log_level::warning,
            "host_gone",
            {{"peer", gone_host.host_},
             {"incarnation", gone_host.incarnation_}});
        on_host_gone_(gone_host);
    }
}

awaitable<void> membership_controller::send_probe(core::host_id host)
{
    const auto address = with_.address_of(host);
    if (!address)
    {
        co_return;
    }
    const control::probe request = make_probe(host);
    const auto reply = co_await ask<control::probe>(
        with_.peers_, *address, method::probe, request, probe_timeout);
    if (core::is_ok(reply))
    {
        handle_probe(core::value(reply));
    }
    else
    {
        with_.membership().members_->no_answer(host, core::steady_now());
    }
}

awaitable<void> membership_controller::run()
{
    for (;;)
    {
        const core::time_point now = core::steady_now();
        if (local_replica_ != nullptr)
        {
            directory_section& section = with_.directory();
            const auto current_as_of = local_replica_->current_as_of();
            const bool same_version =
                local_replica_->state().fleet().version() ==
                section.fleet_.version();
            if (current_as_of && same_version)
            {
                section.current_as_of_ =
                    std::max(section.current_as_of_, *current_as_of);
                section.confirmed_ =
                    section.confirmed_ ||
                    *current_as_of >= with_.lifecycle().started_at_;
            }
            with_.membership().leader_ = local_replica_->leader();
        }
        for (const core::host_id& host :
             with_.membership().members_->probe_targets())
        {
            drivers::spawn_task(with_.io_, "send_probe", send_probe(host));
        }
        with_.membership().members_->tick(now);
        report_gone_hosts();
        co_await drivers::sleep_for(probe_interval);
    }
}

} // namespace poplarroute::node
