#include "core/ini.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <ini.h>

namespace poplarroute::core
{

namespace
{

constexpr int max_port = 65'535;

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos)
    {
        return {};
    }
    const std::size_t last = text.find_last_not_of(" \t\r");
    return text.substr(first, last - first + 1);
}

/// State of the parser. inih gets the text line by line, so that its handler
/// knows the number of the line.
struct parse_state
{
    std::string_view remaining_;
    int line_ = 0;
    ini_document* document_ = nullptr;
    finding_list* findings_ = nullptr;
};

void open_section(parse_state& state, std::string_view title)
{
    ini_section section;
    section.line_ = state.line_;
    const std::size_t space = title.find(' ');
    section.kind_ = std::string(title.substr(0, space));
    if (space != std::string_view::npos)
    {
        section.name_ = std::string(trim(title.substr(space)));
    }
    state.document_->sections_.push_back(std::move(section));
}

/// Opens sections and reports bad lines, because inih does not report
/// headings, empty sections and bad lines to its handler.
void check_line(parse_state& state, std::string_view raw)
{
    const std::string_view line = trim(raw);
    if (line.empty() || line.front() == '#' || line.front() == ';')
    {
        return;
    }
    const place position{state.document_->file_, state.line_, "", ""};
    if (line.front() == '[')
    {
        if (line.back() != ']')
        {
            state.findings_->add(
                position, "this heading has no closing ]", "[kind name]");
        }
        open_section(state, trim(line.substr(1, line.find(']') - 1)));
        return;
    }
    if (line.find_first_of("=:") == std::string_view::npos)
    {
        state.findings_->add(
            position, "this line has no =", "write key = value");
    }
    if (state.document_->sections_.empty())
    {
        state.findings_->add(
            position,
            "this line precedes the first section",
            "add a [section]");
    }
}

char* feed_line(char* out, int capacity, void* user)
{
    parse_state& state = *static_cast<parse_state*>(user);
    if (state.remaining_.empty())
    {
        return nullptr;
    }
    const std::size_t end = state.remaining_.find('\n');
    const std::size_t size =
        end == std::string_view::npos ? state.remaining_.size() : end + 1;
    ++state.line_;
    const std::string_view line = state.remaining_.substr(0, size);
    state.remaining_.remove_prefix(size);
    check_line(state, line.substr(0, line.find('\n')));
    const auto limit = static_cast<std::size_t>(capacity - 1);
    if (size > limit)
    {
        state.findings_->add(
            {state.document_->file_, state.line_, "", ""},
            "this line is too long",
            "at most " + std::to_string(limit) + " characters");
    }
    const std::size_t copied = std::min(size, limit);
    std::memcpy(out, line.data(), copied);
    out[copied] = '\0';
    return out;
}

int on_entry(
    void* user, const char* section, const char* key, const char* value)
{
    parse_state& state = *static_cast<parse_state*>(user);
    static_cast<void>(section);
    if (state.document_->sections_.empty())
    {
        return 1;
    }
    auto& entries = state.document_->sections_.back().entries_;
    const std::string name(key);
    const bool is_duplicate = std::any_of(
        entries.begin(),
        entries.end(),
        [&](const ini_entry& entry)
        {
            return entry.key_ == name;
        });
    if (is_duplicate)
    {
        state.findings_->add(
            {state.document_->file_,
             state.line_,
             state.document_->sections_.back().title(),
             name},
            "this key is given twice",
            "keep one of them");
    }
    entries.push_back({name, value, state.line_});
    return 1;
}

} // namespace

std::string ini_section::title() const
{
    return name_.empty() ? kind_ : kind_ + " " + name_;
}

ini_document parse_ini(
    std::string_view file, std::string_view text, finding_list& findings)
{
    ini_document document;
    document.file_ = std::string(file);
    parse_state state{text, 0, &document, &findings};
    // The return value, the first bad line, is not needed: check_line reports
    // every bad line.
    ini_parse_stream(feed_line, &state, on_entry, &state);
    return document;
}

section_reader::section_reader(
    const ini_document& document,
    const ini_section& section,
    finding_list& findings)
    : document_(document), section_(section), findings_(findings)
{
}

