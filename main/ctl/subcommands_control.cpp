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
constexpr int promote_tries = 100;
constexpr core::duration promote_pause{200};

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
        std::cerr << "'" << text << "' is no host: name@ip:port\n";
        return false;
    }
    out = {text.substr(0, at), text.substr(at + 1)};
    return true;
}

core::result<node::identify_reply> identify(
    session& with, const std::string& address)
{
    const auto answer = with.link_.call(
        address,
        node::method::identify,
        core::to_bytes(node::identify_request()));
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    auto reply = core::from_bytes<node::identify_reply>(core::value(answer));
    if (!reply)
    {
        return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    return std::move(*reply);
}

bool same_members(
    const std::vector<node::member_facts>& left,
    const std::vector<node::member_facts>& right)
{
    return json(left) == json(right);
}

int change_group(
    session& with, const std::string& action, const node::member_facts& of)
{
    const node::group_request request{action, of.host_, of.store_};
    core::error last{core::errc::unreachable, "no host answers"};
    for (int tries = 0; tries < promote_tries; ++tries)
    {
        const auto answer = with.link_.call_any(
            node::method::change_group, core::to_bytes(request));
        if (core::is_ok(answer))
        {
            return exit_done;
        }
        last = core::failure(answer);
        const bool wait = last.code_ == core::errc::not_ready ||
                          last.code_ == core::errc::conflict ||
                          last.code_ == core::errc::not_leader;
        if (!wait)
        {
            break;
        }
        std::this_thread::sleep_for(promote_pause.chrono());
    }
    return with.fail(last);
}

} // namespace

int init(session& with, const words& given)
{
    node::bootstrap_request group;
    std::vector<named_host> hosts;
    std::vector<node::identify_reply> found;
    for (const std::string& text : given)
    {
        named_host host;
        if (!parse_host(text, host))
        {
            return exit_usage;
        }
        const auto reply = identify(with, host.address_);
        if (!core::is_ok(reply))
        {
            return with.fail(core::failure(reply));
        }
        group.members_.push_back({host.name_, core::value(reply).store_, true});
        hosts.push_back(host);
        found.push_back(core::value(reply));
    }
    std::sort(
        group.members_.begin(),
        group.members_.end(),
        [](const node::member_facts& left, const node::member_facts& right)
        {
            return left.host_ < right.host_;
        });
    for (const node::identify_reply& reply : found)
    {
        if (!reply.members_.empty() &&
            !same_members(reply.members_, group.members_))
        {
            return with.fail(
                {core::errc::conflict,
                 "a member has another group already: a lost disk is mended "
                 "with 'control replace'"});
        }
    }
    for (const named_host& host : hosts)
    {
        const auto answer = with.link_.call(
            host.address_, node::method::bootstrap, core::to_bytes(group));
        if (!core::is_ok(answer))
        {
            return with.fail(core::failure(answer));
        }
    }
    with.print({{"members", group.members_}});
    return exit_done;
}

int control_replace(session& with, const words& given)
{
    named_host host;
    if (!parse_host(given[0], host))
    {
        return exit_usage;
    }
    const auto fresh = identify(with, host.address_);
    const auto now = with.read("status");
    if (!core::is_ok(fresh) || !core::is_ok(now))
    {
        return with.fail(
            core::is_ok(fresh) ? core::failure(now) : core::failure(fresh));
    }
    const node::member_facts next{host.name_, core::value(fresh).store_, false};
    bool listed = false;
    for (const json& item : core::value(now)["members"])
    {
        const bool same = item["host"] == host.name_;
        if (same && item["store"] == next.store_ && item["voter"])
        {
            with.print({{"host", host.name_}, {"state", "voter"}});
            return exit_done;
        }
        if (same && item["store"] != next.store_)
        {
            const int removed = change_group(with, "remove", next);
            if (removed != exit_done)
            {
                return removed;
            }
            continue;
        }
        listed = listed || same;
    }
    for (const std::string action : {"add", "promote"})
    {
        if (action == "add" && listed)
        {
            continue;
        }
        const int changed = change_group(with, action, next);
        if (changed != exit_done)
        {
            return changed;
        }
    }
    with.print({{"host", host.name_}, {"state", "voter"}});
    return exit_done;
}

int certificates(session& with, const words& given)
{
    const words hosts(given.begin() + 1, given.end());
    const auto made =
        make_certificates(given[0], hosts, with.operator_, certificate_days);
    if (!core::is_ok(made))
    {
        return with.fail(core::failure(made));
    }
    std::cout << "made in " << given[0] << '\n';
    return exit_done;
}

} // namespace poplarroute::main::ctl
