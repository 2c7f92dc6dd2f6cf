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

/// Deepest nesting of arrays and maps in CBOR from other processes. Parsing
/// uses the stack for each level.
inline constexpr std::size_t max_cbor_depth = 64;

/// Limit on the values in one CBOR document from another process; a value takes
/// a byte there and many times as much in memory.
inline constexpr std::size_t max_cbor_values = 4'000'000;

/// Parses CBOR from an untrusted source.
/// \return nothing when the bytes are not well formed, are nested more than
/// max_cbor_depth deep, hold more than max_cbor_values values or any
/// floating-point number.
std::optional<nlohmann::json> parse_cbor(std::string_view bytes);

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
