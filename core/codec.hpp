#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarroute::core
{

/// Encodes a typed message as CBOR.
/// \param message of any type with nlohmann's to_json.
template <class Message>
std::string to_bytes(const Message& message)
{
    std::string out;
    nlohmann::json::to_cbor(nlohmann::json(message), out);
    return out;
}

/// Reads CBOR that may come from a stranger.
/// \return nothing when the bytes are not well formed.
inline std::optional<nlohmann::json> parse_bytes(std::string_view bytes)
{
    // Some malformed sizes throw even where the parser is told not to.
    try
    {
        nlohmann::json document =
            nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (document.is_discarded())
        {
            return std::nullopt;
        }
        return document;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

/// Reads what to_bytes wrote.
/// \return nothing when the bytes are not well formed or do not fit the type.
template <class Message>
std::optional<Message> from_bytes(std::string_view bytes)
{
    const std::optional<nlohmann::json> document = parse_bytes(bytes);
    if (!document)
    {
        return std::nullopt;
    }
    try
    {
        return document->get<Message>();
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::core
