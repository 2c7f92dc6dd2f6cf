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

/// What is kept of a key. A withdrawn id stays, so that it never works again.
struct key_record
{
    core::account_id account_;
    std::string salt_;
    std::string digest_;
    bool withdrawn_ = false;
};

/// An account's limits over the whole fleet.
struct limit
{
    std::int64_t rate_ = 0;
    std::int64_t burst_ = 0;

    friend bool operator==(const limit&, const limit&) = default;
};

/// Which hosts hold a share of which limits, from a version on.
///
/// Until every holder has confirmed the version, a host keeps to the least
/// share of all unsettled epochs, so that the sum never exceeds the whole.
struct share_epoch
{
    std::uint64_t version_ = 0;
    std::map<core::host_id, core::zone_id> holders_;
    std::map<core::account_id, limit> limits_;

    /// \return the hosts that hold a share of an account's limit: all of a
    /// small fleet, and a few in each availability zone of a large one, so
    /// that a share stays large enough for a request.
    std::vector<core::host_id> holders_of(
        const core::account_id& account) const;
};

/// One accepted change, as it is spread to hosts without a disk.
struct directory_change
{
    std::uint64_t version_ = 0;
    std::string command_; ///< An encoded command.
};

/// What every host knows of the fleet: configuration, keys, what is out, and
/// shares. It changes only by accepted commands, each a version of its own.
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

    const configuration& settings() const
    {
        return settings_;
    }

    const std::map<std::string, key_record>& keys() const
    {
        return keys_;
    }

    const std::set<core::zone_id>& zones_out() const
    {
        return zones_out_;
    }

    const std::set<core::host_id>& hosts_out() const
    {
        return hosts_out_;
    }

    const std::set<core::host_id>& retired() const
    {
        return retired_;
    }

    const std::vector<share_epoch>& epochs() const
    {
        return epochs_;
    }

    bool zone_is_out(const core::zone_id& zone) const;
    bool host_is_out(const core::host_id& host) const;

    /// \return the account a shown key opens, or nothing.
    std::optional<core::account_id> account_of(std::string_view shown) const;

    /// \return the part of an account's limit that a host may use on its own.
    limit share_of(
        const core::host_id& host, const core::account_id& account) const;

    /// Applies a command that may change the directory.
    /// \return what became of it; on accepted the version went up by one.
    command_reply apply(const command& order);

    /// Applies a change accepted elsewhere.
    /// \return false when it is not the next one; nothing changed then.
    bool follow(const directory_change& change);

    /// The whole directory as bytes, and back.
    std::string encode() const;
    static std::optional<directory> decode(std::string_view bytes);

private:
    command_reply on(const submit_configuration& order);
    command_reply on(const issue_key& order);
    command_reply on(const withdraw_key& order);
    command_reply on(const set_out& order);
    command_reply on(const retire_host& order);
    command_reply on(const readmit_host& order);
    command_reply on(const settle_shares& order);

    template <class Other>
    command_reply on(const Other&)
    {
        return {verdict::invalid, "not a change of the directory", version_};
    }

    command_reply accept(std::string message);
    void open_epoch();
    void parse_settings();

    std::uint64_t version_ = 0;
    std::uint64_t configuration_version_ = 0;
    std::string configuration_text_;
    configuration settings_;
    std::map<std::string, key_record> keys_;
    std::set<core::zone_id> zones_out_;
    std::set<core::host_id> hosts_out_;
    std::set<core::host_id> retired_;
    std::vector<share_epoch> epochs_;
};

} // namespace poplarroute::control
