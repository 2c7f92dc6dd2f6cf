#include "control/directory.hpp"

#include <algorithm>
#include <limits>

#include "core/codec.hpp"
#include "core/compress.hpp"
#include "core/digest.hpp"
#include "core/invariant.hpp"

namespace poplarroute::control
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    key_record, account_, salt_, digest_, withdrawn_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(limit, rate_, burst_)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(share_epoch, version_, holders_, limits_)

namespace
{

/// A fleet of up to so many hosts shares each limit among all of them.
constexpr std::size_t small_fleet = 8;

constexpr std::size_t holders_per_zone = 2;

limit share_in(
    const share_epoch& epoch,
    const core::host_id& host,
    const core::account_id& account)
{
    const auto found = epoch.limits_.find(account);
    if (found == epoch.limits_.end() || epoch.holders_.count(host) == 0)
    {
        return {};
    }
    const std::vector<core::host_id> holders = epoch.holders_of(account);
    if (std::find(holders.begin(), holders.end(), host) == holders.end())
    {
        return {};
    }
    const auto count = static_cast<std::int64_t>(holders.size());
    return {found->second.rate_ / count, found->second.burst_ / count};
}

} // namespace

std::vector<core::host_id> share_epoch::holders_of(
    const core::account_id& account) const
{
    std::vector<core::host_id> out;
    if (holders_.size() <= small_fleet)
    {
        for (const auto& [host, zone] : holders_)
        {
            out.push_back(host);
        }
        return out;
    }
    std::
        map<core::zone_id, std::vector<std::pair<std::uint64_t, core::host_id>>>
            scored;
    for (const auto& [host, zone] : holders_)
    {
        std::string salted = account;
        salted += "|";
        salted += host;
        scored[zone].emplace_back(core::stable_hash(salted), host);
    }
    for (auto& [zone, hosts] : scored)
    {
        std::sort(hosts.rbegin(), hosts.rend());
        for (std::size_t at = 0; at < hosts.size() && at < holders_per_zone;
             ++at)
        {
            out.push_back(hosts[at].second);
        }
    }
    return out;
}

bool directory::zone_is_out(const core::zone_id& zone) const
{
    return zones_out_.count(zone) != 0;
}

bool directory::host_is_out(const core::host_id& host) const
{
    if (hosts_out_.count(host) != 0)
    {
        return true;
    }
    const auto found = settings_.hosts_.find(host);
    return found != settings_.hosts_.end() && zone_is_out(found->second.zone_);
}

std::optional<core::account_id> directory::account_of(
    std::string_view shown) const
{
    core::api_key key;
    if (!core::parse_api_key(shown, key))
    {
        return std::nullopt;
    }
    const auto found = keys_.find(key.id_);
    if (found == keys_.end() || found->second.withdrawn_)
    {
        return std::nullopt;
    }
    const std::string digest =
        core::key_digest(found->second.salt_, key.secret_);
    if (!core::constant_time_equal(digest, found->second.digest_) ||
        settings_.accounts_.count(found->second.account_) == 0)
    {
        return std::nullopt;
    }
    return found->second.account_;
}

limit directory::share_of(
    const core::host_id& host, const core::account_id& account) const
{
    if (epochs_.empty())
    {
        return {};
    }
    limit least{
        std::numeric_limits<std::int64_t>::max(),
        std::numeric_limits<std::int64_t>::max()};
    for (const share_epoch& epoch : epochs_)
    {
        const limit share = share_in(epoch, host, account);
        least.rate_ = std::min(least.rate_, share.rate_);
        least.burst_ = std::min(least.burst_, share.burst_);
    }
    return least;
}

command_reply directory::apply(const command& order)
{
    return std::visit(
        [&](const auto& typed)
        {
            return on(typed);
        },
        order);
}

bool directory::follow(const directory_change& change)
{
    if (change.version_ != version_ + 1)
    {
        return false;
    }
    const std::optional<command> order = decode_command(change.command_);
    if (!order)
    {
        return false;
    }
    const command_reply reply = apply(*order);
    core::check_invariant(
        reply.verdict_ == verdict::accepted && version_ == change.version_,
        "a change accepted by the group is accepted everywhere");
    return true;
}

command_reply directory::accept(std::string message)
{
    ++version_;
    return {verdict::accepted, std::move(message), version_};
}

void directory::open_epoch()
{
    share_epoch epoch;
    epoch.version_ = version_;
    for (const auto& [name, host] : settings_.hosts_)
    {
        if (retired_.count(name) == 0 && !host_is_out(name))
        {
            epoch.holders_[name] = host.zone_;
        }
    }
    for (const auto& [name, account] : settings_.accounts_)
    {
        epoch.limits_[name] = {account.rate_, account.burst_};
    }
    const bool same = !epochs_.empty() &&
                      epochs_.back().holders_ == epoch.holders_ &&
                      epochs_.back().limits_ == epoch.limits_;
    if (!same)
    {
        epochs_.push_back(std::move(epoch));
    }
}

