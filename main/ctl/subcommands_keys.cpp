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

/// \return the wall-clock time in milliseconds by which a key's withdrawal is
/// in force everywhere, also in a zone that cannot be reached: now plus its
/// account's cut_off_limit. 0 when the key or its account cannot be read.
std::int64_t withdrawal_in_force_wall_ms(
    cli_context& context, const std::string& key)
{
    const auto keys = context.read_state("keys");
    const auto settings = context.read_state("configuration");
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

int key_issue(cli_context& context, const argument_list& arguments)
{
    const std::string id = core::random_hex(key_id_bytes);
    const std::string secret = core::random_hex(secret_bytes);
    const std::string salt = core::random_hex(salt_bytes);
    const control::issue_key command{
        context.make_origin(),
        id,
        arguments[0],
        salt,
        core::key_digest(salt, secret)};
    const auto reply = context.client_.submit(command);
    json details{{"key_id", id}};
    const bool accepted = core::is_ok(reply) && core::value(reply).verdict_ ==
                                                    control::verdict::accepted;
    if (accepted)
    {
        details["key"] = "pr_" + id + "_" + secret;
    }
    return context.wait_and_print_reply(reply, std::move(details));
}

int key_withdraw(cli_context& context, const argument_list& arguments)
{
    // All hosts are told directly, since a zone may be cut off from the control
    // group and still be reachable from here.
    const json withdrawal{{"key_", arguments[0]}};
    const auto answers = context.client_.call_all(
        node::method::withdraw, core::encode_cbor(withdrawal));
    const auto hosts_told = std::count_if(
        answers.begin(),
        answers.end(),
        [](const core::result<std::string>& answer)
        {
            return core::is_ok(answer);
        });
    const control::withdraw_key command{context.make_origin(), arguments[0]};
    const auto reply = context.client_.submit(command);
    return context.wait_and_print_reply(
        reply,
        {{"hosts_told_directly", hosts_told},
         {"in_force_everywhere_by_wall_ms",
          withdrawal_in_force_wall_ms(context, arguments[0])}});
}

int key_list(cli_context& context, const argument_list&)
{
    const auto keys = context.read_state("keys");
    if (!core::is_ok(keys))
    {
        return context.print_error(core::failure(keys));
    }
    context.print_document(core::value(keys));
    return exit_done;
}

} // namespace poplarroute::main::ctl
