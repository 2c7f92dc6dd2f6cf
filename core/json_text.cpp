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
    /// \return its text; empty, at its position, when there is none, its
    /// brackets do not match, or it does not end.
    std::string_view skip_value()
    {
        peek();
        const std::size_t begin = at_;
        std::string open;
        while (at_ < text_.size())
        {
            const char next = text_[at_];
            const bool closes = next == ']' || next == '}';
            if (open.empty() && (closes || next == ','))
            {
                return text_.substr(begin, at_ - begin);
            }
            if (next == '"')
            {
                if (!skip_string())
                {
                    break;
                }
                continue;
            }
            if (next == '{' || next == '[')
            {
                open.push_back(next == '{' ? '}' : ']');
                deepest_ = std::max(deepest_, open.size());
            }
            else if (closes)
            {
                if (open.back() != next)
                {
                    break;
                }
                open.pop_back();
            }
            ++at_;
        }
        const bool ends = at_ == text_.size() && open.empty();
        return text_.substr(begin, ends ? at_ - begin : 0);
    }

    /// Skips the name of an object's member and the colon after it.
    /// \return the name without its quotes; nothing when there is none.
    std::optional<std::string_view> skip_name()
    {
        const bool begins = peek() == '"';
        const std::size_t begin = at_ + 1;
        if (!begins || !skip_string())
        {
            return std::nullopt;
        }
        const std::string_view name = text_.substr(begin, at_ - begin - 1);
        return skip(':') ? std::optional(name) : std::nullopt;
    }

    std::size_t position() const
    {
        return at_;
    }

    /// Moves to a position in the text.
    void move_to(std::size_t position)
    {
        at_ = position;
    }

    /// \return the deepest nesting in the values that were skipped.
    std::size_t deepest() const
    {
        return deepest_;
    }

    /// \return the position of the first opening brace in a string that was
    /// skipped: a quote before it may be missing. npos if there is none.
    std::size_t first_quoted_brace() const
    {
        return first_quoted_brace_;
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
            else if (text_[at_] == '{')
            {
                first_quoted_brace_ = std::min(first_quoted_brace_, at_);
            }
        }
        return false;
    }

    std::string_view text_;
    std::size_t at_ = 0;
    std::size_t deepest_ = 0;
    std::size_t first_quoted_brace_ = std::string_view::npos;
};

