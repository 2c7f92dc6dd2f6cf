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

constexpr int largest_port = 65'535;

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

/// Feeds inih line by line, which lets the handler know its line.
struct reader
{
    std::string_view rest_;
    int line_ = 0;
    ini_document* document_ = nullptr;
    finding_list* findings_ = nullptr;
};

void open_section(reader& from, std::string_view title)
{
    ini_section section;
    section.line_ = from.line_;
    const std::size_t blank = title.find(' ');
    section.kind_ = std::string(title.substr(0, blank));
    if (blank != std::string_view::npos)
    {
        section.name_ = std::string(trim(title.substr(blank)));
    }
    from.document_->sections_.push_back(std::move(section));
}

/// Notices what inih drops: headings, empty sections and bad lines.
void look_at(reader& from, std::string_view raw)
{
    const std::string_view line = trim(raw);
    if (line.empty() || line.front() == '#' || line.front() == ';')
    {
        return;
    }
    const place here{from.document_->file_, from.line_, "", ""};
    if (line.front() == '[')
    {
        if (line.back() != ']')
        {
            from.findings_->add(here, "a heading lacks its ]", "[kind name]");
        }
        open_section(from, trim(line.substr(1, line.find(']') - 1)));
        return;
    }
    if (line.find_first_of("=:") == std::string_view::npos)
    {
        from.findings_->add(here, "this line has no =", "write key = value");
    }
    if (from.document_->sections_.empty())
    {
        from.findings_->add(
            here, "this line stands before any section", "add a [section]");
    }
}

char* next_line(char* out, int room, void* stream)
{
    reader& from = *static_cast<reader*>(stream);
    if (from.rest_.empty())
    {
        return nullptr;
    }
    const std::size_t end = from.rest_.find('\n');
    const std::size_t size =
        end == std::string_view::npos ? from.rest_.size() : end + 1;
    ++from.line_;
    const std::string_view line = from.rest_.substr(0, size);
    from.rest_.remove_prefix(size);
    look_at(from, line.substr(0, line.find('\n')));
    const auto limit = static_cast<std::size_t>(room - 1);
    if (size > limit)
    {
        from.findings_->add(
            {from.document_->file_, from.line_, "", ""},
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
    reader& from = *static_cast<reader*>(user);
    static_cast<void>(section);
    if (from.document_->sections_.empty())
    {
        return 1;
    }
    auto& entries = from.document_->sections_.back().entries_;
    const std::string name(key);
    const bool twice = std::any_of(
        entries.begin(),
        entries.end(),
        [&](const ini_entry& entry)
        {
            return entry.key_ == name;
        });
    if (twice)
    {
        from.findings_->add(
            {from.document_->file_,
             from.line_,
             from.document_->sections_.back().title(),
             name},
            "this key stands twice",
            "keep one of them");
    }
    entries.push_back({name, value, from.line_});
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
    reader from{text, 0, &document, &findings};
    // The first bad line it returns is known already: look_at saw them all.
    ini_parse_stream(next_line, &from, on_entry, &from);
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
    known_.insert(std::string(key));
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

void section_reader::complain(
    std::string_view key, std::string problem, std::string remedy)
{
    findings_.add(place_of(key), std::move(problem), std::move(remedy));
}

std::string section_reader::required(std::string_view key)
{
    const ini_entry* entry = find(key);
    if (entry == nullptr || entry->value_.empty())
    {
        complain(key, "this key is missing", "give it a value");
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
    std::int64_t least,
    std::int64_t most,
    std::optional<std::int64_t> fallback)
{
    const ini_entry* entry = find(key);
    if (entry == nullptr)
    {
        if (!fallback)
        {
            complain(key, "this key is missing", "give it a whole number");
        }
        return fallback.value_or(least);
    }
    std::int64_t parsed = 0;
    const char* end = entry->value_.data() + entry->value_.size();
    const auto [stop, status] =
        std::from_chars(entry->value_.data(), end, parsed);
    if (status != std::errc() || stop != end || parsed < least || parsed > most)
    {
        complain(
            key,
            "'" + entry->value_ + "' does not fit",
            "a whole number from " + std::to_string(least) + " to " +
                std::to_string(most));
        return fallback.value_or(least);
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
    complain(key, "'" + chosen + "' is not known", remedy);
    return std::string(fallback);
}

bool section_reader::flag(std::string_view key, bool fallback)
{
    return choice(key, {"yes", "no"}, fallback ? "yes" : "no") == "yes";
}

std::string section_reader::address(std::string_view key, bool needed)
{
    const std::string text = needed ? required(key) : optional(key, "");
    if (!text.empty() && !is_address(text))
    {
        complain(key, "'" + text + "' is no address", "ip:port");
        return {};
    }
    return text;
}

std::vector<std::string> section_reader::list(std::string_view key)
{
    return split_list(optional(key, ""), ',');
}

void section_reader::reject_unknown()
{
    for (const ini_entry& entry : section_.entries_)
    {
        if (known_.find(entry.key_) != known_.end())
        {
            continue;
        }
        std::string remedy = "known here:";
        for (const std::string& key : known_)
        {
            remedy += " " + key;
        }
        complain(entry.key_, "this key is not known", remedy);
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
           port > 0 && port <= largest_port;
}

} // namespace poplarroute::core