const ini_entry* section_reader::find(std::string_view key)
{
    known_keys_.insert(std::string(key));
    for (const ini_entry& entry : section_.entries_)
    {
        if (entry.key_ == key)
        {
            return &entry;
        }
    }
    return nullptr;
}

place section_reader::place_of(std::string_view key) const
{
    int line = section_.line_;
    for (const ini_entry& entry : section_.entries_)
    {
        if (entry.key_ == key)
        {
            line = entry.line_;
        }
    }
    return {document_.file_, line, section_.title(), std::string(key)};
}

void section_reader::add_finding(
    std::string_view key, std::string problem, std::string remedy)
{
    findings_.add(place_of(key), std::move(problem), std::move(remedy));
}

std::string section_reader::required(std::string_view key)
{
    const ini_entry* entry = find(key);
    if (entry == nullptr || entry->value_.empty())
    {
        add_finding(key, "this key is missing", "give it a value");
        return {};
    }
    return entry->value_;
}

std::string section_reader::optional(
    std::string_view key, std::string_view fallback)
{
    const ini_entry* entry = find(key);
    return entry == nullptr ? std::string(fallback) : entry->value_;
}

std::int64_t section_reader::number(
    std::string_view key,
    std::int64_t min,
    std::int64_t max,
    std::optional<std::int64_t> fallback)
{
    const ini_entry* entry = find(key);
    if (entry == nullptr)
    {
        if (!fallback)
        {
            add_finding(key, "this key is missing", "give it a whole number");
        }
        return fallback.value_or(min);
    }
    std::int64_t parsed = 0;
    const char* end = entry->value_.data() + entry->value_.size();
    const auto [stop, status] =
        std::from_chars(entry->value_.data(), end, parsed);
    if (status != std::errc() || stop != end || parsed < min || parsed > max)
    {
        add_finding(
            key,
            "'" + entry->value_ + "' is not a number in range",
            "a whole number from " + std::to_string(min) + " to " +
                std::to_string(max));
        return fallback.value_or(min);
    }
    return parsed;
}

std::string section_reader::choice(
    std::string_view key,
    const std::vector<std::string>& choices,
    std::string_view fallback)
{
    const std::string chosen = optional(key, fallback);
    if (std::find(choices.begin(), choices.end(), chosen) != choices.end())
    {
        return chosen;
    }
    std::string remedy = "one of:";
    for (const std::string& item : choices)
    {
        remedy += " " + item;
    }
    add_finding(key, "'" + chosen + "' is not known", remedy);
    return std::string(fallback);
}

bool section_reader::flag(std::string_view key, bool fallback)
{
    return choice(key, {"yes", "no"}, fallback ? "yes" : "no") == "yes";
}

std::string section_reader::address(std::string_view key, bool is_required)
{
    const std::string text = is_required ? required(key) : optional(key, "");
    if (!text.empty() && !is_address(text))
    {
        add_finding(key, "'" + text + "' is not an address", "ip:port");
        return {};
    }
    return text;
}

std::vector<std::string> section_reader::list(std::string_view key)
{
    return split_list(optional(key, ""), ',');
}

void section_reader::report_unknown_keys()
{
    for (const ini_entry& entry : section_.entries_)
    {
        if (known_keys_.find(entry.key_) != known_keys_.end())
        {
            continue;
        }
        std::string remedy = "known keys:";
        for (const std::string& key : known_keys_)
        {
            remedy += " " + key;
        }
        add_finding(entry.key_, "this key is not known", remedy);
    }
}

std::vector<std::string> split_list(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const std::size_t end = text.find(separator);
        const std::string_view part = trim(text.substr(0, end));
        if (!part.empty())
        {
            parts.emplace_back(part);
        }
        text = end == std::string_view::npos ? std::string_view()
                                             : text.substr(end + 1);
    }
    return parts;
}

std::string join_list(std::span<const std::string> items, char separator)
{
    std::string out;
    for (const std::string& item : items)
    {
        if (!out.empty())
        {
            out += separator;
        }
        out += item;
    }
    return out;
}

bool is_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    const std::string ip(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
    {
        return false;
    }
    const std::string_view digits = text.substr(colon + 1);
    int port = 0;
    const auto [stop, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return status == std::errc() && stop == digits.data() + digits.size() &&
           port > 0 && port <= max_port;
}

} // namespace poplarroute::core
