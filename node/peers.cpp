#include "node/peers.hpp"

namespace poplarroute::node
{

void call_table::add(
    const std::string& name, caller_kind allowed, handler answer)
{
    entries_[name] = {allowed, std::move(answer)};
}

awaitable<core::result<std::string>> call_table::answer(
    drivers::peer_identity from, std::string name, std::string body)
{
    const auto found = entries_.find(name);
    if (found == entries_.end())
    {
        co_return core::error{core::errc::not_found, "no such call: " + name};
    }
    // Plain text on loopback comes with an identity that may do everything.
    const bool is_operator = from.role_ == "operator";
    const bool plain = is_operator && from.name_ == "plain";
    const bool allowed = from.role_ == "host" || plain ||
                         (is_operator && found->second.allowed_ ==
                                             caller_kind::operator_or_host);
    if (!allowed)
    {
        co_return core::error{core::errc::denied, "not for this certificate"};
    }
    co_return co_await found->second.answer_(std::move(from), std::move(body));
}

} // namespace poplarroute::node
