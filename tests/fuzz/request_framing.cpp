// Guards against requests that make the parser read out of bounds, hold more
// than its limits, end the codec of the platform, or read the bytes of one
// request differently when they arrive in other pieces.

#include <algorithm>
#include <optional>

#include "drivers/request_framing.hpp"
#include "platform/platform_codec.hpp"
#include "tests/fuzz/fuzz.hpp"

namespace
{

using namespace poplarroute;

constexpr std::size_t header_bytes = 512;
constexpr std::size_t body_bytes = 1'024;
constexpr std::size_t framing_bytes = 256;
constexpr int not_run_status = 503;

struct outcome
{
    int status_ = 0; ///< Of a refusal.
    std::string method_;
    std::string body_;
    std::size_t headers_ = 0;

    bool operator==(const outcome&) const = default;
};

/// Parses one request that arrives in pieces of at most a size.
std::optional<outcome> parse(std::string_view bytes, std::size_t piece)
{
    drivers::request_framing::buffer_type buffer;
    drivers::request_framing framing(
        {header_bytes, body_bytes, framing_bytes}, buffer, "");
    while (!framing.is_done() && !bytes.empty())
    {
        const auto space = framing.prepare();
        fuzz::require(space.size() > 0);
        const std::size_t size = std::min({space.size(), bytes.size(), piece});
        std::copy_n(bytes.begin(), size, static_cast<char*>(space.data()));
        buffer.commit(size);
        bytes.remove_prefix(size);
        const auto refused = framing.parse();
        fuzz::require(framing.body_bytes() <= body_bytes);
        fuzz::require(buffer.capacity() <= buffer.max_size());
        if (refused)
        {
            return outcome{refused->status_, "", "", 0};
        }
    }
    if (!framing.is_done())
    {
        return std::nullopt;
    }
    const drivers::http_request request = framing.take();
    const platform::platform_codec codec;
    codec.decode_request(request);
    codec.notice_of(not_run_status, request.headers_);
    return outcome{0, request.method_, request.body_, request.headers_.size()};
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes = fuzz::to_text(data, size);
    const auto whole = parse(bytes, size);
    const auto split = parse(bytes, 1);
    if (whole && split && whole->status_ == 0 && split->status_ == 0)
    {
        fuzz::require(*whole == *split);
    }
    return 0;
}
