#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
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

/// An array in JSON text, split into the texts of its elements.
struct json_array
{
    /// Texts of the elements, in their order and without blanks around them;
    /// some may be no JSON. They point into the text that was split.
    std::vector<std::string_view> elements_;

    /// The text of the object, with the array empty.
    std::string others_;
};

/// Splits an array in JSON text into the texts of its elements: one that is
/// malformed or cut off does not affect the others. Behind an element whose end
/// cannot be told, the next one is the first text that `is_element` accepts.
/// \param object_text an object that has the array as a member; the members
/// before and after the array must be well-formed.
/// \param other_array name of a member that may be an array too; empty if the
/// object has no other arrays.
/// \param is_element called with texts of JSON values.
/// \return nothing when the text is no such object, or does not end.
std::optional<json_array> split_json_array(
    std::string_view object_text,
    std::string_view member,
    std::string_view other_array,
    const std::function<bool(std::string_view)>& is_element);

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
