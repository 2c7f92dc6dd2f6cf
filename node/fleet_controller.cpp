#include "node/fleet_controller.hpp"

#include <algorithm>
#include <set>

#include "drivers/log.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;

namespace
{

constexpr core::duration duties_every{300};
constexpr core::duration command_patience{3'000};
constexpr const char* own_name = "control";

} // namespace

fleet_controller::fleet_controller(
    context& with, replica& own, control_link& link)
    : with_(with), own_(own), link_(link)
{
}

void fleet_controller::start()
{
    with_.calls_.add_typed<confirm_request, confirm_reply>(
        method::confirm,
        caller_kind::host,
        [this](drivers::peer_identity, confirm_request request)
            -> awaitable<core::result<confirm_reply>>
        {
            return confirmed(request);
        });
    with_.calls_.add(
        method::read,
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, std::string what)
            -> awaitable<core::result<std::string>>
        {
            return read(std::move(what));
        });
    drivers::spawn(with_.io_, run());
}

awaitable<core::result<confirm_reply>> fleet_controller::confirmed(
    confirm_request request)
{
    if (!own_.leads())
    {
        co_return error{errc::not_leader, own_.leader()};
    }
    confirmation& known = confirmed_[request.host_];
    if (request.incarnation_ >= known.incarnation_)
    {
        known = {request.incarnation_, request.version_};
    }
    confirm_reply reply;
    reply.term_ = own_.member()->term();
    reply.retired_ =
        own_.state().fleet().retired_hosts().count(request.host_) != 0;
    if (reply.retired_)
    {
        drivers::spawn(with_.io_, readmit(request.host_));
    }
    co_return reply;
}

awaitable<void> fleet_controller::readmit(core::host_id host)
{
    const control::readmit_host order{new_origin(own_name), host};
    co_await link_.submit(order, command_patience);
    drivers::log_event(
        drivers::log_level::info, "host_readmitted", {{"peer", host}});
}

std::vector<core::host_id> fleet_controller::unconfirmed(
    std::uint64_t version) const
{
    const control::directory& fleet = own_.state().fleet();
    std::set<core::host_id> expected;
    for (const control::share_epoch& epoch : fleet.epochs())
    {
        for (const auto& [host, zone] : epoch.holders_)
        {
            expected.insert(host);
        }
    }
    for (const auto& [host, settings] : fleet.settings().hosts_)
    {
        expected.insert(host);
    }
    std::vector<core::host_id> out;
    for (const core::host_id& host : expected)
    {
        const auto found = confirmed_.find(host);
        const bool known =
            found != confirmed_.end() && found->second.version_ >= version;
        // Evidence says that a retired host's process no longer serves.
        if (!known && fleet.retired_hosts().count(host) == 0)
        {
            out.push_back(host);
        }
    }
    return out;
}

awaitable<void> fleet_controller::settle()
{
    const auto& epochs = own_.state().fleet().epochs();
    if (epochs.size() < 2)
    {
        co_return;
    }
    const std::uint64_t version = epochs.back().version_;
    if (!unconfirmed(version).empty())
    {
        co_return;
    }
    const control::settle_shares order{new_origin(own_name), version};
    const auto reply = co_await link_.submit(order, command_patience);
    if (core::is_ok(reply))
    {
        drivers::log_event(
            drivers::log_level::info, "shares_settled", {{"version", version}});
    }
}

awaitable<void> fleet_controller::run()
{
    for (;;)
    {
        co_await drivers::sleep_for(duties_every);
        with_.metrics_.set(
            "poplarroute_control_role", {}, own_.leads() ? 1 : 0);
        if (!own_.leads())
        {
            confirmed_.clear();
            continue;
        }
        co_await settle();
    }
}

nlohmann::json fleet_controller::status() const
{
    const control::directory& fleet = own_.state().fleet();
    nlohmann::json out;
    out["leader"] = own_.leader();
    out["term"] = own_.member()->term();
    out["version"] = fleet.version();
    out["configuration"] = fleet.configuration_version();
    out["zones_out"] = fleet.out_of_service_zones();
    out["hosts_out"] = fleet.out_of_service_hosts();
    out["retired"] = fleet.retired_hosts();
    out["unconfirmed"] = unconfirmed(fleet.version());
    out["shares_settled"] = fleet.epochs().size() < 2;
    out["claims"] = own_.state().claims().all().size();
    out["members"] = nlohmann::json::array();
    for (const control::member& item : own_.member()->log().group().members_)
    {
        out["members"].push_back(
            {{"host", item.host_},
             {"store", item.store_},
             {"voter", item.voter_},
             {"caught_up",
              own_.member()->is_caught_up(item.host_) ||
                  item.host_ == own_.leader()}});
    }
    return out;
}

nlohmann::json fleet_controller::keys() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [id, record] : own_.state().fleet().keys())
    {
        out.push_back(
            {{"key", id},
             {"account", record.account_},
             {"withdrawn", record.withdrawn_}});
    }
    return out;
}

nlohmann::json fleet_controller::history() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const control::history_entry& item : own_.state().history())
    {
        out.push_back(
            {{"version", item.version_},
             {"operator", item.operator_},
             {"wall_ms", item.wall_ms_},
             {"text", item.text_}});
    }
    return out;
}

awaitable<core::result<std::string>> fleet_controller::read(std::string what)
{
    const auto current = co_await own_.read_barrier();
    if (!core::is_ok(current))
    {
        co_return core::failure(current);
    }
    const control::directory& fleet = own_.state().fleet();
    if (what == "status")
    {
        co_return status().dump();
    }
    if (what == "keys")
    {
        co_return keys().dump();
    }
    if (what == "history")
    {
        co_return history().dump();
    }
    if (what == "configuration")
    {
        co_return nlohmann::json{
            {"version", fleet.configuration_version()},
            {"text", fleet.configuration_text()}}
            .dump();
    }
    co_return error{errc::not_found, "nothing to read: " + what};
}

} // namespace poplarroute::node
