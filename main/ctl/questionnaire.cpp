#include "main/ctl/questionnaire.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "core/ini.hpp"

namespace poplarroute::main::ctl
{

namespace
{

using core::section_reader;
using core::split_list;

/// About one in this many engines of an availability zone prefills.
constexpr std::size_t engines_per_prefill_engine = 3;

constexpr const char* default_engine_capacity_pieces = "40";
constexpr const char* default_plain_capacity_calls = "16";

void read_zone(
    section_reader& reader,
    const std::string& name,
    questionnaire_answers& answers)
{
    zone_answer zone;
    zone.name_ = name;
    zone.hosts_ = reader.list("hosts");
    for (const std::string& host : zone.hosts_)
    {
        const std::size_t at = host.find('@');
        if (at == std::string::npos || !core::is_address(host.substr(at + 1)))
        {
            reader.add_finding(
                "hosts", "'" + host + "' is not a host", "name@ip:port");
        }
    }
    answers.zones_.push_back(std::move(zone));
}

void read_account(
    section_reader& reader,
    const std::string& name,
    questionnaire_answers& answers)
{
    account_answer account;
    account.name_ = name;
    account.rate_ = reader.required("rate");
    account.burst_ = reader.required("burst");
    account.weight_ = reader.optional("weight", "1");
    answers.accounts_.push_back(std::move(account));
}

void read_service(
    section_reader& reader,
    const core::ini_section& section,
    questionnaire_answers& answers)
{
    service_answer service;
    service.name_ = section.name_;
    service.is_model_ =
        reader.choice("kind", {"model", "plain"}, "model") == "model";
    service.capacity_ = reader.optional(
        "capacity",
        service.is_model_ ? default_engine_capacity_pieces
                          : default_plain_capacity_calls);
    service.is_interactive_ =
        reader.choice("callers", {"interactive", "batch"}, "interactive") ==
        "interactive";
    service.change_paths_ = reader.list("changes");
    service.read_paths_ = reader.list("reads");
    service.open_read_paths_ = reader.flag("open_reads", false);
    for (const core::ini_entry& entry : section.entries_)
    {
        if (entry.key_.starts_with("in."))
        {
            service.endpoints_[entry.key_.substr(3)] = reader.list(entry.key_);
        }
    }
    answers.services_.push_back(std::move(service));
}

void check_zones(
    const core::ini_document& document,
    const questionnaire_answers& answers,
    core::finding_list& findings)
{
    for (const service_answer& service : answers.services_)
    {
        for (const auto& [zone, addresses] : service.endpoints_)
        {
            const std::string& name = zone;
            const bool known = std::any_of(
                answers.zones_.begin(),
                answers.zones_.end(),
                [&name](const zone_answer& item)
                {
                    return item.name_ == name;
                });
            if (!known)
            {
                findings.add(
                    {document.file_,
                     1,
                     "service " + service.name_,
                     "in." + zone},
                    "there is no such availability zone",
                    "add [availability_zone " + zone + "]");
            }
        }
    }
}

std::string ask(std::istream& in, std::ostream& out, const std::string& what)
{
    out << what << ": " << std::flush;
    std::string line;
    std::getline(in, line);
    return line;
}

service_answer ask_service(
    std::istream& in,
    std::ostream& out,
    const std::string& name,
    const std::vector<zone_answer>& zones)
{
    service_answer service;
    service.name_ = name;
    service.is_model_ = ask(in, out, name + ": model or plain") != "plain";
    service.capacity_ =
        ask(in,
            out,
            service.is_model_ ? "Memory pieces of each engine"
                              : "Concurrent calls of each endpoint");
    for (const zone_answer& zone : zones)
    {
        service.endpoints_[zone.name_] = split_list(
            ask(in, out, "Endpoints in " + zone.name_ + " (ip:port, ...)"),
            ',');
    }
    if (service.is_model_)
    {
        service.is_interactive_ =
            ask(in, out, "Are its callers interactive (yes/no)") != "no";
        return service;
    }
    service.change_paths_ = split_list(
        ask(in, out, "Paths of calls that must run at most once"), ',');
    service.read_paths_ =
        split_list(ask(in, out, "Paths of calls that only read"), ',');
    return service;
}

/// \return the role of an engine, by its index in its zone's list.
std::string_view role_of_engine(std::size_t index, std::size_t engine_count)
{
    if (engine_count == 1)
    {
        return "both";
    }
    const std::size_t prefill_engine_count = std::max<std::size_t>(
        (engine_count + 1) / engines_per_prefill_engine, 1);
    return index < prefill_engine_count ? "prefill" : "decode";
}

void write_endpoints(std::ostream& out, const service_answer& service)
{
    for (const auto& [zone, addresses] : service.endpoints_)
    {
        for (std::size_t index = 0; index < addresses.size(); ++index)
        {
            out << "[endpoint " << service.name_ << "-" << zone << "-"
                << index + 1 << "]\n"
                << "service = " << service.name_ << "\n"
                << "availability_zone = " << zone << "\n"
                << "address = " << addresses[index] << "\n"
                << "capacity = " << service.capacity_ << "\n";
            if (service.is_model_)
            {
                out << "role = " << role_of_engine(index, addresses.size())
                    << "\n";
            }
            else
            {
                out << "requests = " << service.capacity_ << "\n";
            }
            out << "\n";
        }
    }
}

void write_route(
    std::ostream& out,
    const std::string& name,
    std::string_view method,
    const std::string& path,
    const service_answer& service,
    std::string_view extra_lines)
{
    out << "[route " << name << "]\n"
        << "method = " << method << "\n"
        << "path = " << path << "\n"
        << "service = " << service.name_ << "\n"
        << extra_lines << "\n";
}

void write_routes(std::ostream& out, const service_answer& service)
{
    if (service.is_model_)
    {
        const std::string_view kind = service.is_interactive_
                                          ? "class = interactive\n"
                                          : "class = batch\n";
        write_route(
            out,
            service.name_ + "-chat",
            "POST",
            "/v1/chat/completions",
            service,
            kind);
        write_route(
            out,
            service.name_ + "-text",
            "POST",
            "/v1/completions",
            service,
            kind);
        return;
    }
    for (const std::string& path : service.change_paths_)
    {
        write_route(
            out,
            service.name_ + "-change" + path,
            "POST",
            path,
            service,
            "idempotent = no\n");
    }
    for (const std::string& path : service.read_paths_)
    {
        write_route(
            out,
            service.name_ + "-read" + path,
            "GET",
            path,
            service,
            service.open_read_paths_ ? "open = yes\n" : "open = no\n");
    }
}

std::vector<std::string> split_lines(std::string_view text)
{
    std::vector<std::string> out;
    std::istringstream in{std::string(text)};
    for (std::string line; std::getline(in, line);)
    {
        out.push_back(line);
    }
    return out;
}

} // namespace

questionnaire_answers parse_questionnaire_answers(
    std::string_view file, std::string_view text, core::finding_list& findings)
{
    const core::ini_document document = core::parse_ini(file, text, findings);
    questionnaire_answers out;
    for (const core::ini_section& section : document.sections_)
    {
        section_reader reader(document, section, findings);
        if (section.kind_ == "organisation")
        {
            out.organisation_ = reader.required("name");
            out.region_ = reader.required("region");
        }
        else if (section.kind_ == "availability_zone")
        {
            read_zone(reader, section.name_, out);
        }
        else if (section.kind_ == "account")
        {
            read_account(reader, section.name_, out);
        }
        else if (section.kind_ == "service")
        {
            read_service(reader, section, out);
        }
        else
        {
            reader.add_finding(
                "",
                "unknown kind of section",
                "organisation, availability_zone, account or service");
            continue;
        }
        reader.report_unknown_keys();
    }
    check_zones(document, out, findings);
    return out;
}

questionnaire_answers prompt_for_answers(std::istream& in, std::ostream& out)
{
    questionnaire_answers answers;
    answers.organisation_ = ask(in, out, "Name of the organisation");
    answers.region_ = ask(in, out, "Region");
    for (const std::string& zone :
         split_list(ask(in, out, "Availability zones (a, b, ...)"), ','))
    {
        answers.zones_.push_back(
            {zone,
             split_list(
                 ask(in, out, "Hosts in " + zone + " (name@ip:port, ...)"),
                 ',')});
    }
    for (const std::string& name :
         split_list(ask(in, out, "Client accounts (a, b, ...)"), ','))
    {
        account_answer account;
        account.name_ = name;
        account.rate_ = ask(in, out, name + ": tokens per second");
        account.burst_ = ask(in, out, name + ": burst in tokens");
        answers.accounts_.push_back(std::move(account));
    }
    for (const std::string& name :
         split_list(ask(in, out, "Services (a, b, ...)"), ','))
    {
        answers.services_.push_back(ask_service(in, out, name, answers.zones_));
    }
    return answers;
}

std::string generate_configuration(const questionnaire_answers& answers)
{
    std::ostringstream out;
    out << "[organisation]\nname = " << answers.organisation_ << "\n\n";
    for (const zone_answer& zone : answers.zones_)
    {
        out << "[availability_zone " << zone.name_
            << "]\nregion = " << answers.region_ << "\n\n";
        for (const std::string& host : zone.hosts_)
        {
            const std::size_t at = host.find('@');
            out << "[host " << host.substr(0, at) << "]\n"
                << "availability_zone = " << zone.name_ << "\n"
                << "peer = " << host.substr(at + 1) << "\n\n";
        }
    }
    for (const account_answer& account : answers.accounts_)
    {
        out << "[account " << account.name_ << "]\n"
            << "rate = " << account.rate_ << "\n"
            << "burst = " << account.burst_ << "\n"
            << "weight = " << account.weight_ << "\n\n";
    }
    for (const service_answer& service : answers.services_)
    {
        out << "[service " << service.name_ << "]\n"
            << "kind = " << (service.is_model_ ? "model" : "plain") << "\n\n";
        write_endpoints(out, service);
        write_routes(out, service);
    }
    return out.str();
}

std::string diff_lines(std::string_view before, std::string_view after)
{
    const std::vector<std::string> old_lines = split_lines(before);
    const std::vector<std::string> new_lines = split_lines(after);
    // Lengths of the longest common subsequences of the lines from each pair
    // of indexes on, by dynamic programming.
    std::vector<std::vector<std::size_t>> common_lengths(
        old_lines.size() + 1,
        std::vector<std::size_t>(new_lines.size() + 1, 0));
    for (std::size_t old_index = old_lines.size(); old_index-- > 0;)
    {
        for (std::size_t new_index = new_lines.size(); new_index-- > 0;)
        {
            common_lengths[old_index][new_index] =
                old_lines[old_index] == new_lines[new_index]
                    ? common_lengths[old_index + 1][new_index + 1] + 1
                    : std::max(
                          common_lengths[old_index + 1][new_index],
                          common_lengths[old_index][new_index + 1]);
        }
    }
    std::string out;
    std::size_t old_index = 0;
    std::size_t new_index = 0;
    while (old_index < old_lines.size() || new_index < new_lines.size())
    {
        const bool has_both =
            old_index < old_lines.size() && new_index < new_lines.size();
        if (has_both && old_lines[old_index] == new_lines[new_index])
        {
            ++old_index;
            ++new_index;
        }
        else if (
            new_index == new_lines.size() ||
            (old_index < old_lines.size() &&
             common_lengths[old_index + 1][new_index] >=
                 common_lengths[old_index][new_index + 1]))
        {
            out += "- " + old_lines[old_index++] + "\n";
        }
        else
        {
            out += "+ " + new_lines[new_index++] + "\n";
        }
    }
    return out;
}

} // namespace poplarroute::main::ctl
