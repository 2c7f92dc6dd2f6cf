#include "drivers/http_message.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace poplarroute::drivers
{

namespace
{

constexpr std::array<std::string_view, 9> connection_headers{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect"};

constexpr int min_final_status = 200;
constexpr int max_status = 999; ///< The status line has three digits.
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_bad_gateway = 502;

/// Appends a text to a start line, whose parts end with blanks.
void append_word(std::string& out, std::string_view text)
{
    for (const char character : text)
    {
        const bool is_control =
            static_cast<unsigned char>(character) <= ' ' || character == 0x7f;
        out += is_control ? '_' : character;
    }
}

void append_field(
    std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    const std::size_t begin = out.size();
    out += value;
    std::replace_if(
        out.begin() + static_cast<std::ptrdiff_t>(begin),
        out.end(),
        [](char character)
        {
            return character == '\r' || character == '\n' || character == '\0';
        },
        ' ');
    out += "\r\n";
}

void append_framing(std::string& out, const body_framing& framing)
{
    if (framing.chunked_)
    {
        append_field(out, "Transfer-Encoding", "chunked");
    }
    else if (framing.length_)
    {
        append_field(out, "Content-Length", std::to_string(*framing.length_));
    }
}

} // namespace

bool has_doubtful_framing(const header_list& headers, int version)
{
    constexpr int version_with_chunks = 11;
    const std::string* coding = nullptr;
    const std::string* length = nullptr;
    for (const auto& [name, value] : headers)
    {
        if (boost::beast::iequals(name, "Transfer-Encoding"))
        {
            if (coding != nullptr || !boost::beast::iequals(value, "chunked"))
            {
                return true;
            }
            coding = &value;
        }
        else if (boost::beast::iequals(name, "Content-Length"))
        {
            if (value.empty() || (length != nullptr && *length != value))
            {
                return true;
            }
            length = &value;
        }
    }
    return coding != nullptr &&
           (length != nullptr || version < version_with_chunks);
}

bool is_bodiless(int status)
{
    return status < min_final_status || status == status_no_content ||
           status == status_not_modified;
}

std::string format_request_head(
    std::string_view method,
    std::string_view target,
    std::string_view host,
    const header_list& headers,
    const body_framing& framing)
{
    std::string out;
    append_word(out, method);
    out += ' ';
    append_word(out, target);
    out += " HTTP/1.1\r\n";
    std::string_view host_sent = host;
    for (const auto& [name, value] : headers)
    {
        if (boost::beast::iequals(name, "Host"))
        {
            host_sent = value;
        }
    }
    append_field(out, "Host", host_sent);
    for (const auto& [name, value] : headers)
    {
        if (!boost::beast::iequals(name, "Host"))
        {
            append_field(out, name, value);
        }
    }
    append_framing(out, framing);
    out += "\r\n";
    return out;
}

std::string format_response_head(
    int status,
    const header_list& headers,
    const body_framing& framing,
    bool keep_alive)
{
    const bool is_final = status >= min_final_status && status <= max_status;
    const int sent = is_final ? status : status_bad_gateway;
    std::string out = "HTTP/1.1 " + std::to_string(sent) + " ";
    out += boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(sent)));
    out += "\r\n";
    for (const auto& [name, value] : headers)
    {
        append_field(out, name, value);
    }
    if (!keep_alive)
    {
        append_field(out, "Connection", "close");
    }
    append_framing(out, framing);
    out += "\r\n";
    return out;
}

bool is_connection_header(std::string_view name)
{
    return std::any_of(
        connection_headers.begin(),
        connection_headers.end(),
        [name](std::string_view item)
        {
            return boost::beast::iequals(item, name);
        });
}

std::string_view find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [key, text] : headers)
    {
        if (boost::beast::iequals(key, name))
        {
            return text;
        }
    }
    return {};
}

} // namespace poplarroute::drivers
