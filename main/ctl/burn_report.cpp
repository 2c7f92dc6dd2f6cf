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

constexpr std::array<const char*, 3> window_names{"5m", "1h", "6h"};
constexpr std::array<const char*, 4> outcome_names{
    "good", "late", "refused", "failed"};
constexpr double per_mille = 1'000;
constexpr int chart_width = 600;
constexpr int chart_height = 120;

/// Burn-rate thresholds. An alarm is raised when both a short and a long window
/// exceed one: the first calls a person at once, the second asks a person to
/// look at the problem on the same day.
constexpr double page_burn_rate = 14.4;
constexpr double ticket_burn_rate = 1;

void add_counts(json& target, const json& source)
{
    if (target.is_null())
    {
        target = json::object();
    }
    for (const auto& [name, count] : source.items())
    {
        target[name] =
            target.value(name, std::uint64_t(0)) + count.get<std::uint64_t>();
    }
}

std::uint64_t total_requests(const json& counts)
{
    std::uint64_t total = 0;
    for (const char* name : outcome_names)
    {
        total += counts.value(name, std::uint64_t(0));
    }
    return total;
}

double burn_rate_of(const json& counts, int objective_per_mille)
{
    const std::uint64_t total = total_requests(counts);
    if (total == 0)
    {
        return 0;
    }
    const auto bad =
        static_cast<double>(total - counts.value("good", std::uint64_t(0)));
    const double error_budget = (per_mille - objective_per_mille) / per_mille;
    return bad / static_cast<double>(total) / error_budget;
}

/// \return "page", "ticket" or "none".
const char* alarm_level_of(const json& row)
{
    const json& windows = row["windows"];
    const double burn_rate_5m = windows["5m"]["burn"].get<double>();
    const double burn_rate_1h = windows["1h"]["burn"].get<double>();
    const double burn_rate_6h = windows["6h"]["burn"].get<double>();
    if (burn_rate_5m > page_burn_rate && burn_rate_1h > page_burn_rate)
    {
        return "page";
    }
    return burn_rate_1h > ticket_burn_rate && burn_rate_6h > ticket_burn_rate
               ? "ticket"
               : "none";
}

std::string format_number(double value)
{
    std::array<char, 32> out{};
    std::snprintf(out.data(), out.size(), "%.2f", value);
    return out.data();
}

std::string escape_html(const std::string& text)
{
    std::string out;
    for (const char character : text)
    {
        switch (character)
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
            out += character;
        }
    }
    return out;
}

/// \return an SVG bar chart with a bar per minute: good requests below, bad
/// ones above.
std::string plot_minutes(const json& series)
{
    std::uint64_t max_requests = 1;
    for (const json& minute : series)
    {
        max_requests = std::max(max_requests, total_requests(minute));
    }
    const double width =
        static_cast<double>(chart_width) / static_cast<double>(series.size());
    std::string out = "<svg role=\"img\" viewBox=\"0 0 " +
                      std::to_string(chart_width) + " " +
                      std::to_string(chart_height) + "\">";
    const auto bar =
        [&](double x, double bottom, double height, const char* css_class)
    {
        out += "<rect class=\"" + std::string(css_class) + "\" x=\"" +
               format_number(x) + "\" y=\"" +
               format_number(chart_height - bottom - height) + "\" width=\"" +
               format_number(width * 0.9) + "\" height=\"" +
               format_number(height) + "\"/>";
    };
    for (std::size_t index = 0; index < series.size(); ++index)
    {
        const json& minute = series[index];
        const double scale = static_cast<double>(chart_height) /
                             static_cast<double>(max_requests);
        const auto good =
            static_cast<double>(minute.value("good", std::uint64_t(0))) * scale;
        const double all = static_cast<double>(total_requests(minute)) * scale;
        const double x = static_cast<double>(index) * width;
        bar(x, 0, good, "good");
        bar(x, good, all - good, "bad");
    }
    return out + "</svg>";
}

} // namespace

json make_burn_report(const std::vector<json>& hosts, int objective_per_mille)
{
    std::map<std::pair<std::string, std::string>, json> rows;
    for (const json& host : hosts)
    {
        for (const json& row : host)
        {
            json& target = rows[{
                row["account"].get<std::string>(),
                row["route"].get<std::string>()}];
            target["account"] = row["account"];
            target["route"] = row["route"];
            for (const char* window : window_names)
            {
                add_counts(target["windows"][window], row["windows"][window]);
            }
            const json& series = row["series"];
            for (std::size_t index = 0; index < series.size(); ++index)
            {
                add_counts(target["series"][index], series[index]);
            }
        }
    }
    json out{{"objective", objective_per_mille / per_mille}};
    out["rows"] = json::array();
    for (auto& [name, row] : rows)
    {
        for (const char* window : window_names)
        {
            json& counts = row["windows"][window];
            const double burn_rate = burn_rate_of(counts, objective_per_mille);
            counts["burn"] = burn_rate;
        }
        row["alarm"] = alarm_level_of(row);
        out["rows"].push_back(std::move(row));
    }
    return out;
}

std::string format_burn_report(const json& report)
{
    std::string out = "account              route                    burn 5m"
                      "  burn 1h  burn 6h  requests 1h  alarm\n";
    for (const json& row : report["rows"])
    {
        const json& windows = row["windows"];
        std::array<char, 256> line{};
        const auto account = row["account"].get<std::string>();
        const auto route = row["route"].get<std::string>();
        std::snprintf(
            line.data(),
            line.size(),
            "%-20s %-24s %7.2f  %7.2f  %7.2f  %11llu  %s\n",
            account.empty() ? "(open)" : account.c_str(),
            route.c_str(),
            windows["5m"]["burn"].get<double>(),
            windows["1h"]["burn"].get<double>(),
            windows["6h"]["burn"].get<double>(),
            static_cast<unsigned long long>(total_requests(windows["1h"])),
            row["alarm"].get<std::string>().c_str());
        out += line.data();
    }
    return out;
}

std::string format_burn_report_html(const json& report)
{
    std::string out =
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
        "<title>Error-budget burn rate</title><style>"
        "body{font:15px sans-serif;margin:2em;max-width:60em}"
        "td,th{padding:.2em .8em;text-align:right}"
        "td:first-child,th:first-child{text-align:left}"
        "svg{width:100%;height:120px;background:#f4f4f4}"
        ".good{fill:#4a8}.bad{fill:#c43}</style>"
        "<h1>Error-budget burn rate</h1><p>Objective: " +
        format_number(report["objective"].get<double>() * 100) +
        "% of requests good. A burn rate of 1 uses up the error budget "
        "exactly.</p>";
    for (const json& row : report["rows"])
    {
        const auto account = row["account"].get<std::string>();
        out +=
            "<h2>" + escape_html(account.empty() ? "(open)" : account) + ", " +
            escape_html(row["route"].get<std::string>()) +
            "</h2><table><tr><th>window<th>burn rate<th>good<th>late<th>refused"
            "<th>failed</tr>";
        for (const char* window : window_names)
        {
            const json& counts = row["windows"][window];
            out += "<tr><td>" + std::string(window) + "<td>" +
                   format_number(counts["burn"].get<double>());
            for (const char* name : outcome_names)
            {
                out += "<td>" +
                       std::to_string(counts.value(name, std::uint64_t(0)));
            }
            out += "</tr>";
        }
        out += "</table><p>Requests per minute over the last hour: good below, "
               "others above. Alarm: " +
               row["alarm"].get<std::string>() + ".</p>" +
               plot_minutes(row["series"]);
    }
    return out + "</html>\n";
}

} // namespace poplarroute::main::ctl