/// \return the text of a value without the blanks after it.
std::string_view trim_end(std::string_view text)
{
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

/// Splits an array whose elements may be malformed.
class array_splitter
{
public:
    /// \param begin position behind the array's opening bracket.
    /// \param other_array name of a member that may be an array too.
    array_splitter(
        std::string_view text,
        std::size_t begin,
        std::string_view other_array,
        const std::function<bool(std::string_view)>& is_element)
        : text_(text),
          begin_(begin),
          other_array_(other_array),
          is_element_(is_element)
    {
    }

    /// \param trusts_values whether a value whose brackets match is one
    /// element. An element that was cut off behind a bracket can take in
    /// others, and the array then seems not to end.
    /// \return whether the array ends.
    bool run(bool trusts_values)
    {
        out_.elements_.clear();
        std::size_t at = begin_;
        for (;;)
        {
            at = skip_blanks(at);
            if (at == text_.size())
            {
                return false;
            }
            if (text_[at] == ']' && ends_at(at, false))
            {
                return true;
            }
            const std::size_t end = find_end(at, trusts_values);
            if (end == std::string_view::npos)
            {
                return false;
            }
            out_.elements_.push_back(trim_end(text_.substr(at, end - at)));
            at = end + (end < text_.size() && text_[end] == ',' ? 1 : 0);
        }
    }

    json_array take()
    {
        return std::move(out_);
    }

private:
    /// Bounds the work on a text without a readable end.
    static constexpr std::size_t max_searched_bytes_ = 16U * 1024 * 1024;

    std::size_t skip_blanks(std::size_t at) const
    {
        return std::min(text_.find_first_not_of(" \t\r\n", at), text_.size());
    }

    /// \return the position behind an element, which is that of a comma, of the
    /// array's end, or of the next element; npos if there is none.
    std::size_t find_end(std::size_t at, bool trusts_values)
    {
        json_scanner scanner(text_);
        const std::size_t end = value_end(scanner, at);
        if (end == std::string_view::npos)
        {
            return find_next(at + 1, text_.size());
        }
        const std::string_view value = trim_end(text_.substr(at, end - at));
        // Without a brace in a string, no quote of the value can be missing.
        const bool is_sound =
            trusts_values
                ? scanner.first_quoted_brace() >= end || is_json(value, scanner)
                : is_element_(value);
        const std::size_t next = is_sound ? end : find_next(at + 1, end);
        return std::min(next, end);
    }

    /// \return the position behind a value whose brackets match; npos if a
    /// comma or the end of an array does not follow it.
    std::size_t value_end(json_scanner& scanner, std::size_t at)
    {
        scanner.move_to(at);
        const std::size_t length = scanner.skip_value().size();
        const std::size_t end = scanner.position();
        budget_ -= std::min(budget_, end - at + 1);
        const bool is_separated =
            text_[at] == ',' ||
            (length > 0 && end < text_.size() && text_[end] != '}');
        return is_separated ? end : std::string_view::npos;
    }

    /// \return the position of the first element, or of the array's end, that
    /// begins in a part of the text; npos if there is none.
    std::size_t find_next(std::size_t from, std::size_t until)
    {
        for (std::size_t at = from; at < until && budget_ > 0; ++at)
        {
            if (text_[at] == '{' ? begins_element(at)
                                 : text_[at] == ']' && ends_at(at, true))
            {
                return at;
            }
        }
        return std::string_view::npos;
    }

    bool begins_element(std::size_t at)
    {
        json_scanner scanner(text_);
        const std::size_t end = value_end(scanner, at);
        if (end == std::string_view::npos)
        {
            return false;
        }
        const std::string_view value = trim_end(text_.substr(at, end - at));
        return is_json(value, scanner) && is_element_(value);
    }

    static bool is_json(std::string_view value, const json_scanner& scanner)
    {
        return scanner.deepest() <= max_json_depth &&
               nlohmann::json::accept(value);
    }

    /// \param is_search whether the bracket may belong to an element that was
    /// cut off. The array's own end is then in a member that the object seems
    /// to have behind it.
    /// \return whether the array ends at a bracket: the object without the
    /// elements is well-formed then.
    bool ends_at(std::size_t at, bool is_search)
    {
        budget_ -= std::min(budget_, text_.size() - at);
        std::string others(text_.substr(0, begin_));
        others.append(text_.substr(at));
        if (!parse_json(others) || (is_search && has_unknown_array(others)))
        {
            return false;
        }
        out_.others_ = std::move(others);
        return true;
    }

    /// \return whether a member behind the array has brackets and is not
    /// the object's other array.
    bool has_unknown_array(std::string_view others) const
    {
        json_scanner scanner(others);
        scanner.move_to(begin_ + 1);
        while (scanner.skip(','))
        {
            const auto name = scanner.skip_name();
            const std::string_view value = scanner.skip_value();
            const bool has_brackets = !value.empty() && (value.front() == '[' ||
                                                         value.front() == '{');
            if (has_brackets && name != other_array_)
            {
                return true;
            }
        }
        return false;
    }

    std::string_view text_;
    std::size_t begin_;
    std::string_view other_array_;
    const std::function<bool(std::string_view)>& is_element_;
    std::size_t budget_ = max_searched_bytes_;
    json_array out_;
};

/// \return the position of an object member's value, whatever follows it;
/// nothing when the text before it is malformed, or there is no such member.
std::optional<std::size_t> find_member_value(
    std::string_view object_text, std::string_view member)
{
    json_scanner scanner(object_text);
    if (!scanner.skip('{'))
    {
        return std::nullopt;
    }
    for (;;)
    {
        const auto name = scanner.skip_name();
        if (!name)
        {
            return std::nullopt;
        }
        scanner.peek();
        if (*name == member)
        {
            return scanner.position();
        }
        if (scanner.skip_value().empty() || !scanner.skip(','))
        {
            return std::nullopt;
        }
    }
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
        const auto name = scanner.skip_name();
        const std::string_view value = trim_end(scanner.skip_value());
        if (!name || value.empty())
        {
            return std::nullopt;
        }
        if (*name == member)
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

std::optional<json_array> split_json_array(
    std::string_view object_text,
    std::string_view member,
    std::string_view other_array,
    const std::function<bool(std::string_view)>& is_element)
{
    const std::optional<std::size_t> begin =
        find_member_value(object_text, member);
    const bool is_array =
        begin && *begin < object_text.size() && object_text[*begin] == '[';
    if (!is_array)
    {
        return std::nullopt;
    }
    array_splitter splitter(object_text, *begin + 1, other_array, is_element);
    if (!splitter.run(true) && !splitter.run(false))
    {
        return std::nullopt;
    }
    return splitter.take();
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
