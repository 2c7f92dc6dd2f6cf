#include <cstdio>
#include <iostream>
#include <optional>

#include <cxxopts.hpp>

#include "drivers/host_settings.hpp"
#include "drivers/log.hpp"
#include "main/version.hpp"
#include "node/fleet_process.hpp"
#include "node/host_process.hpp"
#include "platform/operator_calls.hpp"
#include "platform/platform_codec.hpp"
#include "platform/settings.hpp"

namespace
{

namespace core = poplarroute::core;
namespace drivers = poplarroute::drivers;
namespace node = poplarroute::node;
namespace platform = poplarroute::platform;

constexpr int exit_usage = 2;
constexpr int exit_start_failed = 1;

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "poplarroute",
        "Runs one host of the router. Examples:\n"
        "  poplarroute --settings /etc/poplarroute/host.ini\n"
        "  poplarroute --settings host.ini --check\n"
        "  poplarroute --platform\n");
    options.add_options()(
        "settings", "settings file of the host", cxxopts::value<std::string>())(
        "platform",
        "read the settings from the file that POPLARROUTE_CONFIG names")(
        "check", "check the settings and exit")("version", "print the version")(
        "help", "print this help");
    return options;
}

std::optional<drivers::host_settings_file> load_settings(
    const std::string& path)
{
    const auto text = drivers::read_file(path);
    if (!text)
    {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    core::finding_list findings;
    drivers::host_settings_file settings =
        drivers::parse_host_settings(path, *text, findings);
    if (!findings.empty())
    {
        std::cerr << findings.text();
        return std::nullopt;
    }
    return settings;
}

int serve(drivers::host_settings_file settings)
{
    drivers::open_log(settings.name_, settings.log_level_, settings.log_json_);
    node::host_process process(std::move(settings));
    const core::result<core::done> opened = process.open();
    if (!core::is_ok(opened))
    {
        drivers::log_event(
            drivers::log_level::error,
            "not_started",
            {{"why", core::failure(opened).message_}});
        return exit_start_failed;
    }
    return process.run();
}

std::optional<node::fleet_settings> load_platform_settings()
{
    core::finding_list findings;
    auto settings = platform::load_settings(findings);
    if (!settings)
    {
        std::cerr << findings.text();
    }
    return settings;
}

int serve_on_platform(bool check_only)
{
    auto settings = load_platform_settings();
    if (!settings)
    {
        return exit_usage;
    }
    if (check_only)
    {
        std::cout << "the settings are valid\n";
        return 0;
    }
    drivers::open_log(settings->host_, "info", false);
    node::fleet_process process(
        std::move(*settings),
        load_platform_settings,
        std::make_unique<platform::platform_codec>(),
        platform::make_operator_handler);
    const core::result<core::done> opened = process.open();
    if (!core::is_ok(opened))
    {
        drivers::log_event(
            drivers::log_level::error,
            "not_started",
            {{"why", core::failure(opened).message_}});
        drivers::flush_log();
        return exit_start_failed;
    }
    return process.run();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (parsed.count("version") != 0)
        {
            std::cout << poplarroute::version << '\n';
            return 0;
        }
        if (parsed.count("platform") != 0)
        {
            return serve_on_platform(parsed.count("check") != 0);
        }
        if (parsed.count("settings") == 0)
        {
            std::cerr << "poplarroute: --settings FILE is required\n";
            return exit_usage;
        }
        auto settings = load_settings(parsed["settings"].as<std::string>());
        if (!settings)
        {
            return exit_usage;
        }
        if (parsed.count("check") != 0)
        {
            std::cout << "the settings are valid\n";
            return 0;
        }
        return serve(std::move(*settings));
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << "poplarroute: " << error.what() << '\n';
        return exit_usage;
    }
}
