#include "main/ctl/verbs.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "control/configuration.hpp"
#include "core/codec.hpp"
#include "core/digest.hpp"
#include "core/ini.hpp"
#include "drivers/host_settings.hpp"
#include "main/ctl/burn_report.hpp"
#include "main/ctl/certificates.hpp"
#include "main/ctl/questionnaire.hpp"
#include "node/messages.hpp"
#include "node/order_messages.hpp"
#include "node/replica_messages.hpp"

namespace poplarroute::main::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t key_id_bytes = 6;
constexpr std::size_t secret_bytes = 20;
constexpr std::size_t salt_bytes = 8;
constexpr int certificate_days = 365;
constexpr int promote_tries = 100;
constexpr core::duration promote_pause{200};

void print(const session& with, const json& document)
{
    std::cout << document.dump(with.json_ ? -1 : 2) << '\n';
}

/// A host named on the command line as "name@ip:port".
struct named_host
{
    std::string name_;
    std::string address_;
};

bool parse_host(const std::string& text, named_host& out)
{
    const std::size_t at = text.find('@');
    if (at == std::string::npos || !core::is_address(text.substr(at + 1)))
    {
        std::cerr << "'" << text << "' is no host: name@ip:port\n";
        return false;
    }
    out = {text.substr(0, at), text.substr(at + 1)};
    return true;
}

// Files.

enum class file_kind
{
    host,
    configuration,
    answers,
};

file_kind guess_kind(const std::string& text)
{
    core::finding_list ignored;
    const core::ini_document document = core::parse_ini("", text, ignored);
    bool answers = false;
    for (const core::ini_section& section : document.sections_)
    {
        if (section.kind_ == "seed" || section.kind_ == "tls" ||
            section.kind_ == "log")
        {
            return file_kind::host;
        }
        for (const core::ini_entry& entry : section.entries_)
        {
            answers = answers || (section.kind_ == "organisation" &&
                                  entry.key_ == "region");
        }
    }
    return answers ? file_kind::answers : file_kind::configuration;
}

void check_text(
    const std::string& path,
    const std::string& text,
    core::finding_list& findings)
{
    switch (guess_kind(text))
    {
    case file_kind::host:
        drivers::parse_host_settings(path, text, findings);
        return;
    case file_kind::configuration:
        control::parse_configuration(path, text, findings);
        return;
    case file_kind::answers:
    {
        const team_answers answers = parse_answers(path, text, findings);
        if (findings.empty())
        {
            control::parse_configuration(
                path + " (generated)",
                generate_configuration(answers),
                findings);
        }
        return;
    }
    }
}

json to_json(const core::finding_list& findings)
{
    json out = json::array();
    for (const core::finding& item : findings.all())
    {
        out.push_back(
            {{"file", item.place_.file_},
             {"line", item.place_.line_},
             {"section", item.place_.section_},
             {"key", item.place_.key_},
             {"problem", item.problem_},
             {"remedy", item.remedy_}});
    }
    return out;
}

int show_findings(const session& with, const core::finding_list& findings)
{
    if (with.json_)
    {
        std::cout << to_json(findings).dump() << '\n';
    }
    else if (findings.empty())
    {
        std::cout << "in order\n";
    }
    else
    {
        std::cerr << findings.text();
    }
    return findings.empty() ? exit_done : exit_usage;
}

int check(session& with, const words& given)
{
    core::finding_list findings;
    for (const std::string& path : given)
    {
        std::string text;
        if (!load(path, text))
        {
            return exit_usage;
        }
        check_text(path, text, findings);
    }
    return show_findings(with, findings);
}

// Configuration.

int submit_text(session& with, const std::string& text)
{
    std::uint64_t base = 0;
    if (with.base_ >= 0)
    {
        base = static_cast<std::uint64_t>(with.base_);
    }
    else
    {
        const auto now = with.read("configuration");
        if (!core::is_ok(now))
        {
            return with.fail(core::failure(now));
        }
        base = core::value(now)["version"].get<std::uint64_t>();
    }
    const control::submit_configuration order{with.origin(), base, text};
    return with.show_reply(with.link_.submit(order), {{"base", base}});
}

int config_show(session& with, const words&)
{
    const auto now = with.read("configuration");
    if (!core::is_ok(now))
    {
        return with.fail(core::failure(now));
    }
    if (with.json_)
    {
        print(with, core::value(now));
        return exit_done;
    }
    std::cout << "# version " << core::value(now)["version"] << '\n'
              << core::value(now)["text"].get<std::string>();
    return exit_done;
}

