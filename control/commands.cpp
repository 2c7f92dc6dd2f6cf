#include "control/commands.hpp"

#include "control/commands_json.hpp"
#include "core/result.hpp"

namespace poplarroute::control
{

static void to_json(nlohmann::json& out, const command& request)
{
    nlohmann::json body;
    std::visit(
        [&](const auto& item)
        {
            body = item;
        },
        request);
    out = {request.index(), std::move(body)};
}

template <std::size_t Kind = 0>
static command read_command(std::size_t kind, const nlohmann::json& in)
{
    if constexpr (Kind < std::variant_size_v<command>)
    {
        if (kind == Kind)
        {
            return in.get<std::variant_alternative_t<Kind, command>>();
        }
        return read_command<Kind + 1>(kind, in);
    }
    throw nlohmann::json::other_error::create(
        501, "unknown kind of command", &in);
}

static void from_json(const nlohmann::json& in, command& request)
{
    request = read_command(in.at(0).get<std::size_t>(), in.at(1));
}

std::string encode(const command& request)
{
    nlohmann::json document;
    to_json(document, request);
    std::string out;
    nlohmann::json::to_cbor(document, out);
    return out;
}

std::optional<command> decode_command(std::string_view bytes)
{
    const std::optional<nlohmann::json> document = core::parse_cbor(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    try
    {
        command request;
        from_json(*document, request);
        return request;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

std::string encode(const command_reply& reply)
{
    return core::encode_cbor(reply);
}

std::optional<command_reply> decode_reply(std::string_view bytes)
{
    return core::decode_cbor<command_reply>(bytes);
}

const command_origin* origin_of(const command& request)
{
    using origin = const command_origin*;
    return std::visit(
        core::overloaded{
            [](const claim_call&) -> origin
            {
                return nullptr;
            },
            [](const record_outcome&) -> origin
            {
                return nullptr;
            },
            [](const abandon_claim&) -> origin
            {
                return nullptr;
            },
            [](const auto& item) -> origin
            {
                return &item.origin_;
            }},
        request);
}

std::string_view name_of(verdict value)
{
    switch (value)
    {
    case verdict::accepted:
        return "accepted";
    case verdict::conflict:
        return "conflict";
    case verdict::invalid:
        return "invalid";
    case verdict::granted:
        return "granted";
    case verdict::in_progress:
        return "in_progress";
    case verdict::recorded:
        return "recorded";
    case verdict::mismatch:
        return "mismatch";
    }
    return "invalid";
}

} // namespace poplarroute::control
