#include "main/ctl/fleet_client.hpp"

#include <utility>

namespace poplarroute::main::ctl
{

namespace
{

constexpr core::duration call_timeout{12'000};
constexpr int max_submit_rounds = 3;

drivers::asio::awaitable<void> call_and_store(
    drivers::peer_client& peers,
    std::string address,
    std::string method,
    std::string body,
    core::result<std::string>& out)
{
    out = co_await peers.call(
        std::move(address), std::move(method), std::move(body), call_timeout);
}

} // namespace

fleet_client::fleet_client(
    std::vector<std::string> hosts, drivers::tls_context tls)
    : hosts_(std::move(hosts)), peers_(io_, std::move(tls))
{
}

core::result<std::string> fleet_client::call(
    const std::string& address,
    const std::string& method,
    const std::string& body)
{
    core::result<std::string> out =
        core::error{core::errc::unreachable, "no answer from " + address};
    bool finished = false;
    auto work = [&]() -> drivers::asio::awaitable<void>
    {
        co_await call_and_store(peers_, address, method, body, out);
        finished = true;
    };
    drivers::spawn(io_, work());
    io_.restart();
    while (!finished && io_.run_one() != 0)
    {
    }
    return out;
}

core::result<std::string> fleet_client::call_any(
    const std::string& method, const std::string& body)
{
    core::result<std::string> last_error =
        core::error{core::errc::unreachable, "no hosts are given; use --hosts"};
    bool is_first = true;
    for (const std::string& host : hosts_)
    {
        core::result<std::string> answer = call(host, method, body);
        if (core::is_ok(answer))
        {
            return answer;
        }
        // Hosts without a disk are not members of the control group and answer
        // its calls with not_found; a member's error is more informative.
        const bool is_informative =
            core::failure(answer).code_ != core::errc::not_found;
        if (is_first || is_informative)
        {
            last_error = std::move(answer);
            is_first = false;
        }
    }
    return last_error;
}

std::vector<core::result<std::string>> fleet_client::call_all(
    const std::string& method, const std::string& body)
{
    std::vector<core::result<std::string>> out(
        hosts_.size(), core::error{core::errc::unreachable, "no answer"});
    std::size_t finished_count = 0;
    const auto call_host =
        [&](std::size_t index) -> drivers::asio::awaitable<void>
    {
        co_await call_and_store(
            peers_, hosts_[index], method, body, out[index]);
        ++finished_count;
    };
    for (std::size_t index = 0; index < hosts_.size(); ++index)
    {
        drivers::spawn(io_, call_host(index));
    }
    io_.restart();
    while (finished_count < hosts_.size() && io_.run_one() != 0)
    {
    }
    return out;
}

core::result<control::command_reply> fleet_client::submit(
    const control::command& command)
{
    const std::string body = control::encode(command);
    core::result<std::string> answer =
        core::error{core::errc::unreachable, "no host answers"};
    for (int round = 0; round < max_submit_rounds && !core::is_ok(answer);
         ++round)
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
