#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarroute::core
{

/// \return the SHA-256 digest of the bytes as 64 hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// \return a fast hash that is the same on every host. It is not a
/// cryptographic hash and must not be used for secrets.
std::uint64_t stable_hash(std::string_view bytes);

/// \return random bytes from the operating system as hexadecimal digits.
/// \param bytes number of random bytes; each becomes two digits.
std::string random_hex(std::size_t bytes);

/// Compares two texts in a time that does not depend on where they differ.
bool constant_time_equal(std::string_view left, std::string_view right);

/// The parts of an API key as a caller presents it, "pr_ID_SECRET".
struct api_key
{
    std::string id_;
    std::string secret_;
};

/// Splits an API key.
/// \param out receives both parts when the text is a well-formed key.
/// \return whether it is.
bool parse_api_key(std::string_view text, api_key& out);

/// \return the salted digest that is stored instead of an API key's secret.
std::string key_digest(std::string_view salt, std::string_view secret);

} // namespace poplarroute::core
