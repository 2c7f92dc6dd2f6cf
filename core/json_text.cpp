#include "core/json_text.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplarroute::core
{

namespace
{

/// Finds the ends of values in JSON text, without checking the values.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) : text_(text) {}

    /// Skips blanks.
    /// \return the next character; 0 at the end of the text.
    char peek()
    {
        const std::size_t next = text_.find_first_not_of(" \t\r\n", at_);
        at_ = next == std::string_view::npos ? text_.size() : next;
        return at_ < text_.size() ? text_[at_] : '\0';
    }

    /// \return whether the next character is the given one, which is skipped.
    bool skip(char expected)
    {
        const bool is_next = peek() == expected;
        at_ += is_next ? 1 : 0;
        return is_next;
    }

    /// Skips one value.
    /// \return its text; empty, at its position, when there is none, or it does
    /// not end.
    std::string_view skip_value()
    {
        peek();
        const std::size_t begin = at_;
        std::size_t depth = 0;
        while (at_ < text_.size())
        {
            const char next = text_[at_];
            const bool ends_outside =
                depth == 0 && (next == ',' || next == ']' || next == '}');
            if (ends_outside)
            {
                break;
            }
            if (next == '"' && !skip_string())
            {
                return text_.substr(begin, 0);
            }
            if (next == '"')
            {
                continue;
            }
            ++at_;
            if (next == '{' || next == '[')
            {
                ++depth;
                deepest_ = std::max(deepest_, depth);
            }
            else if (next == '}' || next == ']')
            {
                --depth;
            }
        }
        return text_.substr(begin, depth == 0 ? at_ - begin : 0);
    }

    /// Skips a string.
    /// \return whether there is one that ends.
    bool skip_name()
    {
        return peek() == '"' && skip_string();
    }

    std::size_t position() const
    {
        return at_;
    }

    /// \return the deepest nesting in the values that were skipped.
    std::size_t deepest() const
    {
        return deepest_;
    }

private:
    bool skip_string()
    {
        for (++at_; at_ < text_.size(); ++at_)
        {
            if (text_[at_] == '\\')
            {
                ++at_;
            }
            else if (text_[at_] == '"')
            {
                ++at_;
                return true;
            }
        }
        return false;
    }

    std::string_view text_;
    std::size_t at_ = 0;
    std::size_t deepest_ = 0;
};

/// \return the text of a value without the blanks after it.
std::string_view trim_end(std::string_view text)
{
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

} // namespace

std::optional<nlohmann::json> parse_json(std::string_view text)
{
    json_scanner scanner(text);
    scanner.skip_value();
    if (scanner.deepest() > max_json_depth)
    {
        return std::nullopt;
    }
    nlohmann::json out = nlohmann::json::parse(text, nullptr, false);
    if (out.is_discarded())
    {
        return std::nullopt;
    }
    return out;
}

std::optional<std::string_view> find_json_member(
    std::string_view object_text, std::string_view member)
{
    json_scanner scanner(object_text);
    if (!scanner.skip('{'))
    {
        return std::nullopt;
    }
    std::optional<std::string_view> found;
    while (!scanner.skip('}'))
    {
        if (scanner.peek() != '"')
        {
            return std::nullopt;
        }
        const std::size_t begin = scanner.position();
        if (!scanner.skip_name())
        {
            return std::nullopt;
        }
        const std::string_view name =
            object_text.substr(begin, scanner.position() - begin);
        if (!scanner.skip(':'))
        {
            return std::nullopt;
        }
        const std::string_view value = trim_end(scanner.skip_value());
        if (value.empty())
        {
            return std::nullopt;
        }
        if (name.size() == member.size() + 2 &&
            name.substr(1, member.size()) == member)
        {
            found = value;
        }
        if (!scanner.skip(',') && scanner.peek() != '}')
        {
            return std::nullopt;
        }
    }
    return found;
}

std::optional<std::vector<std::string_view>> split_json_array(
    std::string_view object_text, std::string_view member)
{
    const std::optional<std::string_view> array =
        find_json_member(object_text, member);
    if (!array)
    {
        return std::nullopt;
    }
    json_scanner scanner(*array);
    if (!scanner.skip('['))
    {
        return std::nullopt;
    }
    std::vector<std::string_view> out;
    while (scanner.peek() != ']')
    {
        const std::string_view element = trim_end(scanner.skip_value());
        out.push_back(element);
        if (!scanner.skip(',') && scanner.peek() != ']')
        {
            return std::nullopt;
        }
    }
    return out;
}

std::int64_t to_integer(double value)
{
    // The largest integers are no doubles, so the bounds are powers of two.
    constexpr double bound = 9223372036854775808.0;
    if (std::isnan(value))
    {
        return 0;
    }
    if (value >= bound)
    {
        return std::numeric_limits<std::int64_t>::max();
    }
    return value < -bound ? std::numeric_limits<std::int64_t>::min()
                          : static_cast<std::int64_t>(value);
}

std::int64_t to_integer(const nlohmann::json& value)
{
    if (value.is_number_unsigned())
    {
        constexpr auto max = static_cast<std::uint64_t>(
            std::numeric_limits<std::int64_t>::max());
        return static_cast<std::int64_t>(
            std::min(value.get<std::uint64_t>(), max));
    }
    if (value.is_number_integer())
    {
        return value.get<std::int64_t>();
    }
    return to_integer(value.get<double>());
}

std::int64_t integer_or(
    const nlohmann::json& object, const char* member, std::int64_t fallback)
{
    const auto found = object.find(member);
    return found == object.end() || found->is_null() ? fallback
                                                     : to_integer(*found);
}

} // namespace poplarroute::core
