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

constexpr core::duration settle_interval{300};
constexpr core::duration command_timeout{3'000};
constexpr const char* origin_name = "control";

} // namespace

fleet_controller::fleet_controller(
    context& with, replica& local_replica, control_client& client)
    : with_(with), local_replica_(local_replica), control_client_(client)
{
}

void fleet_controller::start()
{
    with_.calls_.add_typed<confirm_version_request, confirm_version_reply>(
        method::confirm,
        allowed_callers::host,
        [this](drivers::peer_identity, confirm_version_request request)
            -> awaitable<core::result<confirm_version_reply>>
        {
            return record_confirmation(request);
        });
    with_.calls_.add(
        method::read,
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, std::string what)
            -> awaitable<core::result<std::string>>
        {
            return read(std::move(what));
        });
    drivers::spawn_loop(
        with_.io_,
        "fleet_controller",
        [this]()
        {
            return run();
        });
}

awaitable<core::result<confirm_version_reply>>
fleet_controller::record_confirmation(confirm_version_request request)
{
    if (!local_replica_.leads())
    {
        co_return error{errc::not_leader, local_replica_.leader()};
    }
    confirmation& latest = confirmations_[request.host_];
    if (request.incarnation_ >= latest.incarnation_)
    {
        latest = {request.incarnation_, request.version_};
    }
    confirm_version_reply reply;
    reply.term_ = local_replica_.member()->term();
    reply.retired_ = local_replica_.state().fleet().retired_hosts().count(
                         request.host_) != 0;
    if (reply.retired_)
    {
        drivers::spawn_task(with_.io_, "readmit", readmit(request.host_));
    }
    co_return reply;
}

awaitable<void> fleet_controller::readmit(core::host_id host)
{
    const control::readmit_host command{
        make_command_origin(origin_name),
        host,
        local_replica_.state().fleet().version()};
    co_await control_client_.submit(command, command_timeout);
    drivers::log_event(
        drivers::log_level::info, "host_readmitted", {{"peer", host}});
}

std::vector<core::host_id> fleet_controller::unconfirmed_hosts(
    std::uint64_t version) const
{
    const control::directory& fleet = local_replica_.state().fleet();
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
        const auto found = confirmations_.find(host);
        const bool has_confirmed =
            found != confirmations_.end() && found->second.version_ >= version;
        // A retired host need not confirm: there is evidence that its process
        // no longer serves.
        if (!has_confirmed && fleet.retired_hosts().count(host) == 0)
        {
            out.push_back(host);
        }
    }
    return out;
}

awaitable<void> fleet_controller::settle_shares_if_confirmed()
{
    const auto& epochs = local_replica_.state().fleet().epochs();
    if (epochs.size() < 2)
    {
        co_return;
    }
    const std::uint64_t version = epochs.back().version_;
    if (!unconfirmed_hosts(version).empty())
    {
        co_return;
    }
    const control::settle_shares command{
        make_command_origin(origin_name), version};
    const auto reply =
        co_await control_client_.submit(command, command_timeout);
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
        co_await drivers::sleep_for(settle_interval);
        with_.metrics_.set(
            "poplarroute_control_role", {}, local_replica_.leads() ? 1 : 0);
        if (!local_replica_.leads())
        {
            confirmations_.clear();
            continue;
        }
        co_await settle_shares_if_confirmed();
    }
}

nlohmann::json fleet_controller::status() const
{
    const control::directory& fleet = local_replica_.state().fleet();
    nlohmann::json out;
    out["leader"] = local_replica_.leader();
    out["term"] = local_replica_.member()->term();
    out["version"] = fleet.version();
    out["configuration"] = fleet.configuration_version();
    out["zones_out"] = fleet.out_of_service_zones();
    out["hosts_out"] = fleet.out_of_service_hosts();
    out["retired"] = fleet.retired_hosts();
    out["unconfirmed"] = unconfirmed_hosts(fleet.version());
    out["shares_settled"] = fleet.epochs().size() < 2;
    out["claims"] = local_replica_.state().claims().all().size();
    out["members"] = nlohmann::json::array();
    for (const control::member& item :
         local_replica_.member()->log().group().members_)
    {
        out["members"].push_back(
            {{"host", item.host_},
             {"store", item.store_},
             {"voter", item.voter_},
             {"caught_up",
              local_replica_.member()->is_caught_up(item.host_) ||
                  item.host_ == local_replica_.leader()}});
    }
    return out;
}

nlohmann::json fleet_controller::keys() const
{
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [id, record] : local_replica_.state().fleet().keys())
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
    for (const control::history_entry& item : local_replica_.state().history())
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
    const auto current = co_await local_replica_.read_barrier();
    if (!core::is_ok(current))
    {
        co_return core::failure(current);
    }
    const control::directory& fleet = local_replica_.state().fleet();
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
