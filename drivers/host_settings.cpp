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
constexpr std::int64_t default_drain_ms = 120'000;
constexpr std::int64_t default_body_bytes = 4LL * 1024 * 1024;
constexpr std::int64_t most_body_bytes = 64LL * 1024 * 1024;
constexpr std::int64_t default_connections = 4'096;
constexpr std::int64_t most_connections = 100'000;
constexpr std::int64_t default_platform_lag_ms = 10'000;

bool is_loopback(const std::string& address)
{
    return address.starts_with("127.");
}

void read_host(section_reader& reader, host_settings_file& into)
{
    into.name_ = reader.required("name");
    into.zone_ = reader.required("availability_zone");
    into.client_listen_ = reader.address("client_listen", true);
    into.peer_listen_ = reader.address("peer_listen", true);
    into.admin_listen_ = reader.address("admin_listen", true);
    into.data_folder_ = reader.optional("data_folder", "");
    into.drain_limit_.ms_ =
        reader.number("drain_limit_ms", 0, day_ms, default_drain_ms);
    into.policy_ = reader.choice(
        "policy",
        {"reserve_first",
         "reserve_ahead",
         "round_robin",
         "least_loaded",
         "prefill_first"},
        "reserve_first");
    into.body_bytes_ =
        reader.number("body_bytes", 1'024, most_body_bytes, default_body_bytes);
    into.connections_ =
        reader.number("connections", 1, most_connections, default_connections);
    into.torture_ = reader.flag("torture", false);
    if (into.name_.find_first_of(" .:|") != std::string::npos)
    {
        reader.complain(
            "name", "a host's name has no blank, dot, colon or bar", "eg-1");
    }
}

void read_seed(
    section_reader& reader, const std::string& name, host_settings_file& into)
{
    seed_settings seed;
    seed.host_ = name;
    seed.peer_ = reader.address("peer", true);
    seed.control_ = reader.flag("control", false);
    into.seeds_.push_back(std::move(seed));
}

void read_tls(section_reader& reader, host_settings_file& into)
{
    into.mutual_tls_ =
        reader.choice("mode", {"mutual", "plain"}, "mutual") == "mutual";
    if (!into.mutual_tls_)
    {
        return;
    }
    into.tls_authority_ = reader.required("authority");
    into.tls_certificate_ = reader.required("certificate");
    into.tls_key_ = reader.required("key");
}

void read_log(section_reader& reader, host_settings_file& into)
{
    into.log_level_ =
        reader.choice("level", {"debug", "info", "warning", "error"}, "info");
    into.log_json_ =
        reader.choice("format", {"text", "json"}, "text") == "json";
}

void read_platform(section_reader& reader, host_settings_file& into)
{
    into.platform_list_ = reader.address("list", false);
    into.platform_lag_.ms_ =
        reader.number("lag_ms", 0, day_ms, default_platform_lag_ms);
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
        "plain text between hosts is for loopback only",
        "mode = mutual, with certificates");
}

} // namespace

host_settings_file parse_host_settings(
    std::string_view file, std::string_view text, core::finding_list& findings)
{
    const core::ini_document document = core::parse_ini(file, text, findings);
    host_settings_file out;
    out.log_level_ = "info";
    out.platform_lag_.ms_ = default_platform_lag_ms;
    bool has_host = false;
    bool has_tls = false;
    for (const core::ini_section& section : document.sections_)
    {
        section_reader reader(document, section, findings);
        if (section.kind_ == "host")
        {
            has_host = true;
            read_host(reader, out);
        }
        else if (section.kind_ == "seed")
        {
            read_seed(reader, section.name_, out);
        }
        else if (section.kind_ == "tls")
        {
            has_tls = true;
            read_tls(reader, out);
        }
        else if (section.kind_ == "log")
        {
            read_log(reader, out);
        }
        else if (section.kind_ == "platform")
        {
            read_platform(reader, out);
        }
        else
        {
            reader.complain(
                "",
                "this kind of section is not known",
                "host, seed, tls, log or platform");
            continue;
        }
        reader.reject_unknown();
    }
    const core::place whole{document.file_, 1, "", ""};
    if (!has_host)
    {
        findings.add(whole, "no [host] section", "add one with a name");
    }
    if (!has_tls)
    {
        findings.add(
            whole,
            "no [tls] section",
            "mode = mutual with certificates, or mode = plain on loopback");
    }
    if (out.seeds_.empty())
    {
        findings.add(whole, "no [seed] section", "[seed HOST] with a peer");
    }
    check_plain_text(document, out, findings);
    return out;
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
