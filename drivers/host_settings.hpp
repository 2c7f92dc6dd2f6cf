#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/finding.hpp"
#include "core/ids.hpp"
#include "drivers/connection_budget.hpp"

namespace poplarroute::drivers
{

/// A host that this one can contact before it has a configuration.
struct seed_settings
{
    core::host_id host_;
    std::string peer_;     ///< Address of its peer port, "ip:port".
    bool control_ = false; ///< Whether it is a member of the control group.
};

/// Settings of a host process, as read from its settings file.
struct host_settings_file
{
    core::host_id name_;
    core::zone_id zone_;
    std::string client_listen_; ///< "ip:port", like the next two.
    std::string peer_listen_;
    std::string admin_listen_;
    /// Folder of the replicated log; empty when this host is not a member of
    /// the control group.
    std::string data_folder_;
    core::duration drain_limit_; ///< Longest wait for requests at shutdown.
    std::string policy_;         ///< Name of the scheduling policy.
    bool mutual_tls_ = true;
    std::string tls_authority_;
    std::string tls_certificate_;
    std::string tls_key_;
    std::string log_level_;
    bool log_json_ = false;
    std::int64_t body_bytes_ = 0; ///< Largest body of a request.
    client_settings clients_;     ///< Limits on what clients take.
    /// "ip:port" of the platform's list of hosts; empty when there is none.
    std::string platform_list_address_;
    /// How long a host may be missing from that list before it is retired.
    core::duration platform_retire_delay_;
    std::vector<seed_settings> seeds_;
    /// Whether tests may block the connections to peers by a call.
    bool allow_fault_injection_ = false;
};

/// Parses and checks settings.
/// \param file the file name to give in findings.
/// \param text the settings as INI text.
/// \param findings receives all problems.
host_settings_file parse_host_settings(
    std::string_view file, std::string_view text, core::finding_list& findings);

/// Reads a whole file.
/// \return its text, or nothing when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

} // namespace poplarroute::drivers
