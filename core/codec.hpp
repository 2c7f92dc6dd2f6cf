#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarroute::core
{

/// \return a CBOR byte string with any bytes.
inline nlohmann::json binary(const std::string& bytes)
{
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

/// Returns the bytes of a CBOR byte string, as made by binary().
/// \throws nlohmann::json::exception when the document is not a byte string.
inline std::string text_of(const nlohmann::json& document)
{
    const auto& bytes = document.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Encodes a typed message as CBOR.
/// \param message an object of any type that has nlohmann's to_json.
template <class Message>
std::string encode_cbor(const Message& message)
{
    std::string out;
    nlohmann::json::to_cbor(nlohmann::json(message), out);
    return out;
}

/// Parses CBOR from an untrusted source.
/// \return nothing when the bytes are not well formed.
inline std::optional<nlohmann::json> parse_cbor(std::string_view bytes)
{
    // from_cbor throws on some malformed sizes even with exceptions disabled.
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

/// Decodes a message that encode_cbor() wrote.
/// \return nothing when the bytes are not well formed or do not fit the type.
template <class Message>
std::optional<Message> decode_cbor(std::string_view bytes)
{
    const std::optional<nlohmann::json> document = parse_cbor(bytes);
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
