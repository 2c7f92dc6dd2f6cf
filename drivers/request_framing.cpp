#include "drivers/request_framing.hpp"

#include <algorithm>
#include <utility>

#include <boost/beast/http/error.hpp>

namespace poplarroute::drivers
{

namespace http = boost::beast::http;

namespace
{

/// Largest limit on a header, which the parser counts in 32 bits.
constexpr std::size_t max_header_bytes = std::size_t{1} << 31U;

/// Largest read while a header, and while a body is received.
constexpr std::size_t header_read_bytes = 4 * 1024;
constexpr std::size_t body_read_bytes = 16 * 1024;

/// Bytes of framing that are allowed for each byte of a body: a chunk of one
/// byte takes six.
constexpr std::size_t framing_bytes_per_byte = 8;

/// What each received header takes besides its text, in the request and in what
/// a handler derives from it.
constexpr std::size_t header_cost_bytes = 192;

constexpr std::string_view unreadable =
    R"("code":"bad_request","message":"The request could not be read.")";
constexpr request_refusal header_too_large{"header_limit", 431, unreadable};
constexpr request_refusal body_too_large{"body_limit", 413, unreadable};
constexpr request_refusal too_much_framing{"framing_limit", 400, unreadable};
constexpr request_refusal malformed{"malformed", 400, unreadable};
constexpr request_refusal doubtful_framing{"doubtful_framing", 400, unreadable};

request_refusal refusal_of(const boost::beast::error_code& failed)
{
    if (failed == http::error::body_limit)
    {
        return body_too_large;
    }
    return failed == http::error::header_limit ? header_too_large : malformed;
}

} // namespace

request_framing::request_framing(
    request_limits limits, buffer_type& buffer, std::string remote)
    : limits_(limits), buffer_(buffer)
{
    request_.remote_ = std::move(remote);
    limits_.header_bytes_ = std::min(limits_.header_bytes_, max_header_bytes);
    parser_.header_limit(static_cast<std::uint32_t>(limits_.header_bytes_));
    parser_.body_limit(limits_.body_bytes_);
    buffer_.max_size(limits_.header_bytes_ + header_read_bytes);
}

boost::asio::mutable_buffer request_framing::prepare()
{
    const std::size_t wanted =
        parser_.is_header_done() ? body_read_bytes : header_read_bytes;
    return buffer_.prepare(
        std::min(wanted, buffer_.max_size() - buffer_.size()));
}

std::optional<request_refusal> request_framing::parse()
{
    while (buffer_.size() > 0 && !parser_.is_done())
    {
        const bool header_was_done = parser_.is_header_done();
        parser_.eager(header_was_done);
        boost::beast::error_code failed;
        const std::size_t used = parser_.put(buffer_.data(), failed);
        if (!header_was_done)
        {
            count_header(used);
            is_folded_ = is_folded_ || has_folded_line(used);
        }
        buffer_.consume(used);
        wire_bytes_ += used;
        if (failed && failed != http::error::need_more)
        {
            return refusal_of(failed);
        }
        if (!header_was_done && parser_.is_header_done())
        {
            const bool is_doubtful =
                is_folded_ ||
                has_doubtful_framing(parser_.headers(), parser_.version());
            if (is_doubtful)
            {
                return doubtful_framing;
            }
            take_header();
        }
        if (failed)
        {
            break;
        }
    }
    return check_limits();
}

/// Counts what the parser keeps of a header, of which each line may be parsed
/// before the next one arrives.
void request_framing::count_header(std::size_t used)
{
    const auto* const begin = static_cast<const char*>(buffer_.data().data());
    const auto lines =
        static_cast<std::size_t>(std::count(begin, begin + used, '\n'));
    parsed_cost_ += header_cost_bytes * lines + 2 * used;
}

/// \return whether a field in the next bytes goes on in another line, which the
/// parser would join. Other programs may read the line as a field of its own.
bool request_framing::has_folded_line(std::size_t used) const
{
    const std::string_view bytes(
        static_cast<const char*>(buffer_.data().data()), used);
    for (std::size_t at = bytes.find('\n'); at != std::string_view::npos;
         at = bytes.find('\n', at + 1))
    {
        const std::string_view next = bytes.substr(at + 1, 1);
        if (next == " " || next == "\t")
        {
            return true;
        }
    }
    return false;
}

std::optional<request_refusal> request_framing::check_limits() const
{
    const std::size_t allowed = limits_.header_bytes_ + limits_.framing_bytes_ +
                                (1 + framing_bytes_per_byte) * body_bytes();
    if (wire_bytes_ > allowed)
    {
        return too_much_framing;
    }
    const bool is_full =
        !parser_.is_done() && buffer_.size() >= buffer_.max_size();
    if (is_full || parser_.trailer_bytes() > limits_.header_bytes_)
    {
        return header_too_large;
    }
    return std::nullopt;
}

void request_framing::take_header()
{
    request_.method_ = parser_.method();
    request_.target_ = parser_.target();
    request_.headers_ = std::move(parser_.headers());
}

http_request request_framing::take()
{
    request_.body_ = std::move(parser_.body());
    return std::move(request_);
}

} // namespace poplarroute::drivers
