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
constexpr core::duration poll_every{100};

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

control::command_origin session::origin() const
{
    return {core::random_hex(command_id_bytes), operator_, core::wall_ms()};
}

int session::fail(const core::error& why) const
{
    if (json_)
    {
        std::cout
            << nlohmann::
                   json{{"error", core::name(why.code_)}, {"message", why.message_}}
                       .dump()
            << '\n';
    }
    else
    {
        std::cerr << core::name(why.code_) << ": " << why.message_ << '\n';
    }
    const bool unknown = why.code_ == core::errc::unreachable ||
                         why.code_ == core::errc::timeout ||
                         why.code_ == core::errc::broken ||
                         why.code_ == core::errc::not_leader;
    return unknown ? exit_unreachable : exit_refused;
}

void session::print(const nlohmann::json& document) const
{
    std::cout << document.dump(json_ ? -1 : 2) << '\n';
}

int session::show_findings(const core::finding_list& findings) const
{
    if (json_)
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

core::result<nlohmann::json> session::read(const std::string& what) const
{
    const auto answer = link_.call_any(node::method::read, what);
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    return nlohmann::json::parse(core::value(answer), nullptr, false);
}

std::vector<std::string> session::wait_for(std::uint64_t version) const
{
    const core::time_point until =
        core::steady_now() + core::duration{wait_ms_};
    std::vector<std::string> missing{"(not asked)"};
    for (;;)
    {
        const auto status = read("status");
        if (core::is_ok(status))
        {
            const nlohmann::json& now = core::value(status);
            missing = now["unconfirmed"].get<std::vector<std::string>>();
            const bool in_force =
                now["version"].get<std::uint64_t>() >= version;
            if (in_force && missing.empty())
            {
                return missing;
            }
        }
        if (core::steady_now() >= until)
        {
            return missing;
        }
        std::this_thread::sleep_for(poll_every.chrono());
    }
}

int session::show_reply(
    const core::result<control::command_reply>& reply,
    nlohmann::json details) const
{
    if (!core::is_ok(reply))
    {
        return fail(core::failure(reply));
    }
    const control::command_reply& got = core::value(reply);
    const bool accepted = got.verdict_ == control::verdict::accepted;
    details["verdict"] = name_of(got.verdict_);
    details["message"] = got.message_;
    details["version"] = got.version_;
    std::vector<std::string> missing;
    if (accepted && wait_ms_ > 0)
    {
        missing = wait_for(got.version_);
        details["unconfirmed"] = missing;
    }
    if (json_)
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

bool load(const std::string& path, std::string& text)
{
    const auto read = drivers::read_file(path);
    if (!read)
    {
        std::cerr << path << ": cannot be read\n";
        return false;
    }
    text = *read;
    return true;
}

} // namespace poplarroute::main::ctl
