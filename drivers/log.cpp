#include "drivers/log.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace poplarroute::drivers
{

namespace
{

bool as_json = false;
std::string host_name;

spdlog::level::level_enum spdlog_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

bool needs_quotes(std::string_view text)
{
    return text.empty() ||
           text.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

void append_text(std::string& out, std::string_view text)
{
    out += needs_quotes(text)
               ? nlohmann::json(text).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace)
               : std::string(text);
}

std::string key_value_line(
    std::string_view event, std::initializer_list<log_field> fields)
{
    std::string out = "host=";
    append_text(out, host_name);
    out += " event=";
    out += event;
    for (const log_field& field : fields)
    {
        out += ' ';
        out += field.key_;
        out += '=';
        append_text(out, field.text_);
    }
    return out;
}

std::string json_line(
    std::string_view event, std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json out;
    out["host"] = host_name;
    out["event"] = event;
    for (const log_field& field : fields)
    {
        out[std::string(field.key_)] = field.text_;
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

log_field::log_field(std::string_view key, std::string_view text)
    : key_(key), text_(text)
{
}

log_field::log_field(std::string_view key, const char* text)
    : key_(key), text_(text)
{
}

log_field::log_field(std::string_view key, const std::string& text)
    : key_(key), text_(text)
{
}

void open_log(std::string_view host, std::string_view level, bool json)
{
    as_json = json;
    host_name = std::string(host);
    auto logger = spdlog::stderr_logger_mt("poplarroute");
    logger->set_pattern(
        json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)"
             : "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
    logger->set_level(spdlog::level::from_str(std::string(level)));
    spdlog::set_default_logger(logger);
}

void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    const spdlog::level::level_enum at = spdlog_level(level);
    if (!spdlog::should_log(at))
    {
        return;
    }
    // The pattern opens the JSON object, so the line's own brace is left out.
    const std::string line = as_json ? json_line(event, fields).substr(1)
                                     : key_value_line(event, fields);
    spdlog::log(at, "{}", line);
}

} // namespace poplarroute::drivers
