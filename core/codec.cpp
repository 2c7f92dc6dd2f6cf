#include "core/codec.hpp"

namespace poplarroute::core
{

namespace
{

using nlohmann::json;

/// Builds a document from the events of a parser, up to the limits.
class bounded_builder
{
public:
    explicit bounded_builder(json& out) : builder_(out, false) {}

    bool null()
    {
        return count_value() && builder_.null();
    }

    bool boolean(bool value)
    {
        return count_value() && builder_.boolean(value);
    }

    bool number_integer(json::number_integer_t value)
    {
        return count_value() && builder_.number_integer(value);
    }

    bool number_unsigned(json::number_unsigned_t value)
    {
        return count_value() && builder_.number_unsigned(value);
    }

    /// Refuses the document: no message has such numbers, and converting one to
    /// an integer is undefined where it does not fit.
    bool number_float(json::number_float_t, const json::string_t&)
    {
        return false;
    }

    bool string(json::string_t& value)
    {
        return count_value() && builder_.string(value);
    }

    bool binary(json::binary_t& value)
    {
        return count_value() && builder_.binary(value);
    }

    bool start_object(std::size_t size)
    {
        return enter() && builder_.start_object(size);
    }

    bool key(json::string_t& name)
    {
        return builder_.key(name);
    }

    bool end_object()
    {
        --depth_;
        return builder_.end_object();
    }

    bool start_array(std::size_t size)
    {
        return enter() && builder_.start_array(size);
    }

    bool end_array()
    {
        --depth_;
        return builder_.end_array();
    }

    bool parse_error(
        std::size_t, const std::string&, const nlohmann::detail::exception&)
    {
        return false;
    }

private:
    bool count_value()
    {
        return ++values_ <= max_cbor_values;
    }

    bool enter()
    {
        return count_value() && ++depth_ <= max_cbor_depth;
    }

    nlohmann::detail::json_sax_dom_parser<json> builder_;
    std::size_t values_ = 0;
    std::size_t depth_ = 0;
};

} // namespace

std::optional<json> parse_cbor(std::string_view bytes)
{
    // The parser throws on some malformed sizes.
    try
    {
        json document;
        bounded_builder builder(document);
        const bool complete = json::sax_parse(
            bytes.begin(),
            bytes.end(),
            &builder,
            json::input_format_t::cbor,
            true);
        if (!complete)
        {
            return std::nullopt;
        }
        return document;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace poplarroute::core
