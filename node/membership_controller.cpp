#include "node/membership_controller.hpp"

#include <algorithm>

#include "drivers/log.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration probe_every{500};
constexpr core::duration probe_deadline{450};
constexpr std::int64_t unknown_age_ms = 1'000'000'000;

} // namespace

membership_controller::membership_controller(context& with, replica* own)
    : with_(with), own_(own)
{
}

void membership_controller::start()
{
    take_hosts();
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            take_hosts();
        });
    with_.calls_.add_typed<control::probe, control::probe>(
        method::probe,
        caller_kind::host,
        [this](drivers::peer_identity, control::probe from)
            -> awaitable<core::result<control::probe>>
        {
            heard(from);
            co_return make_probe(from.sender_.host_);
        });
    drivers::spawn(with_.io_, run());
}

void membership_controller::take_hosts()
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
    const std::int64_t age = section.current_at_.ms_ == 0
                                 ? unknown_age_ms
                                 : (now - section.current_at_).ms_;
    return with_.membership().members_->make_probe(
        to, section.fleet_.version(), age, with_.membership().leader_);
}

void membership_controller::heard(const control::probe& from)
{
    directory_section& section = with_.directory();
    const core::time_point now = core::steady_now();
    with_.membership().members_->heard(from, now);
    if (!from.leader_.empty() && own_ == nullptr)
    {
        with_.membership().leader_ = from.leader_;
    }
    if (from.version_ > section.fleet_.version())
    {
        on_newer_(from.sender_.host_);
    }
    const bool tells = from.version_ == section.fleet_.version() &&
                       from.control_age_ms_ < unknown_age_ms;
    const core::time_point at = now - core::duration{from.control_age_ms_};
    if (tells && at > section.current_at_)
    {
        section.current_at_ = at;
        section.confirmed_ =
            section.confirmed_ || at >= with_.lifecycle().started_at_;
    }
    report_deaths();
}

void membership_controller::report_deaths()
{
    for (const control::membership_update& gone :
         with_.membership().members_->take_dead_hosts())
    {
        drivers::log_event(
            drivers::log_level::warning,
            "host_gone",
            {{"peer", gone.host_}, {"incarnation", gone.incarnation_}});
        on_death_(gone);
    }
}

awaitable<void> membership_controller::probe_one(core::host_id host)
{
    const auto address = with_.address_of(host);
    if (!address)
    {
        co_return;
    }
    const control::probe question = make_probe(host);
    const auto reply = co_await ask<control::probe>(
        with_.peers_, *address, method::probe, question, probe_deadline);
    if (core::is_ok(reply))
    {
        heard(core::value(reply));
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
        if (own_ != nullptr)
        {
            directory_section& section = with_.directory();
            const auto at = own_->current_at();
            const bool same =
                own_->state().fleet().version() == section.fleet_.version();
            if (at && same)
            {
                section.current_at_ = std::max(section.current_at_, *at);
                section.confirmed_ =
                    section.confirmed_ || *at >= with_.lifecycle().started_at_;
            }
            with_.membership().leader_ = own_->leader();
        }
        for (const core::host_id& host :
             with_.membership().members_->probe_targets())
        {
            drivers::spawn(with_.io_, probe_one(host));
        }
        with_.membership().members_->tick(now);
        report_deaths();
        co_await drivers::sleep_for(probe_every);
    }
}

} // namespace poplarroute::node
