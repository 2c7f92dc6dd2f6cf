#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "drivers/http_message.hpp"

namespace poplarroute::drivers
{

/// Parses one HTTP/1.1 message with Beast's grammar into containers that have
/// no limit of their own. Beast's container of fields throws on names and
/// values of 65,534 bytes or more; its body reserves the length that a message
/// announces. The caller limits what arrives.
///
/// The body grows with the bytes that arrive. Trailers are counted and
/// discarded.
template <bool IsRequest>
class message_parser final : public boost::beast::http::basic_parser<IsRequest>
{
    using error_code = boost::beast::error_code;

public:
    /// \return the method of a request.
    const std::string& method() const
    {
        return method_;
    }

    /// \return the target of a request.
    const std::string& target() const
    {
        return target_;
    }

    /// \return the status of a response, 0 to 999.
    int status() const
    {
        return status_;
    }

    /// \return the version of HTTP, 10 or 11.
    int version() const
    {
        return version_;
    }

    /// \return the fields of the header, in the order of their arrival.
    header_list& headers()
    {
        return headers_;
    }

    const header_list& headers() const
    {
        return headers_;
    }

    /// \return what has arrived of the body and was not taken.
    std::string& body()
    {
        return body_;
    }

    const std::string& body() const
    {
        return body_;
    }

    /// \return the bytes of all trailers so far, which are not kept.
    std::size_t trailer_bytes() const
    {
        return trailer_bytes_;
    }

private:
    void on_request_impl(
        boost::beast::http::verb,
        boost::beast::string_view method,
        boost::beast::string_view target,
        int version,
        error_code& failed) override
    {
        version_ = version;
        method_ = std::string(method);
        target_ = std::string(target);
        failed = {};
    }

    void on_response_impl(
        int code,
        boost::beast::string_view,
        int version,
        error_code& failed) override
    {
        version_ = version;
        status_ = code;
        failed = {};
    }

    void on_field_impl(
        boost::beast::http::field,
        boost::beast::string_view name,
        boost::beast::string_view value,
        error_code& failed) override
    {
        failed = {};
        if (this->is_header_done())
        {
            trailer_bytes_ += name.size() + value.size();
            return;
        }
        headers_.emplace_back(std::string(name), std::string(value));
    }

    void on_header_impl(error_code& failed) override
    {
        failed = {};
    }

    void on_body_init_impl(
        const boost::optional<std::uint64_t>&, error_code& failed) override
    {
        failed = {};
    }

    std::size_t on_body_impl(
        boost::beast::string_view body, error_code& failed) override
    {
        failed = {};
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(
        std::uint64_t, boost::beast::string_view, error_code& failed) override
    {
        failed = {};
    }

    std::size_t on_chunk_body_impl(
        std::uint64_t,
        boost::beast::string_view body,
        error_code& failed) override
    {
        return on_body_impl(body, failed);
    }

    void on_finish_impl(error_code& failed) override
    {
        failed = {};
    }

    std::string method_;
    std::string target_;
    int status_ = 0;
    int version_ = 0;
    header_list headers_;
    std::string body_;
    std::size_t trailer_bytes_ = 0;
};

} // namespace poplarroute::drivers
