#include "drivers/host_settings.hpp"

#include <fstream>
#include <sstream>

#include "core/ini.hpp"

namespace poplarroute::drivers
{

namespace
{

using core::section_reader;

constexpr std::int64_t day_ms = 24LL * 3'600'000;
constexpr std::int64_t default_drain_limit_ms = 120'000;
constexpr std::int64_t default_body_bytes = 4LL * 1024 * 1024;
constexpr std::int64_t max_body_bytes = 64LL * 1024 * 1024;
constexpr std::int64_t default_max_connections = 4'096;
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t default_platform_retire_delay_ms = 10'000;

bool is_loopback(const std::string& address)
{
    return address.starts_with("127.");
}

void read_host(section_reader& reader, host_settings_file& settings)
{
    settings.name_ = reader.required("name");
    settings.zone_ = reader.required("availability_zone");
    settings.client_listen_ = reader.address("client_listen", true);
    settings.peer_listen_ = reader.address("peer_listen", true);
    settings.admin_listen_ = reader.address("admin_listen", true);
    settings.data_folder_ = reader.optional("data_folder", "");
    settings.drain_limit_.ms_ =
        reader.number("drain_limit_ms", 0, day_ms, default_drain_limit_ms);
    settings.policy_ = reader.choice(
        "policy",
        {"reserve_first",
         "reserve_ahead",
         "round_robin",
         "least_loaded",
         "prefill_first"},
        "reserve_first");
    settings.body_bytes_ =
        reader.number("body_bytes", 1'024, max_body_bytes, default_body_bytes);
    settings.max_connections_ = reader.number(
        "connections", 1, max_connections, default_max_connections);
    settings.allow_fault_injection_ = reader.flag("torture", false);
    if (settings.name_.find_first_of(" .:|") != std::string::npos)
    {
        reader.add_finding(
            "name",
            "a host's name must not contain blanks, dots, colons or bars",
            "eg-1");
    }
}

void read_seed(
    section_reader& reader,
    const std::string& name,
    host_settings_file& settings)
{
    seed_settings seed;
    seed.host_ = name;
    seed.peer_ = reader.address("peer", true);
    seed.control_ = reader.flag("control", false);
    settings.seeds_.push_back(std::move(seed));
}

void read_tls(section_reader& reader, host_settings_file& settings)
{
    settings.mutual_tls_ =
        reader.choice("mode", {"mutual", "plain"}, "mutual") == "mutual";
    if (!settings.mutual_tls_)
    {
        return;
    }
    settings.tls_authority_ = reader.required("authority");
    settings.tls_certificate_ = reader.required("certificate");
    settings.tls_key_ = reader.required("key");
}

void read_log(section_reader& reader, host_settings_file& settings)
{
    settings.log_level_ =
        reader.choice("level", {"debug", "info", "warning", "error"}, "info");
    settings.log_json_ =
        reader.choice("format", {"text", "json"}, "text") == "json";
}

void read_platform(section_reader& reader, host_settings_file& settings)
{
    settings.platform_list_address_ = reader.address("list", false);
    settings.platform_retire_delay_.ms_ =
        reader.number("lag_ms", 0, day_ms, default_platform_retire_delay_ms);
}

void check_plain_text(
    const core::ini_document& document,
    const host_settings_file& settings,
    core::finding_list& findings)
{
    if (settings.mutual_tls_ || settings.peer_listen_.empty() ||
        is_loopback(settings.peer_listen_))
    {
        return;
    }
    findings.add(
        {document.file_, 1, "tls", "mode"},
        "plain text between hosts is allowed on loopback only",
        "mode = mutual, with certificates");
}

} // namespace

host_settings_file parse_host_settings(
    std::string_view file, std::string_view text, core::finding_list& findings)
{
    const core::ini_document document = core::parse_ini(file, text, findings);
    host_settings_file settings;
    settings.log_level_ = "info";
    settings.platform_retire_delay_.ms_ = default_platform_retire_delay_ms;
    bool has_host = false;
    bool has_tls = false;
    for (const core::ini_section& section : document.sections_)
    {
        section_reader reader(document, section, findings);
        if (section.kind_ == "host")
        {
            has_host = true;
            read_host(reader, settings);
        }
        else if (section.kind_ == "seed")
        {
            read_seed(reader, section.name_, settings);
        }
        else if (section.kind_ == "tls")
        {
            has_tls = true;
            read_tls(reader, settings);
        }
        else if (section.kind_ == "log")
        {
            read_log(reader, settings);
        }
        else if (section.kind_ == "platform")
        {
            read_platform(reader, settings);
        }
        else
        {
            reader.add_finding(
                "",
                "this kind of section is not known",
                "host, seed, tls, log or platform");
            continue;
        }
        reader.report_unknown_keys();
    }
    const core::place whole_file{document.file_, 1, "", ""};
    if (!has_host)
    {
        findings.add(whole_file, "no [host] section", "add one with a name");
    }
    if (!has_tls)
    {
        findings.add(
            whole_file,
            "no [tls] section",
            "mode = mutual with certificates, or mode = plain on loopback");
    }
    if (settings.seeds_.empty())
    {
        findings.add(
            whole_file, "no [seed] section", "[seed HOST] with a peer");
    }
    check_plain_text(document, settings, findings);
    return settings;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace poplarroute::drivers