int config_history(session& with, const words&)
{
    const auto past = with.read("history");
    if (!core::is_ok(past))
    {
        return with.fail(core::failure(past));
    }
    if (with.json_)
    {
        print(with, core::value(past));
        return exit_done;
    }
    std::string before;
    for (const json& item : core::value(past))
    {
        const auto text = item["text"].get<std::string>();
        std::cout << "version " << item["version"] << " by "
                  << item["operator"].get<std::string>() << '\n'
                  << difference(before, text);
        before = text;
    }
    return exit_done;
}

int config_submit(session& with, const words& given)
{
    std::string text;
    if (!load(given[0], text))
    {
        return exit_usage;
    }
    core::finding_list findings;
    control::parse_configuration(given[0], text, findings);
    if (!findings.empty())
    {
        return show_findings(with, findings);
    }
    return submit_text(with, text);
}

int team(session& with, const words&)
{
    team_answers answers;
    core::finding_list findings;
    if (with.answers_.empty())
    {
        answers = ask_answers(std::cin, std::cerr);
    }
    else
    {
        std::string text;
        if (!load(with.answers_, text))
        {
            return exit_usage;
        }
        answers = parse_answers(with.answers_, text, findings);
    }
    const std::string made = generate_configuration(answers);
    if (findings.empty())
    {
        control::parse_configuration("generated", made, findings);
    }
    if (!findings.empty())
    {
        return show_findings(with, findings);
    }
    if (!with.submit_ && with.link_.hosts().empty())
    {
        std::cout << made;
        return exit_done;
    }
    const auto now = with.read("configuration");
    if (!core::is_ok(now))
    {
        return with.fail(core::failure(now));
    }
    if (!with.json_)
    {
        std::cout << difference(
            core::value(now)["text"].get<std::string>(), made);
    }
    return with.submit_ ? submit_text(with, made) : exit_done;
}

// Keys.

int key_issue(session& with, const words& given)
{
    const std::string id = core::random_hex(key_id_bytes);
    const std::string secret = core::random_hex(secret_bytes);
    const std::string salt = core::random_hex(salt_bytes);
    const control::issue_key order{
        with.origin(), id, given[0], salt, core::key_digest(salt, secret)};
    const auto reply = with.link_.submit(order);
    json details{{"key_id", id}};
    const bool accepted = core::is_ok(reply) && core::value(reply).verdict_ ==
                                                    control::verdict::accepted;
    if (accepted)
    {
        details["key"] = "pr_" + id + "_" + secret;
    }
    return with.show_reply(reply, std::move(details));
}

/// \return by when a key's withdrawal is in force even in a zone that nobody
/// reaches: its account's cut_off_limit from now.
std::int64_t in_force_by(session& with, const std::string& key)
{
    const auto keys = with.read("keys");
    const auto settings = with.read("configuration");
    if (!core::is_ok(keys) || !core::is_ok(settings))
    {
        return 0;
    }
    core::finding_list ignored;
    const control::configuration parsed = control::parse_configuration(
        "", core::value(settings)["text"].get<std::string>(), ignored);
    for (const json& item : core::value(keys))
    {
        const auto account =
            parsed.accounts_.find(item["account"].get<std::string>());
        if (item["key"] == key && account != parsed.accounts_.end())
        {
            return core::wall_ms() + account->second.cut_off_limit_.ms_;
        }
    }
    return 0;
}

int key_withdraw(session& with, const words& given)
{
    // The hosts hear it directly, also those whose zone is cut off from the
    // control group but not from here.
    const json direct{{"key_", given[0]}};
    const auto told =
        with.link_.call_all(node::method::withdraw, core::to_bytes(direct));
    const auto count = std::count_if(
        told.begin(),
        told.end(),
        [](const core::result<std::string>& answer)
        {
            return core::is_ok(answer);
        });
    const control::withdraw_key order{with.origin(), given[0]};
    const auto reply = with.link_.submit(order);
    return with.show_reply(
        reply,
        {{"hosts_told_directly", count},
         {"in_force_everywhere_by_wall_ms", in_force_by(with, given[0])}});
}

int key_list(session& with, const words&)
{
    const auto keys = with.read("keys");
    if (!core::is_ok(keys))
    {
        return with.fail(core::failure(keys));
    }
    print(with, core::value(keys));
    return exit_done;
}

// Zones and hosts.

int change_out(session& with, bool zone, bool out, const std::string& name)
{
    const control::set_out order{with.origin(), zone, name, out};
    return with.show_reply(with.link_.submit(order), {{"name", name}});
}

int zone_out(session& with, const words& given)
{
    return change_out(with, true, true, given[0]);
}

int zone_in(session& with, const words& given)
{
    return change_out(with, true, false, given[0]);
}

