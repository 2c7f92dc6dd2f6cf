#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/codec.hpp"
#include "core/result.hpp"
#include "drivers/peer_channel.hpp"

namespace poplarroute::node
{

using drivers::asio::awaitable;

/// Peers that may make a call.
enum class allowed_callers
{
    host,
    operator_or_host,
};

/// Handlers of the calls that this process answers. Each controller registers
/// its own.
class call_dispatcher
{
public:
    using handler = std::function<awaitable<core::result<std::string>>(
        drivers::peer_identity from, std::string body)>;

    /// Registers a handler that takes and returns raw bytes.
    void add(const std::string& name, allowed_callers allowed, handler handle);

    /// Registers a handler that takes and returns typed messages.
    template <class Request, class Reply, class Handler>
    void add_typed(
        const std::string& name, allowed_callers allowed, Handler handle)
    {
        add(name,
            allowed,
            [handle](drivers::peer_identity from, std::string body)
                -> awaitable<core::result<std::string>>
            {
                const auto request = core::decode_cbor<Request>(body);
                if (!request)
                {
                    co_return core::error{
                        core::errc::invalid, "the message cannot be read"};
                }
                core::result<Reply> reply = co_await handle(from, *request);
                if (!core::is_ok(reply))
                {
                    co_return core::failure(reply);
                }
                co_return core::encode_cbor(core::value(reply));
            });
    }

    /// Passes an incoming call to its handler.
    /// \return the handler's reply or error; not_found when the call is not
    /// registered, and denied when its sender may not make it.
    awaitable<core::result<std::string>> answer(
        drivers::peer_identity from, std::string name, std::string body);

    /// \return how often each registered call was made, by its name.
    const std::map<std::string, std::uint64_t>& counts() const
    {
        return counts_;
    }

private:
    struct entry
    {
        allowed_callers allowed_ = allowed_callers::host;
        handler handle_;
    };

    std::map<std::string, entry> entries_;
    std::map<std::string, std::uint64_t> counts_;
};

/// Calls a peer with typed messages.
/// \param timeout maximum time for the whole call.
/// \return the reply, or the error of the call or the peer.
template <class Reply, class Request>
awaitable<core::result<Reply>> ask(
    drivers::peer_client& peers,
    std::string address,
    std::string name,
    Request request,
    core::duration timeout)
{
    core::result<std::string> response = co_await peers.call(
        std::move(address),
        std::move(name),
        core::encode_cbor(request),
        timeout);
    if (!core::is_ok(response))
    {
        co_return core::failure(response);
    }
    auto reply = core::decode_cbor<Reply>(core::value(response));
    if (!reply)
    {
        co_return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    co_return std::move(*reply);
}

/// Reply without content, which only acknowledges a call.
struct empty_reply
{
};

inline void to_json(nlohmann::json& out, const empty_reply&)
{
    out = nlohmann::json::object();
}

inline void from_json(const nlohmann::json&, empty_reply&) {}

} // namespace poplarroute::node
