#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarroute::core
{

/// Deepest nesting of arrays and objects in JSON text from other processes.
/// Copying or printing a value uses the stack for each level.
inline constexpr std::size_t max_json_depth = 64;

/// Parses JSON text from an untrusted source.
/// \return nothing when it is malformed, contains a number that no double can
/// hold, or is nested more than max_json_depth deep.
std::optional<nlohmann::json> parse_json(std::string_view text);

/// Splits an array in JSON text into the texts of its elements, without parsing
/// them: one that cannot be parsed does not affect the others.
/// \param object_text an object that has the array as a member.
/// \return nothing when the text is no such object, or does not end.
std::optional<std::vector<std::string_view>> split_json_array(
    std::string_view object_text, std::string_view member);

/// \return the text of an object's member; nothing when the text is no object,
/// does not end, or has no such member.
std::optional<std::string_view> find_json_member(
    std::string_view object_text, std::string_view member);

/// \return the number without its fraction, or the nearest that fits.
/// \throws nlohmann::json::exception when the value is no number.
std::int64_t to_integer(const nlohmann::json& value);
std::int64_t to_integer(double value);

/// \return to_integer() of an object's member, or the fallback if there is
/// none.
/// \throws nlohmann::json::exception when the member is no number.
std::int64_t integer_or(
    const nlohmann::json& object, const char* member, std::int64_t fallback);

} // namespace poplarroute::core
