#include "main/ctl/cli_context.hpp"

#include <chrono>
#include <iostream>
#include <thread>

#include "core/digest.hpp"
#include "drivers/host_settings.hpp"
#include "node/messages.hpp"

namespace poplarroute::main::ctl
{

namespace
{

constexpr std::size_t command_id_bytes = 12;
constexpr core::duration poll_interval{100};

nlohmann::json to_json(const core::finding_list& findings)
{
    nlohmann::json out = nlohmann::json::array();
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

} // namespace

control::command_origin cli_context::make_origin() const
{
    return {
        core::random_hex(command_id_bytes), operator_name_, core::wall_ms()};
}

int cli_context::print_error(const core::error& error) const
{
    if (print_json_)
    {
        std::cout
            << nlohmann::
                   json{{"error", core::name(error.code_)}, {"message", error.message_}}
                       .dump()
            << '\n';
    }
    else
    {
        std::cerr << core::name(error.code_) << ": " << error.message_ << '\n';
    }
    const bool is_unreachable = error.code_ == core::errc::unreachable ||
                                error.code_ == core::errc::timeout ||
                                error.code_ == core::errc::broken ||
                                error.code_ == core::errc::not_leader;
    return is_unreachable ? exit_unreachable : exit_refused;
}

void cli_context::print_document(const nlohmann::json& document) const
{
    std::cout << document.dump(print_json_ ? -1 : 2) << '\n';
}

int cli_context::print_findings(const core::finding_list& findings) const
{
    if (print_json_)
    {
        std::cout << to_json(findings).dump() << '\n';
    }
    else if (findings.empty())
    {
        std::cout << "no problems found\n";
    }
    else
    {
        std::cerr << findings.text();
    }
    return findings.empty() ? exit_done : exit_usage;
}

core::result<nlohmann::json> cli_context::read_state(
    const std::string& what) const
{
    const auto answer = client_.call_any(node::method::read, what);
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    return nlohmann::json::parse(core::value(answer), nullptr, false);
}

std::vector<std::string> cli_context::wait_for_confirmation(
    std::uint64_t version) const
{
    const core::time_point deadline =
        core::steady_now() + core::duration{wait_ms_};
    std::vector<std::string> unconfirmed{"(not asked)"};
    for (;;)
    {
        const auto status = read_state("status");
        if (core::is_ok(status))
        {
            const nlohmann::json& fleet = core::value(status);
            unconfirmed = fleet["unconfirmed"].get<std::vector<std::string>>();
            const bool in_force =
                fleet["version"].get<std::uint64_t>() >= version;
            if (in_force && unconfirmed.empty())
            {
                return unconfirmed;
            }
        }
        if (core::steady_now() >= deadline)
        {
            return unconfirmed;
        }
        std::this_thread::sleep_for(poll_interval.chrono());
    }
}

int cli_context::wait_and_print_reply(
    const core::result<control::command_reply>& reply,
    nlohmann::json details) const
{
    if (!core::is_ok(reply))
    {
        return print_error(core::failure(reply));
    }
    const control::command_reply& received = core::value(reply);
    const bool accepted = received.verdict_ == control::verdict::accepted;
    details["verdict"] = name_of(received.verdict_);
    details["message"] = received.message_;
    details["version"] = received.version_;
    std::vector<std::string> unconfirmed;
    if (accepted && wait_ms_ > 0)
    {
        unconfirmed = wait_for_confirmation(received.version_);
        details["unconfirmed"] = unconfirmed;
    }
    if (print_json_)
    {
        std::cout << details.dump() << '\n';
        return accepted ? exit_done : exit_refused;
    }
    for (const auto& [key, text] : details.items())
    {
        std::cout << key << ": "
                  << (text.is_string() ? text.get<std::string>() : text.dump())
                  << '\n';
    }
    return accepted ? exit_done : exit_refused;
}

bool load_file(const std::string& path, std::string& text)
{
    const auto contents = drivers::read_file(path);
    if (!contents)
    {
        std::cerr << path << ": cannot be read\n";
        return false;
    }
    text = *contents;
    return true;
}

} // namespace poplarroute::main::ctl
