#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace poplarroute::drivers
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// One key=value of a log line. Never a key, a secret or a body.
struct log_field
{
    log_field(std::string_view key, std::string_view text);
    log_field(std::string_view key, const char* text);
    log_field(std::string_view key, const std::string& text);

    template <class Number>
    requires std::is_arithmetic_v<Number> log_field(
        std::string_view key, Number number)
        : key_(key), text_(std::to_string(number))
    {
    }

    std::string_view key_;
    std::string text_;
};

/// Sets up the log on standard error, a line per event.
/// \param host named in each line.
/// \param level "debug", "info", "warning" or "error".
/// \param json whether lines are JSON instead of key=value.
void open_log(std::string_view host, std::string_view level, bool json);

/// Writes one event.
/// \param event a stable name, such as "request_done".
void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields);

} // namespace poplarroute::drivers
