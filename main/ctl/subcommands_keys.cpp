#include "main/ctl/subcommands.hpp"

#include <algorithm>

#include "control/configuration.hpp"
#include "core/codec.hpp"
#include "core/digest.hpp"
#include "node/messages.hpp"

namespace poplarroute::main::ctl
{

using nlohmann::json;

namespace
{

constexpr std::size_t key_id_bytes = 6;
constexpr std::size_t secret_bytes = 20;
constexpr std::size_t salt_bytes = 8;

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

} // namespace

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
    with.print(core::value(keys));
    return exit_done;
}

} // namespace poplarroute::main::ctl
