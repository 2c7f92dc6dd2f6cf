#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
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

/// One section. The heading "[zone galway-a]" has the kind "zone" and the
/// name "galway-a".
struct ini_section
{
    std::string kind_;
    std::string name_;
    int line_ = 0;
    std::vector<ini_entry> entries_;

    /// \return the text between the brackets of the heading.
    std::string title() const;
};

/// A parsed INI text with the line numbers of its sections and entries.
struct ini_document
{
    std::string file_;
    std::vector<ini_section> sections_;
};

/// Parses INI text.
/// \param file the file name to give in findings.
/// \param text the whole text.
/// \param findings receives a finding for each line that is not valid INI.
ini_document parse_ini(
    std::string_view file, std::string_view text, finding_list& findings);

/// Reads and checks the keys of one section; every problem becomes a finding.
class section_reader
{
public:
    section_reader(
        const ini_document& document,
        const ini_section& section,
        finding_list& findings);

    /// \return the value, or "" with a finding when the key is missing or
    /// empty.
    std::string required(std::string_view key);

    /// \return the value, or the fallback when the key is missing.
    std::string optional(std::string_view key, std::string_view fallback);

    /// Reads a whole number from min to max.
    /// \return the number. When it is missing or not in range, the fallback,
    /// or min if there is none.
    std::int64_t number(
        std::string_view key,
        std::int64_t min,
        std::int64_t max,
        std::optional<std::int64_t> fallback);

    /// \return one of the choices, or the fallback.
    std::string choice(
        std::string_view key,
        const std::vector<std::string>& choices,
        std::string_view fallback);

    /// \return "yes" as true and "no" as false, or the fallback.
    bool flag(std::string_view key, bool fallback);

    /// Reads an address, "ip:port".
    /// \param is_required whether a missing key is a finding.
    /// \return the address; empty when the key is missing or not valid.
    std::string address(std::string_view key, bool is_required);

    /// \return the comma-separated parts without surrounding blanks.
    std::vector<std::string> list(std::string_view key);

    /// Adds a finding at the line of a key, or of the section when the key is
    /// missing.
    void add_finding(
        std::string_view key, std::string problem, std::string remedy);

    /// Adds a finding for every key that none of the calls above asked for.
    void report_unknown_keys();

private:
    const ini_entry* find(std::string_view key);
    place place_of(std::string_view key) const;

    const ini_document& document_;
    const ini_section& section_;
    finding_list& findings_;
    std::set<std::string, std::less<>> known_keys_;
};

/// Splits a text at a separator, trims blanks from each part and drops empty
/// parts.
std::vector<std::string> split_list(std::string_view text, char separator);

/// \return the items with a separator between them.
std::string join_list(std::span<const std::string> items, char separator);

/// \return whether the text is an IPv4 address and a port, "ip:port".
bool is_address(std::string_view text);

} // namespace poplarroute::core
