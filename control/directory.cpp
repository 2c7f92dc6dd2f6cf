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

/// \return the name of a zone or host among those of both.
std::string key_of(bool is_zone, const std::string& name)
{
    return (is_zone ? "zone:" : "host:") + name;
}

/// In a fleet of up to this many hosts, every host holds a share of each limit.
constexpr std::size_t max_hosts_sharing_all_limits = 8;

/// Holders of a limit's shares in each availability zone of a larger fleet.
constexpr std::size_t max_holders_per_zone = 2;

/// \return a host's share of an account's limit in an epoch; 0 if it holds
/// none.
limit share_in_epoch(
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
    if (holders_.size() <= max_hosts_sharing_all_limits)
    {
        for (const auto& [host, zone] : holders_)
        {
            out.push_back(host);
        }
        return out;
    }
    std::
        map<core::zone_id, std::vector<std::pair<std::uint64_t, core::host_id>>>
            scored_hosts;
    for (const auto& [host, zone] : holders_)
    {
        std::string hash_input = account;
        hash_input += "|";
        hash_input += host;
        scored_hosts[zone].emplace_back(core::stable_hash(hash_input), host);
    }
    for (auto& [zone, hosts] : scored_hosts)
    {
        std::sort(hosts.rbegin(), hosts.rend());
        for (std::size_t index = 0;
             index < hosts.size() && index < max_holders_per_zone;
             ++index)
        {
            out.push_back(hosts[index].second);
        }
    }
    return out;
}

bool directory::is_zone_out_of_service(const core::zone_id& zone) const
{
    return zones_out_.count(zone) != 0;
}

bool directory::is_host_out_of_service(const core::host_id& host) const
{
    if (hosts_out_.count(host) != 0)
    {
        return true;
    }
    const auto found = settings_.hosts_.find(host);
    return found != settings_.hosts_.end() &&
           is_zone_out_of_service(found->second.zone_);
}

std::optional<core::account_id> directory::account_of(
    std::string_view presented_key) const
{
    core::api_key key;
    if (!core::parse_api_key(presented_key, key))
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
    limit smallest{
        std::numeric_limits<std::int64_t>::max(),
        std::numeric_limits<std::int64_t>::max()};
    for (const share_epoch& epoch : epochs_)
    {
        const limit share = share_in_epoch(epoch, host, account);
        smallest.rate_ = std::min(smallest.rate_, share.rate_);
        smallest.burst_ = std::min(smallest.burst_, share.burst_);
    }
    return smallest;
}

command_reply directory::apply(const command& request)
{
    return std::visit(
        [&](const auto& item)
        {
            return apply_change(item);
        },
        request);
}

bool directory::follow(const directory_change& change)
{
    if (change.version_ != version_ + 1)
    {
        return false;
    }
    const std::optional<command> request = decode_command(change.command_);
    if (!request)
    {
        return false;
    }
    const command_reply reply = apply(*request);
    core::check_invariant(
        reply.verdict_ == verdict::accepted && version_ == change.version_,
        "a change that the control group accepted must be accepted by each "
        "host");
    return true;
}

command_reply directory::advance_version(std::string message)
{
    ++version_;
    return {verdict::accepted, std::move(message), version_};
}

/// \return the refusal of a command that was decided before the last change of
/// a zone or host; nothing when it may be applied.
std::optional<command_reply> directory::find_conflict(
    const std::string& name, std::uint64_t base) const
{
    const auto found = changed_at_.find(name);
    if (base == 0 || found == changed_at_.end() || found->second <= base)
    {
        return std::nullopt;
    }
    return command_reply{
        verdict::conflict,
        "it has changed in version " + std::to_string(found->second) +
            ", after version " + std::to_string(base),
        version_};
}

