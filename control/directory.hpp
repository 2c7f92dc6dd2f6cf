#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/commands.hpp"
#include "control/configuration.hpp"

namespace poplarroute::control
{

/// Record of a client account's key. A withdrawn key keeps its record, so that
/// its id can be neither used nor issued again.
struct key_record
{
    core::account_id account_;
    std::string salt_;
    std::string digest_;
    bool withdrawn_ = false;
};

/// An account's rate limit across all hosts, or a host's share of it.
struct limit
{
    std::int64_t rate_ = 0;  ///< Tokens per second.
    std::int64_t burst_ = 0; ///< Most tokens at once.

    friend bool operator==(const limit&, const limit&) = default;
};

/// Division of the accounts' limits among hosts, valid from a version of the
/// directory on.
///
/// Until every holder has confirmed the version, a host uses its smallest share
/// in any unsettled epoch, so that the shares in use never add up to more than
/// the limit.
struct share_epoch
{
    std::uint64_t version_ = 0;
    std::map<core::host_id, core::zone_id> holders_; ///< And zones.
    std::map<core::account_id, limit> limits_;

    /// \return the hosts that hold a share of an account's limit: all hosts of
    /// a small fleet, or a few hosts in each availability zone of a large one,
    /// so that a share stays large enough for a request.
    std::vector<core::host_id> holders_of(
        const core::account_id& account) const;
};

/// Accepted change of the directory, as it is replicated to the hosts that do
/// not store the log.
struct directory_change
{
    std::uint64_t version_ = 0; ///< Version that the change leads to.
    std::string command_;       ///< An encoded command.
};

/// State of the fleet that every host holds: configuration, keys, zones and
/// hosts out of service, retired hosts and shares of limits. It changes only by
/// accepted commands, each of which increments the version.
class directory
{
public:
    std::uint64_t version() const
    {
        return version_;
    }

    /// \return the version at which the configuration was last replaced.
    std::uint64_t configuration_version() const
    {
        return configuration_version_;
    }

    const std::string& configuration_text() const
    {
        return configuration_text_;
    }

    /// \return the configuration in force.
    const configuration& settings() const
    {
        return settings_;
    }

    /// \return the keys' records by key id.
    const std::map<std::string, key_record>& keys() const
    {
        return keys_;
    }

    const std::set<core::zone_id>& out_of_service_zones() const
    {
        return zones_out_;
    }

    const std::set<core::host_id>& out_of_service_hosts() const
    {
        return hosts_out_;
    }

    /// \return the hosts whose process provably no longer serves.
    const std::set<core::host_id>& retired_hosts() const
    {
        return retired_;
    }

    /// \return the share epochs that are not yet superseded, oldest first.
    const std::vector<share_epoch>& epochs() const
    {
        return epochs_;
    }

    bool is_zone_out_of_service(const core::zone_id& zone) const;

    /// \return whether the host or its availability zone is out of service.
    bool is_host_out_of_service(const core::host_id& host) const;

    /// \return the account that a caller's key belongs to, or nothing when the
    /// key is not valid.
    std::optional<core::account_id> account_of(
        std::string_view presented_key) const;

    /// \return the share of an account's limit that a host may use.
    limit share_of(
        const core::host_id& host, const core::account_id& account) const;

    /// Applies a command that may change the directory.
    /// \return the result; if it is accepted, the version has increased by one.
    command_reply apply(const command& request);

    /// Applies a change that the control group accepted.
    /// \return whether it was the next change; if not, nothing is changed.
    bool follow(const directory_change& change);

    /// \return the whole directory as bytes.
    std::string encode() const;

    /// \return the directory that encode() wrote, or nothing when the bytes are
    /// damaged.
    static std::optional<directory> decode(std::string_view bytes);

private:
    command_reply apply_change(const submit_configuration& request);
    command_reply apply_change(const issue_key& request);
    command_reply apply_change(const withdraw_key& request);
    command_reply apply_change(const set_out_of_service& request);
    command_reply apply_change(const retire_host& request);
    command_reply apply_change(const readmit_host& request);
    command_reply apply_change(const settle_shares& request);

    template <class Other>
    command_reply apply_change(const Other&)
    {
        return {verdict::invalid, "not a change of the directory", version_};
    }

    command_reply advance_version(std::string message);
    std::optional<command_reply> find_conflict(
        const std::string& name, std::uint64_t base) const;
    void start_share_epoch();
    void parse_configuration_text();

    std::uint64_t version_ = 0;
    std::uint64_t configuration_version_ = 0;
    std::string configuration_text_;
    configuration settings_;
    std::map<std::string, key_record> keys_;
    std::set<core::zone_id> zones_out_;
    std::set<core::host_id> hosts_out_;
    std::set<core::host_id> retired_;
    std::vector<share_epoch> epochs_;

    /// Versions at which a zone or a host was last taken out of service, put
    /// back, retired or readmitted.
    std::map<std::string, std::uint64_t> changed_at_;
};

} // namespace poplarroute::control
