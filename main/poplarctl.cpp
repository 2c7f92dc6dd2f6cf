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
    cxxopts::Options options("poplarctl", "The operator's command line.");
    options.positional_help("VERB ...");
    options.add_options()(
        "hosts",
        "hosts' peer addresses, ip:port,ip:port (or POPLARROUTE_HOSTS)",
        value<std::string>()->default_value(""))(
        "certificates",
        "folder with authority.pem, operator.pem and operator.key",
        value<std::string>()->default_value(""))(
        "plain", "no TLS; the hosts take this on loopback only")(
        "operator",
        "your name",
        value<std::string>()->default_value("operator"))("json", "print JSON")(
        "answers",
        "the questionnaire's answers",
        value<std::string>()->default_value(""))(
        "submit", "put the generated configuration in force")(
        "base",
        "version that the configuration was made from",
        value<std::int64_t>()->default_value("-1"))(
        "wait-ms",
        "wait so long for all hosts to confirm",
        value<std::int64_t>()->default_value("5000"))(
        "html",
        "write the burn report here",
        value<std::string>()->default_value(""))(
        "objective",
        "good requests in a thousand",
        value<int>()->default_value("950"))("version", "print the version")(
        "help",
        "print this page")("words", "", value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nVerbs:\n";
    for (const ctl::verb& item : ctl::all_verbs())
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
                 "  poplarctl report burn --html burn.html\n\n"
                 "Exit status: 0 done, 1 refused, 2 wrong arguments or "
                 "findings, 3 no host answered.\n";
}

core::result<drivers::tls_context> make_tls(const cxxopts::ParseResult& given)
{
    const auto folder = given["certificates"].as<std::string>();
    if (given.count("plain") != 0 || folder.empty())
    {
        return drivers::tls_context();
    }
    return drivers::make_tls_context(
        {folder + "/authority.pem",
         folder + "/operator.pem",
         folder + "/operator.key"});
}

std::vector<std::string> hosts_of(const cxxopts::ParseResult& given)
{
    std::string text = given["hosts"].as<std::string>();
    const char* from_variable = std::getenv(hosts_variable);
    if (text.empty() && from_variable != nullptr)
    {
        text = from_variable;
    }
    return core::split_list(text, ',');
}

int run(const cxxopts::ParseResult& given)
{
    const auto tls = make_tls(given);
    if (!core::is_ok(tls))
    {
        std::cerr << core::failure(tls).message_ << '\n';
        return ctl::exit_usage;
    }
    ctl::link link(hosts_of(given), core::value(tls));
    ctl::session session{link, given["operator"].as<std::string>()};
    session.json_ = given.count("json") != 0;
    session.base_ = given["base"].as<std::int64_t>();
    session.wait_ms_ = given["wait-ms"].as<std::int64_t>();
    session.submit_ = given.count("submit") != 0;
    session.answers_ = given["answers"].as<std::string>();
    session.html_ = given["html"].as<std::string>();
    session.objective_ = given["objective"].as<int>();
    return ctl::run_verb(session, given["words"].as<ctl::words>());
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    try
    {
        const cxxopts::ParseResult given = options.parse(argc, argv);
        if (given.count("version") != 0)
        {
            std::cout << poplarroute::version << '\n';
            return ctl::exit_done;
        }
        if (given.count("help") != 0 || given.count("words") == 0)
        {
            print_help(options);
            return given.count("help") != 0 ? ctl::exit_done : ctl::exit_usage;
        }
        return run(given);
    }
    catch (const cxxopts::exceptions::exception& wrong)
    {
        std::cerr << "poplarctl: " << wrong.what() << '\n';
        return ctl::exit_usage;
    }
}
