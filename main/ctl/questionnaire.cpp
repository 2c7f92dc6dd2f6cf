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

/// One engine in so many of a zone's engines prefills.
constexpr std::size_t engines_per_prefill = 3;

constexpr const char* default_pieces = "40";
constexpr const char* default_calls = "16";

void read_zone(
    section_reader& reader, const std::string& name, team_answers& into)
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
                "hosts", "'" + host + "' is no host", "name@ip:port");
        }
    }
    into.zones_.push_back(std::move(zone));
}

void read_account(
    section_reader& reader, const std::string& name, team_answers& into)
{
    account_answer account;
    account.name_ = name;
    account.rate_ = reader.required("rate");
    account.burst_ = reader.required("burst");
    account.weight_ = reader.optional("weight", "1");
    into.accounts_.push_back(std::move(account));
}

void read_service(
    section_reader& reader,
    const core::ini_section& section,
    team_answers& into)
{
    service_answer service;
    service.name_ = section.name_;
    service.model_ =
        reader.choice("kind", {"model", "plain"}, "model") == "model";
    service.capacity_ = reader.optional(
        "capacity", service.model_ ? default_pieces : default_calls);
    service.interactive_ =
        reader.choice("callers", {"interactive", "batch"}, "interactive") ==
        "interactive";
    service.changes_ = reader.list("changes");
    service.reads_ = reader.list("reads");
    service.open_reads_ = reader.flag("open_reads", false);
    for (const core::ini_entry& entry : section.entries_)
    {
        if (entry.key_.starts_with("in."))
        {
            service.endpoints_[entry.key_.substr(3)] = reader.list(entry.key_);
        }
    }
    into.services_.push_back(std::move(service));
}

void check_zones(
    const core::ini_document& document,
    const team_answers& answers,
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
    service.model_ = ask(in, out, name + ": model or plain") != "plain";
    service.capacity_ =
        ask(in,
            out,
            service.model_ ? "Memory pieces of each engine" : "Calls at once");
    for (const zone_answer& zone : zones)
    {
        service.endpoints_[zone.name_] = split_list(
            ask(in, out, "Endpoints in " + zone.name_ + " (ip:port, ...)"),
            ',');
    }
    if (service.model_)
    {
        service.interactive_ =
            ask(in, out, "Do its callers wait on the spot (yes/no)") != "no";
        return service;
    }
    service.changes_ = split_list(
        ask(in, out, "Paths whose calls must run at most once"), ',');
    service.reads_ = split_list(ask(in, out, "Paths that only look"), ',');
    return service;
}

/// \return the role of the engine at a place in its zone's list.
std::string_view role_at(std::size_t place, std::size_t engines)
{
    if (engines == 1)
    {
        return "both";
    }
    const std::size_t prefills =
        std::max<std::size_t>((engines + 1) / engines_per_prefill, 1);
    return place < prefills ? "prefill" : "decode";
}

void write_endpoints(std::ostream& out, const service_answer& service)
{
    for (const auto& [zone, addresses] : service.endpoints_)
    {
        for (std::size_t at = 0; at < addresses.size(); ++at)
        {
            out << "[endpoint " << service.name_ << "-" << zone << "-" << at + 1
                << "]\n"
                << "service = " << service.name_ << "\n"
                << "availability_zone = " << zone << "\n"
                << "address = " << addresses[at] << "\n"
                << "capacity = " << service.capacity_ << "\n";
            if (service.model_)
            {
                out << "role = " << role_at(at, addresses.size()) << "\n";
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
    std::string_view more)
{
    out << "[route " << name << "]\n"
        << "method = " << method << "\n"
        << "path = " << path << "\n"
        << "service = " << service.name_ << "\n"
        << more << "\n";
}

void write_routes(std::ostream& out, const service_answer& service)
{
    if (service.model_)
    {
        const std::string_view kind =
            service.interactive_ ? "class = interactive\n" : "class = batch\n";
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
    for (const std::string& path : service.changes_)
    {
        write_route(
            out,
            service.name_ + "-change" + path,
            "POST",
            path,
            service,
            "idempotent = no\n");
    }
    for (const std::string& path : service.reads_)
    {
        write_route(
            out,
            service.name_ + "-read" + path,
            "GET",
            path,
            service,
            service.open_reads_ ? "open = yes\n" : "open = no\n");
    }
}

std::vector<std::string> lines_of(std::string_view text)
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

team_answers parse_answers(
    std::string_view file, std::string_view text, core::finding_list& findings)
{
    const core::ini_document document = core::parse_ini(file, text, findings);
    team_answers out;
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
                "this kind of section is not known",
                "organisation, availability_zone, account or service");
            continue;
        }
        reader.report_unknown_keys();
    }
    check_zones(document, out, findings);
    return out;
}

team_answers ask_answers(std::istream& in, std::ostream& out)
{
    team_answers answers;
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
        account.rate_ = ask(in, out, name + ": tokens a second");
        account.burst_ = ask(in, out, name + ": tokens at once");
        answers.accounts_.push_back(std::move(account));
    }
    for (const std::string& name :
         split_list(ask(in, out, "Services (a, b, ...)"), ','))
    {
        answers.services_.push_back(ask_service(in, out, name, answers.zones_));
    }
    return answers;
}

std::string generate_configuration(const team_answers& answers)
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
            << "kind = " << (service.model_ ? "model" : "plain") << "\n\n";
        write_endpoints(out, service);
        write_routes(out, service);
    }
    return out.str();
}

std::string difference(std::string_view before, std::string_view after)
{
    const std::vector<std::string> left = lines_of(before);
    const std::vector<std::string> right = lines_of(after);
    // The longest common subsequence, by the usual table.
    std::vector<std::vector<std::size_t>> common(
        left.size() + 1, std::vector<std::size_t>(right.size() + 1, 0));
    for (std::size_t at = left.size(); at-- > 0;)
    {
        for (std::size_t other = right.size(); other-- > 0;)
        {
            common[at][other] =
                left[at] == right[other]
                    ? common[at + 1][other + 1] + 1
                    : std::max(common[at + 1][other], common[at][other + 1]);
        }
    }
    std::string out;
    std::size_t at = 0;
    std::size_t other = 0;
    while (at < left.size() || other < right.size())
    {
        const bool both = at < left.size() && other < right.size();
        if (both && left[at] == right[other])
        {
            ++at;
            ++other;
        }
        else if (
            other == right.size() ||
            (at < left.size() &&
             common[at + 1][other] >= common[at][other + 1]))
        {
            out += "- " + left[at++] + "\n";
        }
        else
        {
            out += "+ " + right[other++] + "\n";
        }
    }
    return out;
}

} // namespace poplarroute::main::ctl
