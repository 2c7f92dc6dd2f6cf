#include "main/ctl/subcommands.hpp"

#include <iostream>

#include "control/configuration.hpp"
#include "core/ini.hpp"
#include "drivers/host_settings.hpp"
#include "main/ctl/questionnaire.hpp"

namespace poplarroute::main::ctl
{

using nlohmann::json;

namespace
{

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

} // namespace

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
    return with.show_findings(findings);
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
        with.print(core::value(now));
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
        with.print(core::value(past));
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
        return with.show_findings(findings);
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
        return with.show_findings(findings);
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

} // namespace poplarroute::main::ctl
