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
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t min_memory_mb = 32;
constexpr std::int64_t max_memory_mb = 1024LL * 1024;
constexpr std::int64_t min_percent = 5;
constexpr std::int64_t max_memory_percent = 60;
constexpr std::int64_t max_descriptor_percent = 95;
constexpr std::int64_t min_framing_bytes = 1'024;
constexpr std::int64_t max_framing_bytes = 16LL * 1024 * 1024;
constexpr std::int64_t min_write_timeout_ms = 100;
constexpr std::int64_t max_write_timeout_ms = 600'000;
constexpr std::int64_t default_platform_retire_delay_ms = 10'000;

bool is_loopback(const std::string& address)
{
    return address.starts_with("127.");
}

/// Reads a size whose default is its current value.
void read_size(
    section_reader& reader,
    const std::string& key,
    std::int64_t least,
    std::int64_t most,
    std::size_t& value)
{
    value = static_cast<std::size_t>(
        reader.number(key, least, most, static_cast<std::int64_t>(value)));
}

void read_clients(section_reader& reader, client_settings& clients)
{
    read_size(
        reader, "memory_mb", min_memory_mb, max_memory_mb, clients.memory_mb_);
    read_size(
        reader,
        "client_memory_percent",
        min_percent,
        max_memory_percent,
        clients.memory_percent_);
    read_size(
        reader,
        "client_descriptor_percent",
        min_percent,
        max_descriptor_percent,
        clients.descriptor_percent_);
    read_size(reader, "connections", 1, max_connections, clients.connections_);
    read_size(
        reader,
        "client_framing_bytes",
        min_framing_bytes,
        max_framing_bytes,
        clients.framing_bytes_);
    clients.write_timeout_.ms_ = reader.number(
        "client_write_timeout_ms",
        min_write_timeout_ms,
        max_write_timeout_ms,
        clients.write_timeout_.ms_);
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
    read_clients(reader, settings.clients_);
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