int host_out(session& with, const words& given)
{
    return change_out(with, false, true, given[0]);
}

int host_in(session& with, const words& given)
{
    return change_out(with, false, false, given[0]);
}

int host_retire(session& with, const words& given)
{
    const control::retire_host order{
        with.origin(), given[0], "the operator's word"};
    return with.show_reply(with.link_.submit(order), {{"host", given[0]}});
}

int order(session& with, const words& given)
{
    const node::order_request request{
        with.origin().id_, with.operator_, given[0], given[1], given[2]};
    const auto answer =
        with.link_.call_any(node::method::order, core::to_bytes(request));
    if (!core::is_ok(answer))
    {
        return with.fail(core::failure(answer));
    }
    const auto reply = core::from_bytes<node::order_reply>(core::value(answer));
    print(with, {{"endpoint", given[0]}, {"fence", reply ? reply->fence_ : 0}});
    return exit_done;
}

int status(session& with, const words&)
{
    json out;
    const auto fleet = with.read("status");
    out["fleet"] = core::is_ok(fleet) ? core::value(fleet)
                                      : json(core::failure(fleet).message_);
    out["hosts"] = json::array();
    const auto answers = with.link_.call_all(node::method::status, "");
    for (std::size_t at = 0; at < answers.size(); ++at)
    {
        if (core::is_ok(answers[at]))
        {
            out["hosts"].push_back(
                json::parse(core::value(answers[at]), nullptr, false));
        }
        else
        {
            out["hosts"].push_back(
                {{"address", with.link_.hosts()[at]},
                 {"error", core::failure(answers[at]).message_}});
        }
    }
    print(with, out);
    return core::is_ok(fleet) ? exit_done : exit_unreachable;
}

int report_burn(session& with, const words&)
{
    std::vector<json> hosts;
    for (const auto& answer : with.link_.call_all(node::method::burn, ""))
    {
        if (core::is_ok(answer))
        {
            hosts.push_back(json::parse(core::value(answer), nullptr, false));
        }
    }
    if (hosts.empty())
    {
        return with.fail({core::errc::unreachable, "no host answers"});
    }
    const json report = make_burn_report(hosts, with.objective_);
    if (!with.html_.empty())
    {
        std::ofstream(with.html_) << burn_html(report);
    }
    if (with.json_)
    {
        print(with, report);
    }
    else
    {
        std::cout << burn_text(report);
    }
    return exit_done;
}

// The control group.

