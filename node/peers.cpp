#include "node/peers.hpp"

namespace poplarroute::node
{

void call_dispatcher::add(
    const std::string& name, allowed_callers allowed, handler handle)
{
    entries_[name] = {allowed, std::move(handle)};
}

awaitable<core::result<std::string>> call_dispatcher::answer(
    drivers::peer_identity from, std::string name, std::string body)
{
    const auto found = entries_.find(name);
    if (found == entries_.end())
    {
        co_return core::error{core::errc::not_found, "no such call: " + name};
    }
    // Unencrypted connections over loopback have the identity "plain", which
    // may make every call.
    const bool is_operator = from.role_ == "operator";
    const bool plain = is_operator && from.name_ == "plain";
    const bool allowed = from.role_ == "host" || plain ||
                         (is_operator && found->second.allowed_ ==
                                             allowed_callers::operator_or_host);
    if (!allowed)
    {
        co_return core::error{core::errc::denied, "not for this certificate"};
    }
    ++counts_[name];
    co_return co_await found->second.handle_(std::move(from), std::move(body));
}

} // namespace poplarroute::node
