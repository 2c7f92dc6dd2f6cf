#include "core/compress.hpp"

#include <zstd.h>

namespace poplarroute::core
{

namespace
{

constexpr int level = 9;
constexpr unsigned long long most_bytes = 64ULL * 1024 * 1024;

} // namespace

std::string compress(std::string_view bytes)
{
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(
        out.data(), out.size(), bytes.data(), bytes.size(), level);
    out.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return out;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    // Both special answers of the library are above the bound.
    const unsigned long long size =
        ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size > most_bytes)
    {
        return std::nullopt;
    }
    std::string out(size, '\0');
    const std::size_t got =
        ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(got) != 0 || got != size)
    {
        return std::nullopt;
    }
    return out;
}

} // namespace poplarroute::core
