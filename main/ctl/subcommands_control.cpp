#include "main/ctl/subcommands.hpp"

#include <algorithm>
#include <iostream>
#include <thread>

#include "core/codec.hpp"
#include "core/ini.hpp"
#include "main/ctl/certificates.hpp"
#include "node/replica_messages.hpp"

namespace poplarroute::main::ctl
{

using nlohmann::json;

namespace
{

constexpr int certificate_days = 365;
constexpr int max_group_change_tries = 100;
constexpr core::duration group_change_retry_pause{200};

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
        std::cerr << "'" << text
                  << "' is not a host of the form name@ip:port\n";
        return false;
    }
    out = {text.substr(0, at), text.substr(at + 1)};
    return true;
}

core::result<node::identify_reply> identify(
    cli_context& context, const std::string& address)
{
    const auto answer = context.client_.call(
        address,
        node::method::identify,
        core::encode_cbor(node::identify_request()));
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    auto reply = core::decode_cbor<node::identify_reply>(core::value(answer));
    if (!reply)
    {
        return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    return std::move(*reply);
}

bool same_members(
    const std::vector<node::member_info>& left,
    const std::vector<node::member_info>& right)
{
    return json(left) == json(right);
}

int change_group(
    cli_context& context,
    const std::string& action,
    const node::member_info& member)
{
    const node::group_change_request request{
        action, member.host_, member.store_};
    core::error last_error{core::errc::unreachable, "no host answers"};
    for (int attempt = 0; attempt < max_group_change_tries; ++attempt)
    {
        const auto answer = context.client_.call_any(
            node::method::change_group, core::encode_cbor(request));
        if (core::is_ok(answer))
        {
            return exit_done;
        }
        last_error = core::failure(answer);
        const bool is_retryable = last_error.code_ == core::errc::not_ready ||
                                  last_error.code_ == core::errc::conflict ||
                                  last_error.code_ == core::errc::not_leader;
        if (!is_retryable)
        {
            break;
        }
        std::this_thread::sleep_for(group_change_retry_pause.chrono());
    }
    return context.print_error(last_error);
}

} // namespace

int init(cli_context& context, const argument_list& arguments)
{
    node::bootstrap_request group;
    std::vector<named_host> hosts;
    std::vector<node::identify_reply> replies;
    for (const std::string& text : arguments)
    {
        named_host host;
        if (!parse_host(text, host))
        {
            return exit_usage;
        }
        const auto reply = identify(context, host.address_);
        if (!core::is_ok(reply))
        {
            return context.print_error(core::failure(reply));
        }
        group.members_.push_back({host.name_, core::value(reply).store_, true});
        hosts.push_back(host);
        replies.push_back(core::value(reply));
    }
    std::sort(
        group.members_.begin(),
        group.members_.end(),
        [](const node::member_info& left, const node::member_info& right)
        {
            return left.host_ < right.host_;
        });
    for (const node::identify_reply& reply : replies)
    {
        if (!reply.members_.empty() &&
            !same_members(reply.members_, group.members_))
        {
            return context.print_error(
                {core::errc::conflict,
                 "a member already belongs to another group; use 'control "
                 "replace' for a member whose disk was lost"});
        }
    }
    for (const named_host& host : hosts)
    {
        const auto answer = context.client_.call(
            host.address_, node::method::bootstrap, core::encode_cbor(group));
        if (!core::is_ok(answer))
        {
            return context.print_error(core::failure(answer));
        }
    }
    context.print_document({{"members", group.members_}});
    return exit_done;
}

int control_replace(cli_context& context, const argument_list& arguments)
{
    named_host host;
    if (!parse_host(arguments[0], host))
    {
        return exit_usage;
    }
    const auto identity = identify(context, host.address_);
    const auto status = context.read_state("status");
    if (!core::is_ok(identity) || !core::is_ok(status))
    {
        return context.print_error(
            core::is_ok(identity) ? core::failure(status)
                                  : core::failure(identity));
    }
    const node::member_info replacement{
        host.name_, core::value(identity).store_, false};
    bool listed = false;
    for (const json& item : core::value(status)["members"])
    {
        const bool is_same_host = item["host"] == host.name_;
        if (is_same_host && item["store"] == replacement.store_ &&
            item["voter"])
        {
            context.print_document({{"host", host.name_}, {"state", "voter"}});
            return exit_done;
        }
        if (is_same_host && item["store"] != replacement.store_)
        {
            const int removed = change_group(context, "remove", replacement);
            if (removed != exit_done)
            {
                return removed;
            }
            continue;
        }
        listed = listed || is_same_host;
    }
    for (const std::string action : {"add", "promote"})
    {
        if (action == "add" && listed)
        {
            continue;
        }
        const int changed = change_group(context, action, replacement);
        if (changed != exit_done)
        {
            return changed;
        }
    }
    context.print_document({{"host", host.name_}, {"state", "voter"}});
    return exit_done;
}

int certificates(cli_context& context, const argument_list& arguments)
{
    const argument_list hosts(arguments.begin() + 1, arguments.end());
    const auto result = make_certificates(
        arguments[0], hosts, context.operator_name_, certificate_days);
    if (!core::is_ok(result))
    {
        return context.print_error(core::failure(result));
    }
    std::cout << "certificates written to " << arguments[0] << '\n';
    return exit_done;
}

} // namespace poplarroute::main::ctl
