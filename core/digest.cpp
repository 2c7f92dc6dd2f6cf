#include "core/digest.hpp"

#include <array>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace poplarroute::core
{

namespace
{

constexpr std::string_view api_key_prefix = "pr_";
constexpr std::size_t max_api_key_bytes = 256;

std::string to_hex(const unsigned char* data, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned low_nibble_mask = 0x0f;
    std::string out;
    out.reserve(2 * size);
    for (std::size_t index = 0; index < size; ++index)
    {
        out += digits[data[index] >> 4U];
        out += digits[data[index] & low_nibble_mask];
    }
    return out;
}

} // namespace

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(
        bytes.data(),
        bytes.size(),
        digest.data(),
        &size,
        EVP_sha256(),
        nullptr);
    return to_hex(digest.data(), size);
}

std::uint64_t stable_hash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> out(bytes);
    RAND_bytes(out.data(), static_cast<int>(out.size()));
    return to_hex(out.data(), out.size());
}

bool constant_time_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool parse_api_key(std::string_view text, api_key& out)
{
    if (!text.starts_with(api_key_prefix) || text.size() > max_api_key_bytes)
    {
        return false;
    }
    const std::string_view id_and_secret = text.substr(api_key_prefix.size());
    const std::size_t separator = id_and_secret.rfind('_');
    if (separator == std::string_view::npos || separator == 0 ||
        separator + 1 == id_and_secret.size())
    {
        return false;
    }
    out.id_ = std::string(id_and_secret.substr(0, separator));
    out.secret_ = std::string(id_and_secret.substr(separator + 1));
    return true;
}

std::string key_digest(std::string_view salt, std::string_view secret)
{
    return sha256_hex(std::string(salt) + ":" + std::string(secret));
}

} // namespace poplarroute::core
