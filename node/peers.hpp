#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/codec.hpp"
#include "core/result.hpp"
#include "drivers/peer_channel.hpp"

namespace poplarroute::node
{

using drivers::asio::awaitable;

/// Who may make a call.
enum class caller_kind
{
    host,
    operator_or_host,
};

/// The calls that this process answers. Each controller registers its own.
class call_table
{
public:
    using handler = std::function<awaitable<core::result<std::string>>(
        drivers::peer_identity from, std::string body)>;

    /// Registers a call whose body is passed on as bytes.
    void add(const std::string& name, caller_kind allowed, handler answer);

    /// Registers a call with typed messages.
    template <class Request, class Reply, class Answer>
    void add_typed(const std::string& name, caller_kind allowed, Answer answer)
    {
        add(name,
            allowed,
            [answer](drivers::peer_identity from, std::string body)
                -> awaitable<core::result<std::string>>
            {
                const auto request = core::decode_cbor<Request>(body);
                if (!request)
                {
                    co_return core::error{
                        core::errc::invalid, "the message cannot be read"};
                }
                core::result<Reply> reply = co_await answer(from, *request);
                if (!core::is_ok(reply))
                {
                    co_return core::failure(reply);
                }
                co_return core::encode_cbor(core::value(reply));
            });
    }

    /// Answers a call that came in.
    awaitable<core::result<std::string>> answer(
        drivers::peer_identity from, std::string name, std::string body);

private:
    struct entry
    {
        caller_kind allowed_ = caller_kind::host;
        handler answer_;
    };

    std::map<std::string, entry> entries_;
};

/// Makes a call with typed messages.
/// \param deadline how long it may take.
/// \return the reply, or the error of the call or the peer.
template <class Reply, class Request>
awaitable<core::result<Reply>> ask(
    drivers::peer_client& peers,
    std::string address,
    std::string name,
    Request request,
    core::duration deadline)
{
    core::result<std::string> answer = co_await peers.call(
        std::move(address),
        std::move(name),
        core::encode_cbor(request),
        deadline);
    if (!core::is_ok(answer))
    {
        co_return core::failure(answer);
    }
    auto reply = core::decode_cbor<Reply>(core::value(answer));
    if (!reply)
    {
        co_return core::error{core::errc::invalid, "the reply cannot be read"};
    }
    co_return std::move(*reply);
}

/// The reply of a call that only confirms.
struct empty_reply
{
};

inline void to_json(nlohmann::json& out, const empty_reply&)
{
    out = nlohmann::json::object();
}

inline void from_json(const nlohmann::json&, empty_reply&) {}

} // namespace poplarroute::node
