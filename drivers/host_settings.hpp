#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/finding.hpp"
#include "core/ids.hpp"

namespace poplarroute::drivers
{

/// A host that this one may ask before it has a configuration.
struct seed_settings
{
    core::host_id host_;
    std::string peer_;
    bool control_ = false; ///< Whether it keeps the replicated log.
};

/// What a process reads from its settings file.
struct host_settings_file
{
    core::host_id name_;
    core::zone_id zone_;
    std::string client_listen_;
    std::string peer_listen_;
    std::string admin_listen_;
    std::string data_folder_; ///< Empty: no control role.
    core::duration drain_limit_;
    std::string policy_;
    bool mutual_tls_ = true;
    std::string tls_authority_;
    std::string tls_certificate_;
    std::string tls_key_;
    std::string log_level_;
    bool log_json_ = false;
    std::int64_t body_bytes_ = 0;
    std::int64_t connections_ = 0;
    std::string platform_list_; ///< "ip:port/path"; empty: none.
    core::duration platform_lag_;
    std::vector<seed_settings> seeds_;
    bool torture_ = false; ///< Opens the calls that tests cut links with.
};

/// Parses and checks settings.
/// \param file the name to give in findings.
/// \param text INI.
/// \param findings receives everything that is wrong.
host_settings_file parse_host_settings(
    std::string_view file, std::string_view text, core::finding_list& findings);

/// Reads a whole file.
/// \return its text, or nothing when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

} // namespace poplarroute::drivers
