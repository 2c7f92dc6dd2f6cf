#include "control/configuration.hpp"

#include <algorithm>
#include <utility>

#include "core/ini.hpp"

namespace poplarroute::control
{

namespace
{

using core::section_reader;

constexpr std::int64_t max_tokens = 1'000'000'000;
constexpr std::int64_t max_duration_ms = 7LL * 24 * 3'600'000;
constexpr std::int64_t max_weight = 1'000;
constexpr std::int64_t max_capacity = 1'000'000;
constexpr std::int64_t default_cut_off_ms = 15'000;
constexpr std::int64_t default_claim_retention_ms = 24LL * 3'600'000;
constexpr std::int64_t default_quarantine_ms = 600'000;
constexpr std::int64_t default_tokens_per_piece = 4'096;
constexpr std::int64_t default_max_requests = 20;
constexpr std::int64_t default_call_cost_tokens = 10;
constexpr std::int64_t default_first_token_ms = 450;
constexpr std::int64_t default_between_tokens_ms = 69;
constexpr std::int64_t default_batch_first_token_ms = 10'000;
constexpr std::int64_t default_batch_between_tokens_ms = 200;

/// State of the parser while it reads the sections one by one.
struct parse_state
{
    configuration out_;
    const core::ini_document& document_;
    core::finding_list& findings_;
};

/// Adds an item under its name. Reports a missing or duplicate name.
template <class Item>
void add_named(
    std::map<std::string, Item>& items, section_reader& reader, Item item)
{
    if (item.name_.empty())
    {
        reader.add_finding("", "this section lacks a name", "[kind name]");
        return;
    }
    const std::string name = item.name_;
    if (!items.emplace(name, std::move(item)).second)
    {
        reader.add_finding("", "this name stands twice", "choose another name");
    }
}

void read_organisation(section_reader& reader, parse_state& state)
{
    state.out_.organisation_ = reader.required("name");
    state.out_.claim_retention_.ms_ = reader.number(
        "claim_retention_ms",
        60'000,
        max_duration_ms,
        default_claim_retention_ms);
    state.out_.quarantine_.ms_ = reader.number(
        "quarantine_ms", 1'000, max_duration_ms, default_quarantine_ms);
}

void read_zone(
    section_reader& reader, const std::string& name, parse_state& state)
{
    add_named(
        state.out_.zones_,
        reader,
        zone_settings{name, reader.required("region")});
}

void read_host(
    section_reader& reader, const std::string& name, parse_state& state)
{
    host_settings host;
    host.name_ = name;
    host.zone_ = reader.required("availability_zone");
    host.peer_ = reader.address("peer", true);
    add_named(state.out_.hosts_, reader, std::move(host));
}

void read_account(
    section_reader& reader, const std::string& name, parse_state& state)
{
    account_settings account;
    account.name_ = name;
    account.rate_ = reader.number("rate", 1, max_tokens, std::nullopt);
    account.burst_ = reader.number("burst", 1, max_tokens, std::nullopt);
    account.weight_ = reader.number("weight", 1, max_weight, 1);
    account.cut_off_limit_.ms_ = reader.number(
        "cut_off_limit_ms", 0, max_duration_ms, default_cut_off_ms);
    add_named(state.out_.accounts_, reader, std::move(account));
}

void read_service(
    section_reader& reader, const std::string& name, parse_state& state)
{
    service_settings service;
    service.name_ = name;
    const bool plain =
        reader.choice("kind", {"model", "plain"}, "model") == "plain";
    service.kind_ = plain ? service_kind::plain : service_kind::model;
    service.model_ = reader.optional("model", name);
    service.tokens_per_piece_ = reader.number(
        "tokens_per_piece", 1, max_tokens, default_tokens_per_piece);
    service.call_cost_ =
        reader.number("call_cost", 0, max_tokens, default_call_cost_tokens);
    service.interactive_.first_token_.ms_ = reader.number(
        "first_token_ms", 1, max_duration_ms, default_first_token_ms);
    service.interactive_.between_tokens_.ms_ = reader.number(
        "between_tokens_ms", 1, max_duration_ms, default_between_tokens_ms);
    service.batch_.first_token_.ms_ = reader.number(
        "batch_first_token_ms",
        1,
        max_duration_ms,
        default_batch_first_token_ms);
    service.batch_.between_tokens_.ms_ = reader.number(
        "batch_between_tokens_ms",
        1,
        max_duration_ms,
        default_batch_between_tokens_ms);
    add_named(state.out_.services_, reader, std::move(service));
}

engine_role role_of(std::string_view text)
{
    if (text == "prefill")
    {
        return engine_role::prefill;
    }
    return text == "decode" ? engine_role::decode : engine_role::both;
}

void read_endpoint(
    section_reader& reader, const std::string& name, parse_state& state)
{
    endpoint_settings endpoint;
    endpoint.name_ = name;
    endpoint.service_ = reader.required("service");
    endpoint.zone_ = reader.required("availability_zone");
    endpoint.address_ = reader.address("address", true);
    endpoint.role_ =
        role_of(reader.choice("role", {"prefill", "decode", "both"}, "both"));
    endpoint.capacity_ =
        reader.number("capacity", 1, max_capacity, std::nullopt);
    endpoint.requests_ =
        reader.number("requests", 1, max_capacity, default_max_requests);
    endpoint.checks_fence_ = reader.flag("checks_fence", true);
    add_named(state.out_.endpoints_, reader, std::move(endpoint));
}

void read_route(
    section_reader& reader, const std::string& name, parse_state& state)
{
    route_settings route;
    route.name_ = name;
    route.method_ =
        reader.choice("method", {"GET", "POST", "PUT", "DELETE"}, "POST");
    route.path_ = reader.required("path");
    route.service_ = reader.required("service");
    route.idempotent_ = reader.flag("idempotent", true);
    route.open_ = reader.flag("open", false);
    route.interactive_ =
        reader.choice("class", {"interactive", "batch"}, "interactive") ==
        "interactive";
    route.accounts_ = reader.list("accounts");
    if (!route.path_.empty() && route.path_.front() != '/')
    {
        reader.add_finding("path", "a path starts with /", "/path");
    }
    if (route.open_ && !route.idempotent_)
    {
        reader.add_finding(
            "open",
            "a non-idempotent route needs an account",
            "open = no, or idempotent = yes");
    }
    state.out_.routes_.push_back(std::move(route));
}

using section_parser = void (*)(
    section_reader& reader, const std::string& name, parse_state& state);

const std::map<std::string, section_parser, std::less<>>& parsers()
{
    static const std::map<std::string, section_parser, std::less<>> all{
        {"organisation",
         [](section_reader& reader, const std::string&, parse_state& state)
         {
             read_organisation(reader, state);
         }},
        {"availability_zone", read_zone},
        {"host", read_host},
        {"account", read_account},
        {"service", read_service},
        {"endpoint", read_endpoint},
        {"route", read_route},
    };
    return all;
}

/// Reports a value that names no existing item.
template <class Items>
void check_reference(
    parse_state& state,
    const core::ini_section& section,
    std::string_view key,
    const Items& items,
    const std::string& name)
{
    if (name.empty() || items.count(name) != 0)
    {
        return;
    }
    section_reader reader(state.document_, section, state.findings_);
    std::string known = "known:";
    for (const auto& [item, settings] : items)
    {
        known += " " + item;
    }
    reader.add_finding(key, "'" + name + "' does not exist", known);
}

std::string value_of(const core::ini_section& section, std::string_view key)
{
    for (const core::ini_entry& entry : section.entries_)
    {
        if (entry.key_ == key)
        {
            return entry.value_;
        }
    }
    return {};
}

void check_references(parse_state& state, const core::ini_section& section)
{
    const configuration& all = state.out_;
    if (section.kind_ == "host" || section.kind_ == "endpoint")
    {
        check_reference(
            state,
            section,
            "availability_zone",
            all.zones_,
            value_of(section, "availability_zone"));
    }
    if (section.kind_ == "endpoint" || section.kind_ == "route")
    {
        check_reference(
            state,
            section,
            "service",
            all.services_,
            value_of(section, "service"));
    }
    if (section.kind_ == "route")
    {
        for (const std::string& account :
             core::split_list(value_of(section, "accounts"), ','))
        {
            check_reference(state, section, "accounts", all.accounts_, account);
        }
    }
}

void check_consistency(parse_state& state)
{
    const core::place file_start{state.document_.file_, 1, "", ""};
    if (state.out_.organisation_.empty())
    {
        state.findings_.add(
            file_start, "no [organisation] section", "add one with a name");
    }
    if (state.out_.hosts_.empty())
    {
        state.findings_.add(
            file_start, "no [host] section", "add one per host");
    }
    std::vector<std::pair<std::string, std::string>> seen;
    for (const route_settings& route : state.out_.routes_)
    {
        const std::pair<std::string, std::string> method_and_path{
            route.method_, route.path_};
        const auto duplicate =
            std::find(seen.begin(), seen.end(), method_and_path);
        if (duplicate != seen.end())
        {
            state.findings_.add(
                file_start,
                "two routes take " + route.method_ + " " + route.path_,
                "keep one of them");
        }
        seen.push_back(method_and_path);
    }
}

} // namespace

configuration parse_configuration(
    std::string_view file, std::string_view text, core::finding_list& findings)
{
    const core::ini_document document = core::parse_ini(file, text, findings);
    parse_state state{{}, document, findings};
    for (const core::ini_section& section : document.sections_)
    {
        section_reader reader(document, section, findings);
        const auto found = parsers().find(section.kind_);
        if (found == parsers().end())
        {
            reader.add_finding(
                "",
                "this kind of section is not known",
                "organisation, availability_zone, host, account, service, "
                "endpoint or route");
            continue;
        }
        found->second(reader, section.name_, state);
        reader.report_unknown_keys();
    }
    for (const core::ini_section& section : document.sections_)
    {
        check_references(state, section);
    }
    check_consistency(state);
    return std::move(state.out_);
}

std::string_view name_of(engine_role role)
{
    switch (role)
    {
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::both:
        return "both";
    }
    return "both";
}

} // namespace poplarroute::control
