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

file_kind detect_kind(const std::string& text)
{
    core::finding_list ignored;
    const core::ini_document document = core::parse_ini("", text, ignored);
    bool is_answers = false;
    for (const core::ini_section& section : document.sections_)
    {
        if (section.kind_ == "seed" || section.kind_ == "tls" ||
            section.kind_ == "log")
        {
            return file_kind::host;
        }
        for (const core::ini_entry& entry : section.entries_)
        {
            is_answers = is_answers || (section.kind_ == "organisation" &&
                                        entry.key_ == "region");
        }
    }
    return is_answers ? file_kind::answers : file_kind::configuration;
}

void check_text(
    const std::string& path,
    const std::string& text,
    core::finding_list& findings)
{
    switch (detect_kind(text))
    {
    case file_kind::host:
        drivers::parse_host_settings(path, text, findings);
        return;
    case file_kind::configuration:
        control::parse_configuration(path, text, findings);
        return;
    case file_kind::answers:
    {
        const questionnaire_answers answers =
            parse_questionnaire_answers(path, text, findings);
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

int submit_text(cli_context& context, const std::string& text)
{
    std::uint64_t base = 0;
    if (context.base_version_ >= 0)
    {
        base = static_cast<std::uint64_t>(context.base_version_);
    }
    else
    {
        const auto current = context.read_state("configuration");
        if (!core::is_ok(current))
        {
            return context.print_error(core::failure(current));
        }
        base = core::value(current)["version"].get<std::uint64_t>();
    }
    const control::submit_configuration command{
        context.make_origin(), base, text};
    return context.wait_and_print_reply(
        context.client_.submit(command), {{"base", base}});
}

} // namespace

int check(cli_context& context, const argument_list& arguments)
{
    core::finding_list findings;
    for (const std::string& path : arguments)
    {
        std::string text;
        if (!load_file(path, text))
        {
            return exit_usage;
        }
        check_text(path, text, findings);
    }
    return context.print_findings(findings);
}

int config_show(cli_context& context, const argument_list&)
{
    const auto current = context.read_state("configuration");
    if (!core::is_ok(current))
    {
        return context.print_error(core::failure(current));
    }
    if (context.print_json_)
    {
        context.print_document(core::value(current));
        return exit_done;
    }
    std::cout << "# version " << core::value(current)["version"] << '\n'
              << core::value(current)["text"].get<std::string>();
    return exit_done;
}

int config_history(cli_context& context, const argument_list&)
{
    const auto history = context.read_state("history");
    if (!core::is_ok(history))
    {
        return context.print_error(core::failure(history));
    }
    if (context.print_json_)
    {
        context.print_document(core::value(history));
        return exit_done;
    }
    std::string previous;
    for (const json& item : core::value(history))
    {
        const auto text = item["text"].get<std::string>();
        std::cout << "version " << item["version"] << " by "
                  << item["operator"].get<std::string>() << '\n'
                  << diff_lines(previous, text);
        previous = text;
    }
    return exit_done;
}

int config_submit(cli_context& context, const argument_list& arguments)
{
    std::string text;
    if (!load_file(arguments[0], text))
    {
        return exit_usage;
    }
    core::finding_list findings;
    control::parse_configuration(arguments[0], text, findings);
    if (!findings.empty())
    {
        return context.print_findings(findings);
    }
    return submit_text(context, text);
}

int team(cli_context& context, const argument_list&)
{
    questionnaire_answers answers;
    core::finding_list findings;
    if (context.answers_path_.empty())
    {
        answers = prompt_for_answers(std::cin, std::cerr);
    }
    else
    {
        std::string text;
        if (!load_file(context.answers_path_, text))
        {
            return exit_usage;
        }
        answers =
            parse_questionnaire_answers(context.answers_path_, text, findings);
    }
    const std::string generated = generate_configuration(answers);
    if (findings.empty())
    {
        control::parse_configuration("generated", generated, findings);
    }
    if (!findings.empty())
    {
        return context.print_findings(findings);
    }
    if (!context.submit_ && context.client_.hosts().empty())
    {
        std::cout << generated;
        return exit_done;
    }
    const auto current = context.read_state("configuration");
    if (!core::is_ok(current))
    {
        return context.print_error(core::failure(current));
    }
    if (!context.print_json_)
    {
        std::cout << diff_lines(
            core::value(current)["text"].get<std::string>(), generated);
    }
    return context.submit_ ? submit_text(context, generated) : exit_done;
}

} // namespace poplarroute::main::ctl
