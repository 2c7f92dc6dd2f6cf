#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/finding.hpp"
#include "main/ctl/fleet_client.hpp"

namespace poplarroute::main::ctl
{

/// Exit statuses of poplarctl.
enum exit_status : int
{
    exit_done = 0,
    exit_refused = 1,     ///< The fleet said no: a conflict, or invalid.
    exit_usage = 2,       ///< Wrong arguments, or findings in a file.
    exit_unreachable = 3, ///< No host answered; the outcome may be unknown.
};

/// What every verb works with.
struct session
{
    link& link_;
    std::string operator_;
    bool json_ = false;
    std::int64_t base_ = -1; ///< Version a configuration was made from.
    std::int64_t wait_ms_ = 0;
    bool submit_ = false;
    std::string answers_;
    std::string html_;
    int objective_ = 0;

    /// \return an origin for a command, with a new command id.
    control::command_origin origin() const;

    /// Prints an error for a person or as JSON.
    /// \return the exit status that fits it.
    int fail(const core::error& why) const;

    /// Prints a reply, waits until its version is in force, and names the
    /// hosts that have not confirmed it.
    /// \return the exit status that fits it.
    int show_reply(
        const core::result<control::command_reply>& reply,
        nlohmann::json details) const;

    /// Prints JSON, on one line when the operator asked for JSON.
    void print(const nlohmann::json& document) const;

    /// Prints findings, or that there are none.
    /// \return the exit status that fits them.
    int show_findings(const core::finding_list& findings) const;

    /// Reads something of the fleet as it is now.
    core::result<nlohmann::json> read(const std::string& what) const;

private:
    std::vector<std::string> wait_for(std::uint64_t version) const;
};

/// Reads a whole file.
/// \return false, with a message printed, when it cannot be read.
bool load(const std::string& path, std::string& text);

} // namespace poplarroute::main::ctl
