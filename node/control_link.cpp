#include "node/control_link.hpp"

#include <algorithm>

#include "core/digest.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;

namespace
{

constexpr core::duration one_try{4'500};
constexpr core::duration pause{60};
constexpr std::size_t command_id_bytes = 12;
constexpr core::duration operator_patience{10'000};

} // namespace

control::command_origin new_origin(const std::string& sender)
{
    return {core::random_hex(command_id_bytes), sender, core::wall_ms()};
}

control_link::control_link(context& with, replica* own) : with_(with), own_(own)
{
}

void control_link::start()
{
    with_.calls_.add(
        method::command,
        caller_kind::host,
        [this](drivers::peer_identity, std::string body)
            -> awaitable<core::result<std::string>>
        {
            if (own_ == nullptr)
            {
                co_return error{errc::not_leader, leader_};
            }
            const auto reply = co_await own_->submit(std::move(body));
            if (!core::is_ok(reply))
            {
                co_return core::failure(reply);
            }
            co_return control::encode(core::value(reply));
        });
    with_.calls_.add(
        "operator.command",
        caller_kind::operator_or_host,
        [this](drivers::peer_identity, std::string body)
            -> awaitable<core::result<std::string>>
        {
            const auto order = control::decode_command(body);
            if (!order)
            {
                co_return error{errc::invalid, "the command cannot be read"};
            }
            const auto reply = co_await submit(*order, operator_patience);
            if (!core::is_ok(reply))
            {
                co_return core::failure(reply);
            }
            co_return control::encode(core::value(reply));
        });
}

core::host_id control_link::next_candidate(std::size_t attempt) const
{
    const std::vector<core::host_id> all = with_.control_hosts();
    return all.empty() ? core::host_id() : all[attempt % all.size()];
}

awaitable<core::result<control::command_reply>> control_link::submit_to(
    core::host_id host, std::string bytes, core::duration most)
{
    if (own_ != nullptr && host == with_.identity().host_)
    {
        co_return co_await own_->submit(std::move(bytes));
    }
    const auto address = with_.address_of(host);
    if (!address)
    {
        co_return error{errc::unreachable, "no address of " + host};
    }
    const auto answer = co_await with_.peers_.call(
        *address, method::command, std::move(bytes), std::min(most, one_try));
    if (!core::is_ok(answer))
    {
        co_return core::failure(answer);
    }
    auto reply = control::decode_reply(core::value(answer));
    if (!reply)
    {
        co_return error{errc::invalid, "the reply cannot be read"};
    }
    co_return std::move(*reply);
}

awaitable<core::result<control::command_reply>> control_link::submit(
    control::command order, core::duration most)
{
    const std::string bytes = control::encode(order);
    const core::time_point until = core::steady_now() + most;
    core::result<control::command_reply> last =
        error{errc::not_ready, "no control host is known"};
    for (std::size_t attempt = 0; core::steady_now() < until; ++attempt)
    {
        const core::host_id host =
            leader_.empty() ? next_candidate(attempt) : leader_;
        if (host.empty())
        {
            co_return last;
        }
        last = co_await submit_to(host, bytes, until - core::steady_now());
        if (core::is_ok(last))
        {
            leader_ = host;
            co_return last;
        }
        const error& why = core::failure(last);
        const bool told = why.code_ == errc::not_leader &&
                          !why.message_.empty() && why.message_ != host;
        leader_ = told ? why.message_ : core::host_id();
        if (!told)
        {
            co_await drivers::sleep_for(pause);
        }
    }
    co_return last;
}

} // namespace poplarroute::node
