#include "main/ctl/fleet_client.hpp"

#include <utility>

namespace poplarroute::main::ctl
{

namespace
{

constexpr core::duration call_deadline{12'000};
constexpr int rounds = 3;

drivers::asio::awaitable<void> call_into(
    drivers::peer_client& peers,
    std::string address,
    std::string method,
    std::string body,
    core::result<std::string>& out)
{
    out = co_await peers.call(
        std::move(address), std::move(method), std::move(body), call_deadline);
}

} // namespace

link::link(std::vector<std::string> hosts, drivers::tls_context tls)
    : hosts_(std::move(hosts)), peers_(io_, std::move(tls))
{
}

core::result<std::string> link::call(
    const std::string& address,
    const std::string& method,
    const std::string& body)
{
    core::result<std::string> out =
        core::error{core::errc::unreachable, "no answer from " + address};
    bool over = false;
    auto work = [&]() -> drivers::asio::awaitable<void>
    {
        co_await call_into(peers_, address, method, body, out);
        over = true;
    };
    drivers::spawn(io_, work());
    io_.restart();
    while (!over && io_.run_one() != 0)
    {
    }
    return out;
}

core::result<std::string> link::call_any(
    const std::string& method, const std::string& body)
{
    core::result<std::string> last =
        core::error{core::errc::unreachable, "no host is named: --hosts"};
    bool first = true;
    for (const std::string& host : hosts_)
    {
        core::result<std::string> answer = call(host, method, body);
        if (core::is_ok(answer))
        {
            return answer;
        }
        // Hosts without a disk do not know the control group's calls: what a
        // member says tells more.
        const bool tells = core::failure(answer).code_ != core::errc::not_found;
        if (first || tells)
        {
            last = std::move(answer);
            first = false;
        }
    }
    return last;
}

std::vector<core::result<std::string>> link::call_all(
    const std::string& method, const std::string& body)
{
    std::vector<core::result<std::string>> out(
        hosts_.size(), core::error{core::errc::unreachable, "no answer"});
    std::size_t over = 0;
    const auto one = [&](std::size_t at) -> drivers::asio::awaitable<void>
    {
        co_await call_into(peers_, hosts_[at], method, body, out[at]);
        ++over;
    };
    for (std::size_t at = 0; at < hosts_.size(); ++at)
    {
        drivers::spawn(io_, one(at));
    }
    io_.restart();
    while (over < hosts_.size() && io_.run_one() != 0)
    {
    }
    return out;
}

core::result<control::command_reply> link::submit(const control::command& order)
{
    const std::string body = control::encode(order);
    core::result<std::string> answer =
        core::error{core::errc::unreachable, "no host answers"};
    for (int round = 0; round < rounds && !core::is_ok(answer); ++round)
    {
        answer = call_any("operator.command", body);
    }
    if (!core::is_ok(answer))
    {
        return core::failure(answer);
    }
    auto reply = control::decode_reply(core::value(answer));
    if (!reply)
    {
        return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    return std::move(*reply);
}

} // namespace poplarroute::main::ctl
