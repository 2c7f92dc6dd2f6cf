#pragma once

#include <cstdint>
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

/// One key=value of a log line. It must never hold an API key, a secret or a
/// body.
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

/// Sets up the log on standard output, with a line per event. A reader that
/// does not read never blocks the process: lines that do not fit into a bounded
/// buffer are dropped and counted, and so are lines of one event above its rate
/// limit.
/// \param host the host's name, which is in each line.
/// \param level "debug", "info", "warning" or "error".
/// \param json whether lines are JSON instead of key=value.
void open_log(std::string_view host, std::string_view level, bool json);

/// Reports suppressed lines, and writes as many buffered lines as the reader
/// accepts without waiting.
void flush_log();

/// Numbers of log lines since the process started.
struct log_counts
{
    std::uint64_t written_ = 0;
    std::uint64_t dropped_ = 0;    ///< The buffer was full.
    std::uint64_t suppressed_ = 0; ///< Above the rate limit of their event.
};

const log_counts& log_line_counts();

/// Writes one event.
/// \param event a name that does not change, such as "request_done".
void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields);

} // namespace poplarroute::drivers
