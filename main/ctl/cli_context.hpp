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
    exit_refused = 1,     ///< The fleet refused: conflict or invalid command.
    exit_usage = 2,       ///< Wrong arguments, or findings in a file.
    exit_unreachable = 3, ///< No host answered; the outcome may be unknown.
};

/// Options of a poplarctl call and its connection to the fleet, for all
/// subcommands.
struct cli_context
{
    fleet_client& client_;
    std::string operator_name_;
    bool print_json_ = false;
    /// Version that a submitted configuration is based on; -1: the current one.
    std::int64_t base_version_ = -1;
    std::int64_t wait_ms_ = 0;    ///< Longest wait for confirmations; 0: none.
    bool submit_ = false;         ///< Whether "team" submits its configuration.
    std::string answers_path_;    ///< Empty: "team" asks on the terminal.
    std::string html_path_;       ///< Empty: no HTML report is written.
    int objective_per_mille_ = 0; ///< Good requests per thousand.
    double deadline_s_ = 0;       ///< Of a roll-out, in seconds.

    /// \return the origin of a new command, with a fresh command id.
    control::command_origin make_origin() const;

    /// Prints an error as text or as JSON.
    /// \return the matching exit status.
    int print_error(const core::error& error) const;

    /// Waits until an accepted change is in force at all hosts, at most for
    /// wait_ms_, and prints the reply and the hosts that have not confirmed it.
    /// \param details fields to print besides those of the reply.
    /// \return the matching exit status.
    int wait_and_print_reply(
        const core::result<control::command_reply>& reply,
        nlohmann::json details) const;

    /// Prints a JSON document, on one line when --json is given.
    void print_document(const nlohmann::json& document) const;

    /// Prints the findings, or that there are none.
    /// \return the matching exit status.
    int print_findings(const core::finding_list& findings) const;

    /// Reads a part of the fleet's current state from the control group.
    /// \param what "status", "configuration", "history" or "keys".
    core::result<nlohmann::json> read_state(const std::string& what) const;

private:
    /// Polls the fleet until a version is in force at all hosts, at most for
    /// wait_ms_.
    /// \return the hosts that have not confirmed it.
    std::vector<std::string> wait_for_confirmation(std::uint64_t version) const;
};

/// Reads a whole file.
/// \return whether it could be read; if not, an error is printed.
bool load_file(const std::string& path, std::string& text);

} // namespace poplarroute::main::ctl
