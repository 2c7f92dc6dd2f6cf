#include "node/control_client.hpp"

#include <algorithm>

#include "core/digest.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;

namespace
{

constexpr core::duration attempt_timeout{4'500};
constexpr core::duration retry_delay{60};
constexpr std::size_t command_id_bytes = 12;
constexpr core::duration operator_timeout{10'000};

} // namespace

control::command_origin make_command_origin(const std::string& sender)
{
    return {core::random_hex(command_id_bytes), sender, core::wall_ms()};
}

control_client::control_client(context& with, replica* local_replica)
    : with_(with), local_replica_(local_replica)
{
}

void control_client::start()
{
    with_.calls_.add(
        method::command,
        allowed_callers::host,
        [this](drivers::peer_identity, std::string body)
            -> awaitable<core::result<std::string>>
        {
            if (local_replica_ == nullptr)
            {
                co_return error{errc::not_leader, leader_};
            }
            const auto reply = co_await local_replica_->submit(std::move(body));
            if (!core::is_ok(reply))
            {
                co_return core::failure(reply);
            }
            co_return control::encode(core::value(reply));
        });
    with_.calls_.add(
        "operator.command",
        allowed_callers::operator_or_host,
        [this](drivers::peer_identity, std::string body)
            -> awaitable<core::result<std::string>>
        {
            const auto command = control::decode_command(body);
            if (!command)
            {
                co_return error{errc::invalid, "the command cannot be read"};
            }
            const auto reply = co_await submit(*command, operator_timeout);
            if (!core::is_ok(reply))
            {
                co_return core::failure(reply);
            }
            co_return control::encode(core::value(reply));
        });
}

core::host_id control_client::next_candidate(std::size_t attempt) const
{
    const std::vector<core::host_id> all = with_.control_hosts();
    return all.empty() ? core::host_id() : all[attempt % all.size()];
}

awaitable<core::result<control::command_reply>> control_client::submit_to(
    core::host_id host, std::string bytes, core::duration timeout)
{
    if (local_replica_ != nullptr && host == with_.identity().host_)
    {
        co_return co_await local_replica_->submit(std::move(bytes));
    }
    const auto address = with_.address_of(host);
    if (!address)
    {
        co_return error{errc::unreachable, "no address of " + host};
    }
    const auto response = co_await with_.peers_.call(
        *address,
        method::command,
        std::move(bytes),
        std::min(timeout, attempt_timeout));
    if (!core::is_ok(response))
    {
        co_return core::failure(response);
    }
    auto reply = control::decode_reply(core::value(response));
    if (!reply)
    {
        co_return error{errc::invalid, "the reply cannot be read"};
    }
    co_return std::move(*reply);
}

awaitable<core::result<control::command_reply>> control_client::submit(
    control::command command, core::duration timeout)
{
    const std::string bytes = control::encode(command);
    const core::time_point deadline = core::steady_now() + timeout;
    core::result<control::command_reply> last =
        error{errc::not_ready, "no control host is known"};
    for (std::size_t attempt = 0; core::steady_now() < deadline; ++attempt)
    {
        const core::host_id host =
            leader_.empty() ? next_candidate(attempt) : leader_;
        if (host.empty())
        {
            co_return last;
        }
        last = co_await submit_to(host, bytes, deadline - core::steady_now());
        if (core::is_ok(last))
        {
            leader_ = host;
            co_return last;
        }
        const error& why = core::failure(last);
        const bool redirected = why.code_ == errc::not_leader &&
                                !why.message_.empty() && why.message_ != host;
        leader_ = redirected ? why.message_ : core::host_id();
        if (!redirected)
        {
            co_await drivers::sleep_for(retry_delay);
        }
    }
    co_return last;
}

} // namespace poplarroute::node