void directory::start_share_epoch()
{
    share_epoch epoch;
    epoch.version_ = version_;
    for (const auto& [name, host] : settings_.hosts_)
    {
        if (retired_.count(name) == 0 && !is_host_out_of_service(name))
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

void directory::parse_configuration_text()
{
    core::finding_list findings;
    settings_ =
        parse_configuration("configuration", configuration_text_, findings);
}

command_reply directory::apply_change(const submit_configuration& request)
{
    if (request.base_ != configuration_version_)
    {
        return {
            verdict::conflict,
            "the configuration in force is version " +
                std::to_string(configuration_version_) + ", not " +
                std::to_string(request.base_),
            configuration_version_};
    }
    core::finding_list findings;
    configuration parsed =
        parse_configuration("configuration", request.text_, findings);
    if (!findings.empty())
    {
        return {verdict::invalid, findings.text(), version_};
    }
    const command_reply reply = advance_version("in force");
    core::check_invariant(
        version_ > configuration_version_,
        "the configuration's version must not decrease");
    configuration_version_ = version_;
    configuration_text_ = request.text_;
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
    start_share_epoch();
    return reply;
}

command_reply directory::apply_change(const issue_key& request)
{
    if (keys_.count(request.key_) != 0)
    {
        return {verdict::conflict, "this key id exists already", version_};
    }
    if (settings_.accounts_.count(request.account_) == 0)
    {
        return {verdict::invalid, "there is no such account", version_};
    }
    keys_[request.key_] = {
        request.account_, request.salt_, request.digest_, false};
    return advance_version("issued");
}

command_reply directory::apply_change(const withdraw_key& request)
{
    const auto found = keys_.find(request.key_);
    if (found == keys_.end())
    {
        return {verdict::invalid, "there is no such key", version_};
    }
    found->second.withdrawn_ = true;
    return advance_version("withdrawn");
}

command_reply directory::apply_change(const set_out_of_service& request)
{
    const bool known = request.zone_
                           ? settings_.zones_.count(request.name_) != 0
                           : settings_.hosts_.count(request.name_) != 0;
    if (!known)
    {
        return {
            verdict::invalid,
            "'" + request.name_ + "' does not exist",
            version_};
    }
    const std::string key = key_of(request.zone_, request.name_);
    if (const auto conflict = find_conflict(key, request.base_))
    {
        return *conflict;
    }
    std::set<std::string>& names = request.zone_ ? zones_out_ : hosts_out_;
    if (request.out_)
    {
        names.insert(request.name_);
    }
    else
    {
        names.erase(request.name_);
    }
    const command_reply reply = advance_version(request.out_ ? "out" : "in");
    changed_at_[key] = version_;
    start_share_epoch();
    return reply;
}

command_reply directory::apply_change(const retire_host& request)
{
    if (settings_.hosts_.count(request.host_) == 0)
    {
        return {verdict::invalid, "there is no such host", version_};
    }
    const std::string key = key_of(false, request.host_);
    if (const auto conflict = find_conflict(key, request.base_))
    {
        return *conflict;
    }
    retired_.insert(request.host_);
    const command_reply reply = advance_version("retired");
    changed_at_[key] = version_;
    start_share_epoch();
    return reply;
}

command_reply directory::apply_change(const readmit_host& request)
{
    if (retired_.count(request.host_) == 0)
    {
        return {verdict::invalid, "this host is not retired", version_};
    }
    const std::string key = key_of(false, request.host_);
    if (const auto conflict = find_conflict(key, request.base_))
    {
        return *conflict;
    }
    retired_.erase(request.host_);
    const command_reply reply = advance_version("readmitted");
    changed_at_[key] = version_;
    start_share_epoch();
    return reply;
}

command_reply directory::apply_change(const settle_shares& request)
{
    const bool pending =
        epochs_.size() > 1 && epochs_.back().version_ <= request.version_;
    if (!pending)
    {
        return {verdict::invalid, "no share waits for this", version_};
    }
    epochs_.erase(epochs_.begin(), epochs_.end() - 1);
    return advance_version("settled");
}

std::string directory::encode() const
{
    const nlohmann::json fields{
        version_,
        configuration_version_,
        configuration_text_,
        keys_,
        zones_out_,
        hosts_out_,
        retired_,
        epochs_,
        changed_at_};
    return core::compress(core::encode_cbor(fields));
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
        if (document->size() > 8)
        {
            document->at(8).get_to(out.changed_at_);
        }
        out.parse_configuration_text();
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::control
