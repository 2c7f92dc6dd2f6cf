#include "core/compress.hpp"

#include <zstd.h>

namespace poplarroute::core
{

namespace
{

constexpr int small_output_level = 9;
constexpr int fast_level = 3;
constexpr unsigned long long max_decompressed_bytes = 64ULL * 1024 * 1024;

} // namespace

std::string compress(std::string_view bytes, compression preference)
{
    const int level =
        preference == compression::speed ? fast_level : small_output_level;
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(
        out.data(), out.size(), bytes.data(), bytes.size(), level);
    out.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return out;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    // ZSTD_CONTENTSIZE_UNKNOWN and ZSTD_CONTENTSIZE_ERROR exceed the limit,
    // too.
    const unsigned long long size =
        ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size > max_decompressed_bytes)
    {
        return std::nullopt;
    }
    std::string out(size, '\0');
    const std::size_t decompressed_size =
        ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(decompressed_size) != 0 || decompressed_size != size)
    {
        return std::nullopt;
    }
    return out;
}

} // namespace poplarroute::core
