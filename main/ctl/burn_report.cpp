#include "main/ctl/burn_report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace poplarroute::main::ctl
{

namespace
{

using nlohmann::json;

constexpr std::array<const char*, 3> windows{"5m", "1h", "6h"};
constexpr std::array<const char*, 4> counted{
    "good", "late", "refused", "failed"};
constexpr double thousand = 1'000;
constexpr int plot_width = 600;
constexpr int plot_height = 120;

/// Burn over both a short and a long window that wants a person at once, and
/// one that wants a look today.
constexpr double page_burn = 14.4;
constexpr double ticket_burn = 1;

void add_counts(json& into, const json& from)
{
    if (into.is_null())
    {
        into = json::object();
    }
    for (const auto& [name, count] : from.items())
    {
        into[name] =
            into.value(name, std::uint64_t(0)) + count.get<std::uint64_t>();
    }
}

std::uint64_t total_of(const json& counts)
{
    std::uint64_t total = 0;
    for (const char* name : counted)
    {
        total += counts.value(name, std::uint64_t(0));
    }
    return total;
}

double burn_of(const json& counts, int objective)
{
    const std::uint64_t total = total_of(counts);
    if (total == 0)
    {
        return 0;
    }
    const auto bad =
        static_cast<double>(total - counts.value("good", std::uint64_t(0)));
    const double allowed = (thousand - objective) / thousand;
    return bad / static_cast<double>(total) / allowed;
}

const char* alarm_of(const json& row)
{
    const json& spans = row["windows"];
    const double minutes = spans["5m"]["burn"].get<double>();
    const double hour = spans["1h"]["burn"].get<double>();
    const double hours = spans["6h"]["burn"].get<double>();
    if (minutes > page_burn && hour > page_burn)
    {
        return "page";
    }
    return hour > ticket_burn && hours > ticket_burn ? "ticket" : "none";
}

std::string number(double value)
{
    std::array<char, 32> out{};
    std::snprintf(out.data(), out.size(), "%.2f", value);
    return out.data();
}

std::string escape(const std::string& text)
{
    std::string out;
    for (const char letter : text)
    {
        switch (letter)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += letter;
        }
    }
    return out;
}

/// Bars per minute: good below, bad above.
std::string plot(const json& series)
{
    std::uint64_t most = 1;
    for (const json& minute : series)
    {
        most = std::max(most, total_of(minute));
    }
    const double width =
        static_cast<double>(plot_width) / static_cast<double>(series.size());
    std::string out = "<svg role=\"img\" viewBox=\"0 0 " +
                      std::to_string(plot_width) + " " +
                      std::to_string(plot_height) + "\">";
    const auto bar = [&](double x, double from, double height, const char* how)
    {
        out += "<rect class=\"" + std::string(how) + "\" x=\"" + number(x) +
               "\" y=\"" + number(plot_height - from - height) + "\" width=\"" +
               number(width * 0.9) + "\" height=\"" + number(height) + "\"/>";
    };
    for (std::size_t at = 0; at < series.size(); ++at)
    {
        const json& minute = series[at];
        const double scale =
            static_cast<double>(plot_height) / static_cast<double>(most);
        const auto good =
            static_cast<double>(minute.value("good", std::uint64_t(0))) * scale;
        const double all = static_cast<double>(total_of(minute)) * scale;
        const double x = static_cast<double>(at) * width;
        bar(x, 0, good, "good");
        bar(x, good, all - good, "bad");
    }
    return out + "</svg>";
}

} // namespace

json make_burn_report(const std::vector<json>& hosts, int objective)
{
    std::map<std::pair<std::string, std::string>, json> rows;
    for (const json& host : hosts)
    {
        for (const json& row : host)
        {
            json& into = rows[{
                row["account"].get<std::string>(),
                row["route"].get<std::string>()}];
            into["account"] = row["account"];
            into["route"] = row["route"];
            for (const char* span : windows)
            {
                add_counts(into["windows"][span], row["windows"][span]);
            }
            const json& series = row["series"];
            for (std::size_t at = 0; at < series.size(); ++at)
            {
                add_counts(into["series"][at], series[at]);
            }
        }
    }
    json out{{"objective", objective / thousand}};
    out["rows"] = json::array();
    for (auto& [name, row] : rows)
    {
        for (const char* span : windows)
        {
            json& counts = row["windows"][span];
            const double burn = burn_of(counts, objective);
            counts["burn"] = burn;
        }
        row["alarm"] = alarm_of(row);
        out["rows"].push_back(std::move(row));
    }
    return out;
}

std::string burn_text(const json& report)
{
    std::string out = "account              route                    burn 5m"
                      "  burn 1h  burn 6h  requests 1h  alarm\n";
    for (const json& row : report["rows"])
    {
        const json& spans = row["windows"];
        std::array<char, 256> line{};
        const auto account = row["account"].get<std::string>();
        const auto route = row["route"].get<std::string>();
        std::snprintf(
            line.data(),
            line.size(),
            "%-20s %-24s %7.2f  %7.2f  %7.2f  %11llu  %s\n",
            account.empty() ? "(open)" : account.c_str(),
            route.c_str(),
            spans["5m"]["burn"].get<double>(),
            spans["1h"]["burn"].get<double>(),
            spans["6h"]["burn"].get<double>(),
            static_cast<unsigned long long>(total_of(spans["1h"])),
            row["alarm"].get<std::string>().c_str());
        out += line.data();
    }
    return out;
}

std::string burn_html(const json& report)
{
    std::string out =
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
        "<title>Service-level burn</title><style>"
        "body{font:15px sans-serif;margin:2em;max-width:60em}"
        "td,th{padding:.2em .8em;text-align:right}"
        "td:first-child,th:first-child{text-align:left}"
        "svg{width:100%;height:120px;background:#f4f4f4}"
        ".good{fill:#4a8}.bad{fill:#c43}</style>"
        "<h1>Service-level burn</h1><p>Objective: " +
        number(report["objective"].get<double>() * 100) +
        "% of requests good. Burn 1 uses up the allowance exactly.</p>";
    for (const json& row : report["rows"])
    {
        const auto account = row["account"].get<std::string>();
        out += "<h2>" + escape(account.empty() ? "(open)" : account) + ", " +
               escape(row["route"].get<std::string>()) +
               "</h2><table><tr><th>window<th>burn<th>good<th>late<th>refused"
               "<th>failed</tr>";
        for (const char* span : windows)
        {
            const json& counts = row["windows"][span];
            out += "<tr><td>" + std::string(span) + "<td>" +
                   number(counts["burn"].get<double>());
            for (const char* name : counted)
            {
                out += "<td>" +
                       std::to_string(counts.value(name, std::uint64_t(0)));
            }
            out += "</tr>";
        }
        out += "</table><p>Requests a minute over the last hour: good below, "
               "others above. Alarm: " +
               row["alarm"].get<std::string>() + ".</p>" + plot(row["series"]);
    }
    return out + "</html>\n";
}

} // namespace poplarroute::main::ctl
