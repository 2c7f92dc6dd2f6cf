#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.hpp"
#include "core/finding.hpp"

namespace poplarroute::core
{

/// One "key = value" line.
struct ini_entry
{
    std::string key_;
    std::string value_;
    int line_ = 0;
};

/// One section, with its kind and name split: "[zone galway-a]".
struct ini_section
{
    std::string kind_;
    std::string name_;
    int line_ = 0;
    std::vector<ini_entry> entries_;

    /// \return the title as it stands between the brackets.
    std::string title() const;
};

/// A parsed INI text whose entries know their lines.
struct ini_document
{
    std::string file_;
    std::vector<ini_section> sections_;
};

/// Parses INI text.
/// \param file the name to give in findings.
/// \param text the whole text.
/// \param findings receives each line that is no INI.
ini_document parse_ini(
    std::string_view file, std::string_view text, finding_list& findings);

/// Reads one section's keys with checks; every problem becomes a finding.
class section_reader
{
public:
    section_reader(
        const ini_document& document,
        const ini_section& section,
        finding_list& findings);

    /// \return the value, or a finding and "" when the key is missing.
    std::string required(std::string_view key);

    /// \return the value, or the fallback when the key is missing.
    std::string optional(std::string_view key, std::string_view fallback);

    /// \return a whole number between the bounds, or the fallback.
    std::int64_t number(
        std::string_view key,
        std::int64_t least,
        std::int64_t most,
        std::optional<std::int64_t> fallback);

    /// \return one of the choices, or the fallback.
    std::string choice(
        std::string_view key,
        const std::vector<std::string>& choices,
        std::string_view fallback);

    /// \return "yes" as true and "no" as false, or the fallback.
    bool flag(std::string_view key, bool fallback);

    /// \return "ip:port", checked; empty when missing and not needed.
    std::string address(std::string_view key, bool needed);

    /// \return the comma-separated parts without blanks around them.
    std::vector<std::string> list(std::string_view key);

    /// Adds a finding at a key's line.
    void complain(
        std::string_view key, std::string problem, std::string remedy);

    /// Reports every key that none of the calls above asked for.
    void reject_unknown();

private:
    const ini_entry* find(std::string_view key);
    place place_of(std::string_view key) const;

    const ini_document& document_;
    const ini_section& section_;
    finding_list& findings_;
    std::set<std::string, std::less<>> known_;
};

/// Splits a text at a separator and trims blanks from each part.
std::vector<std::string> split_list(std::string_view text, char separator);

/// \return whether the text is an IP number and a port, "ip:port".
bool is_address(std::string_view text);

} // namespace poplarroute::core
