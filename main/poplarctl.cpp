#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>

#include "core/ini.hpp"
#include "main/ctl/subcommands.hpp"
#include "main/version.hpp"

namespace
{

namespace core = poplarroute::core;
namespace ctl = poplarroute::main::ctl;
namespace drivers = poplarroute::drivers;

constexpr const char* hosts_variable = "POPLARROUTE_HOSTS";

cxxopts::Options make_options()
{
    using cxxopts::value;
    cxxopts::Options options(
        "poplarctl", "Command line for operators of poplarroute.");
    options.positional_help("COMMAND ...");
    options.add_options()(
        "hosts",
        "peer addresses of hosts, ip:port,ip:port (or POPLARROUTE_HOSTS)",
        value<std::string>()->default_value(""))(
        "certificates",
        "folder with authority.pem, operator.pem and operator.key",
        value<std::string>()->default_value(""))(
        "plain", "use no TLS; hosts accept this on loopback only")(
        "operator",
        "name of the operator",
        value<std::string>()->default_value("operator"))("json", "print JSON")(
        "answers",
        "file with the answers to the questionnaire",
        value<std::string>()->default_value(""))(
        "submit", "submit the generated configuration")(
        "base",
        "version that the configuration is based on; -1: the current one",
        value<std::int64_t>()->default_value("-1"))(
        "wait-ms",
        "milliseconds to wait until all hosts confirm a change",
        value<std::int64_t>()->default_value("5000"))(
        "html",
        "file that the burn-rate report is written to as HTML",
        value<std::string>()->default_value(""))(
        "objective",
        "service-level objective: good requests per thousand",
        value<int>()->default_value("950"))(
        "deadline",
        "seconds after which an undecided roll-out is rolled back",
        value<double>()->default_value("60"))("version", "print the version")(
        "help",
        "print this help")("words", "", value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const ctl::subcommand& item : ctl::all_subcommands())
    {
        std::cout << "  " << item.name_ << " " << item.arguments_ << "\n      "
                  << item.help_ << "\n";
    }
    std::cout << "\nExamples:\n"
                 "  poplarctl check host.ini fleet.ini\n"
                 "  poplarctl --hosts 10.0.0.1:7100 --certificates tls "
                 "team --answers answers.ini --submit\n"
                 "  poplarctl key issue harbour\n"
                 "  poplarctl zone out galway-a\n"
                 "  poplarctl report burn --html burn.html\n"
                 "  poplarctl --hosts 10.0.0.1:7500 --plain "
                 "rollout start chat v2 --deadline 30\n\n"
                 "Exit status: 0 done, 1 refused, 2 wrong arguments or "
                 "problems in a file, 3 no host answered.\n";
}

core::result<drivers::tls_context> make_tls(const cxxopts::ParseResult& parsed)
{
    const auto folder = parsed["certificates"].as<std::string>();
    if (parsed.count("plain") != 0 || folder.empty())
    {
        return drivers::tls_context();
    }
    return drivers::make_tls_context(
        {folder + "/authority.pem",
         folder + "/operator.pem",
         folder + "/operator.key"});
}

std::vector<std::string> hosts_of(const cxxopts::ParseResult& parsed)
{
    std::string text = parsed["hosts"].as<std::string>();
    const char* from_environment = std::getenv(hosts_variable);
    if (text.empty() && from_environment != nullptr)
    {
        text = from_environment;
    }
    return core::split_list(text, ',');
}

int run(const cxxopts::ParseResult& parsed)
{
    const auto tls = make_tls(parsed);
    if (!core::is_ok(tls))
    {
        std::cerr << core::failure(tls).message_ << '\n';
        return ctl::exit_usage;
    }
    ctl::fleet_client client(hosts_of(parsed), core::value(tls));
    ctl::cli_context context{client, parsed["operator"].as<std::string>()};
    context.print_json_ = parsed.count("json") != 0;
    context.base_version_ = parsed["base"].as<std::int64_t>();
    context.wait_ms_ = parsed["wait-ms"].as<std::int64_t>();
    context.submit_ = parsed.count("submit") != 0;
    context.answers_path_ = parsed["answers"].as<std::string>();
    context.html_path_ = parsed["html"].as<std::string>();
    context.objective_per_mille_ = parsed["objective"].as<int>();
    context.deadline_s_ = parsed["deadline"].as<double>();
    return ctl::run_subcommand(
        context, parsed["words"].as<ctl::argument_list>());
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("version") != 0)
        {
            std::cout << poplarroute::version << '\n';
            return ctl::exit_done;
        }
        if (parsed.count("help") != 0 || parsed.count("words") == 0)
        {
            print_help(options);
            return parsed.count("help") != 0 ? ctl::exit_done : ctl::exit_usage;
        }
        return run(parsed);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << "poplarctl: " << error.what() << '\n';
        return ctl::exit_usage;
    }
}
