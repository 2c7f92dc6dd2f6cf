#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarroute::core
{

/// \return the SHA-256 of the bytes as 64 hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// \return a fast hash that is the same on every host; not for secrets.
std::uint64_t stable_hash(std::string_view bytes);

/// \return random bytes from the operating system as hexadecimal digits.
/// \param bytes how many bytes, each two digits.
std::string random_hex(std::size_t bytes);

/// Compares without telling by its time where the texts differ.
bool equal_secret(std::string_view left, std::string_view right);

/// A key as a caller shows it, "pr_ID_SECRET".
struct shown_key
{
    std::string id_;
    std::string secret_;
};

/// Splits a shown key.
/// \param out receives both parts when the text has the form of a key.
/// \return whether it has.
bool parse_key(std::string_view text, shown_key& out);

/// \return the digest that is stored in place of a key.
std::string key_digest(std::string_view salt, std::string_view secret);

} // namespace poplarroute::core
