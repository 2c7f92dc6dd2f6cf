#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarroute::core
{

/// \return text that may hold any bytes, as a byte string of CBOR.
inline nlohmann::json binary(const std::string& bytes)
{
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

/// Reads what binary wrote.
/// \throws nlohmann::json::exception when it is no byte string.
inline std::string text_of(const nlohmann::json& document)
{
    const auto& bytes = document.get_binary();
    return {bytes.begin(), bytes.end()};
}

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