void directory::parse_settings()
{
    core::finding_list findings;
    settings_ =
        parse_configuration("configuration", configuration_text_, findings);
}

command_reply directory::on(const submit_configuration& order)
{
    if (order.base_ != configuration_version_)
    {
        return {
            verdict::conflict,
            "the configuration in force is version " +
                std::to_string(configuration_version_) + ", not " +
                std::to_string(order.base_),
            configuration_version_};
    }
    core::finding_list findings;
    configuration parsed =
        parse_configuration("configuration", order.text_, findings);
    if (!findings.empty())
    {
        return {verdict::invalid, findings.text(), version_};
    }
    const command_reply reply = accept("in force");
    core::check_invariant(
        version_ > configuration_version_, "a configuration never reverts");
    configuration_version_ = version_;
    configuration_text_ = order.text_;
    settings_ = std::move(parsed);
    std::erase_if(
        zones_out_,
        [&](const core::zone_id& zone)
        {
            return settings_.zones_.count(zone) == 0;
        });
    std::erase_if(
        hosts_out_,
        [&](const core::host_id& host)
        {
            return settings_.hosts_.count(host) == 0;
        });
    open_epoch();
    return reply;
}

command_reply directory::on(const issue_key& order)
{
    if (keys_.count(order.key_) != 0)
    {
        return {verdict::conflict, "this key id exists already", version_};
    }
    if (settings_.accounts_.count(order.account_) == 0)
    {
        return {verdict::invalid, "there is no such account", version_};
    }
    keys_[order.key_] = {order.account_, order.salt_, order.digest_, false};
    return accept("issued");
}

command_reply directory::on(const withdraw_key& order)
{
    const auto found = keys_.find(order.key_);
    if (found == keys_.end())
    {
        return {verdict::invalid, "there is no such key", version_};
    }
    found->second.withdrawn_ = true;
    return accept("withdrawn");
}

command_reply directory::on(const set_out& order)
{
    const bool known = order.zone_ ? settings_.zones_.count(order.name_) != 0
                                   : settings_.hosts_.count(order.name_) != 0;
    if (!known)
    {
        return {
            verdict::invalid, "'" + order.name_ + "' does not exist", version_};
    }
    std::set<std::string>& names = order.zone_ ? zones_out_ : hosts_out_;
    if (order.out_)
    {
        names.insert(order.name_);
    }
    else
    {
        names.erase(order.name_);
    }
    const command_reply reply = accept(order.out_ ? "out" : "in");
    open_epoch();
    return reply;
}

command_reply directory::on(const retire_host& order)
{
    if (settings_.hosts_.count(order.host_) == 0)
    {
        return {verdict::invalid, "there is no such host", version_};
    }
    retired_.insert(order.host_);
    const command_reply reply = accept("retired");
    open_epoch();
    return reply;
}

command_reply directory::on(const readmit_host& order)
{
    if (retired_.erase(order.host_) == 0)
    {
        return {verdict::invalid, "this host is not retired", version_};
    }
    const command_reply reply = accept("readmitted");
    open_epoch();
    return reply;
}

command_reply directory::on(const settle_shares& order)
{
    const bool pending =
        epochs_.size() > 1 && epochs_.back().version_ <= order.version_;
    if (!pending)
    {
        return {verdict::invalid, "no share waits for this", version_};
    }
    epochs_.erase(epochs_.begin(), epochs_.end() - 1);
    return accept("settled");
}

std::string directory::encode() const
{
    const nlohmann::json whole{
        version_,
        configuration_version_,
        configuration_text_,
        keys_,
        zones_out_,
        hosts_out_,
        retired_,
        epochs_};
    return core::compress(core::encode_cbor(whole));
}

std::optional<directory> directory::decode(std::string_view bytes)
{
    const auto plain = core::decompress(bytes);
    const auto document = plain ? core::parse_cbor(*plain) : std::nullopt;
    if (!document)
    {
        return std::nullopt;
    }
    try
    {
        directory out;
        document->at(0).get_to(out.version_);
        document->at(1).get_to(out.configuration_version_);
        document->at(2).get_to(out.configuration_text_);
        document->at(3).get_to(out.keys_);
        document->at(4).get_to(out.zones_out_);
        document->at(5).get_to(out.hosts_out_);
        document->at(6).get_to(out.retired_);
        document->at(7).get_to(out.epochs_);
        out.parse_settings();
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