core::result<node::identify_reply> identify(
    session& with, const std::string& address)
{
    const auto answer = with.link_.call(
        address,
        node::method::identify,
        core::to_bytes(node::identify_request()));
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    auto reply = core::from_bytes<node::identify_reply>(core::value(answer));
    if (!reply)
    {
        return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    return std::move(*reply);
}

bool same_members(
    const std::vector<node::member_facts>& left,
    const std::vector<node::member_facts>& right)
{
    return json(left) == json(right);
}

int init(session& with, const words& given)
{
    node::bootstrap_request group;
    std::vector<named_host> hosts;
    std::vector<node::identify_reply> found;
    for (const std::string& text : given)
    {
        named_host host;
        if (!parse_host(text, host))
        {
            return exit_usage;
        }
        const auto reply = identify(with, host.address_);
        if (!core::is_ok(reply))
        {
            return with.fail(core::failure(reply));
        }
        group.members_.push_back({host.name_, core::value(reply).store_, true});
        hosts.push_back(host);
        found.push_back(core::value(reply));
    }
    std::sort(
        group.members_.begin(),
        group.members_.end(),
        [](const node::member_facts& left, const node::member_facts& right)
        {
            return left.host_ < right.host_;
        });
    for (const node::identify_reply& reply : found)
    {
        if (!reply.members_.empty() &&
            !same_members(reply.members_, group.members_))
        {
            return with.fail(
                {core::errc::conflict,
                 "a member has another group already: a lost disk is mended "
                 "with 'control replace'"});
        }
    }
    for (const named_host& host : hosts)
    {
        const auto answer = with.link_.call(
            host.address_, node::method::bootstrap, core::to_bytes(group));
        if (!core::is_ok(answer))
        {
            return with.fail(core::failure(answer));
        }
    }
    print(with, {{"members", group.members_}});
    return exit_done;
}

int change_group(
    session& with, const std::string& action, const node::member_facts& of)
{
    const node::group_request request{action, of.host_, of.store_};
    core::error last{core::errc::unreachable, "no host answers"};
    for (int tries = 0; tries < promote_tries; ++tries)
    {
        const auto answer = with.link_.call_any(
            node::method::change_group, core::to_bytes(request));
        if (core::is_ok(answer))
        {
            return exit_done;
        }
        last = core::failure(answer);
        const bool wait = last.code_ == core::errc::not_ready ||
                          last.code_ == core::errc::conflict ||
                          last.code_ == core::errc::not_leader;
        if (!wait)
        {
            break;
        }
        std::this_thread::sleep_for(promote_pause.chrono());
    }
    return with.fail(last);
}

int control_replace(session& with, const words& given)
{
    named_host host;
    if (!parse_host(given[0], host))
    {
        return exit_usage;
    }
    const auto fresh = identify(with, host.address_);
    const auto now = with.read("status");
    if (!core::is_ok(fresh) || !core::is_ok(now))
    {
        return with.fail(
            core::is_ok(fresh) ? core::failure(now) : core::failure(fresh));
    }
    const node::member_facts next{host.name_, core::value(fresh).store_, false};
    bool listed = false;
    for (const json& item : core::value(now)["members"])
    {
        const bool same = item["host"] == host.name_;
        if (same && item["store"] == next.store_ && item["voter"])
        {
            print(with, {{"host", host.name_}, {"state", "voter"}});
            return exit_done;
        }
        if (same && item["store"] != next.store_)
        {
            const int removed = change_group(with, "remove", next);
            if (removed != exit_done)
            {
                return removed;
            }
            continue;
        }
        listed = listed || same;
    }
    for (const std::string action : {"add", "promote"})
    {
        if (action == "add" && listed)
        {
            continue;
        }
        const int changed = change_group(with, action, next);
        if (changed != exit_done)
        {
            return changed;
        }
    }
    print(with, {{"host", host.name_}, {"state", "voter"}});
    return exit_done;
}

int certificates(session& with, const words& given)
{
    const words hosts(given.begin() + 1, given.end());
    const auto made =
        make_certificates(given[0], hosts, with.operator_, certificate_days);
    if (!core::is_ok(made))
    {
        return with.fail(core::failure(made));
    }
    std::cout << "made in " << given[0] << '\n';
    return exit_done;
}

bool starts_with_words(const words& given, const words& name)
{
    return given.size() >= name.size() &&
           std::equal(name.begin(), name.end(), given.begin());
}

} // namespace

const std::vector<verb>& all_verbs()
{
    static const std::vector<verb> all{
        {"check", "FILE ...", "list all mistakes of files", 1, check},
        {"certificates",
         "FOLDER HOST ...",
         "make certificates for a trial",
         2,
         certificates},
        {"init",
         "NAME@IP:PORT ...",
         "form the control group of blank members",
         1,
         init},
        {"team",
         "",
         "ask the questionnaire, or read --answers, and show the change",
         0,
         team},
        {"config show", "", "the configuration in force", 0, config_show},
        {"config history", "", "earlier configurations", 0, config_history},
        {"config submit",
         "FILE",
         "put a configuration in force",
         1,
         config_submit},
        {"key issue", "ACCOUNT", "make a key; it is shown once", 1, key_issue},
        {"key withdraw", "KEY-ID", "end a key for good", 1, key_withdraw},
        {"key list", "", "all keys, without secrets", 0, key_list},
        {"zone out", "ZONE", "give a zone no new work", 1, zone_out},
        {"zone in", "ZONE", "give a zone work again", 1, zone_in},
        {"host out", "HOST", "give a host no new work", 1, host_out},
        {"host in", "HOST", "give a host work again", 1, host_in},
        {"host retire",
         "HOST",
         "say that a host's process is gone for good",
         1,
         host_retire},
        {"order",
         "ENDPOINT NAME VALUE",
         "give an endpoint an order: load, adapter, version or role",
         3,
         order},
        {"control replace",
         "NAME@IP:PORT",
         "take in a member whose disk was lost",
         1,
         control_replace},
        {"status", "", "what is in force and where work goes", 0, status},
        {"report burn", "", "service-level burn", 0, report_burn},
    };
    return all;
}

int run_verb(session& with, const words& given)
{
    for (const verb& item : all_verbs())
    {
        const words name = core::split_list(item.name_, ' ');
        if (!starts_with_words(given, name))
        {
            continue;
        }
        const words rest(
            given.begin() + static_cast<std::ptrdiff_t>(name.size()),
            given.end());
        if (rest.size() < item.least_)
        {
            std::cerr << "poplarctl " << item.name_ << " " << item.arguments_
                      << ": arguments are missing\n";
            return exit_usage;
        }
        return item.run_(with, rest);
    }
    std::cerr << "poplarctl: no such verb; see --help\n";
    return exit_usage;
}

} // namespace poplarroute::main::ctl
