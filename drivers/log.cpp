#include "drivers/log.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include "core/clock.hpp"

namespace poplarroute::drivers
{

namespace
{

bool json_format = false;
std::string host_name;
log_counts line_counts;

/// Bound of the buffer for a slow reader of the log: about a second of log
/// lines at the highest rate.
constexpr std::size_t max_pending_bytes = 256 * 1024;

/// Rate limit and burst of the lines of one event. A host serves some tens of
/// requests a second; above that the counter of suppressed lines shows how many
/// there were.
constexpr double event_lines_per_second = 60;
constexpr double event_burst_lines = 240;
constexpr double ms_per_second = 1'000;

/// Sink for standard output that never waits for its reader.
class bounded_sink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    bounded_sink()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
        {
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        }
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (pending_.size() + line.size() > max_pending_bytes)
        {
            ++line_counts.dropped_;
            return;
        }
        pending_.append(line.data(), line.size());
        ++line_counts.written_;
        flush_();
    }

    void flush_() override
    {
        while (!pending_.empty())
        {
            const ssize_t size =
                ::write(STDOUT_FILENO, pending_.data(), pending_.size());
            if (size <= 0)
            {
                return;
            }
            pending_.erase(0, static_cast<std::size_t>(size));
        }
    }

private:
    std::string pending_;
};

/// Token bucket that limits the lines of one event.
class event_rate_limiter
{
public:
    bool try_acquire(core::time_point now)
    {
        const auto elapsed_ms = static_cast<double>((now - filled_at_).ms_);
        tokens_ = std::min(
            event_burst_lines,
            tokens_ + elapsed_ms * event_lines_per_second / ms_per_second);
        filled_at_ = now;
        if (tokens_ < 1)
        {
            ++suppressed_;
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// \return the number of lines suppressed since the last call that returned
    /// any; 0 until that call is long enough ago.
    std::uint64_t take_suppressed(core::time_point now)
    {
        if (suppressed_ == 0 || now - reported_at_ < report_interval_)
        {
            return 0;
        }
        reported_at_ = now;
        return std::exchange(suppressed_, 0);
    }

private:
    static constexpr core::duration report_interval_{500};

    std::uint64_t suppressed_ = 0;
    core::time_point reported_at_;
    double tokens_ = event_burst_lines;
    core::time_point filled_at_;
};

/// The rate limits of the events' lines. Each level has its own, so that
/// successes do not suppress failures of the same event.
std::map<log_level, std::map<std::string, event_rate_limiter, std::less<>>>&
rate_limiters()
{
    static std::
        map<log_level, std::map<std::string, event_rate_limiter, std::less<>>>
            limiters;
    return limiters;
}

/// Takes a line of an event from its rate limit.
bool is_within_rate(log_level level, std::string_view event)
{
    auto& level_limiters = rate_limiters()[level];
    auto found = level_limiters.find(event);
    if (found == level_limiters.end())
    {
        found = level_limiters.emplace(event, event_rate_limiter()).first;
    }
    return found->second.try_acquire(core::steady_now());
}

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
    // Control characters of a caller's text would make the log a binary file.
    return text.empty() || std::any_of(
                               text.begin(),
                               text.end(),
                               [](unsigned char character)
                               {
                                   return character <= ' ' ||
                                          character == '=' || character == '"';
                               });
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

std::string format_line(
    std::string_view event, std::initializer_list<log_field> fields)
{
    // The pattern opens the JSON object, so the first brace of the line is
    // removed.
    return json_format ? json_line(event, fields).substr(1)
                       : key_value_line(event, fields);
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
    json_format = json;
    host_name = std::string(host);
    auto logger = std::make_shared<spdlog::logger>(
        "poplarroute", std::make_shared<bounded_sink>());
    logger->set_pattern(
        json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)"
             : "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
    logger->set_level(spdlog::level::from_str(std::string(level)));
    spdlog::set_default_logger(logger);
}

namespace
{

/// Writes how many lines of each event were suppressed, so that a reader of the
/// log knows what it does not show.
void report_suppressed_lines()
{
    const core::time_point now = core::steady_now();
    for (auto& [level, limiters] : rate_limiters())
    {
        for (auto& [event, limiter] : limiters)
        {
            const std::uint64_t count = limiter.take_suppressed(now);
            if (count > 0)
            {
                spdlog::warn(
                    "{}",
                    format_line(
                        "lines_suppressed", {{"of", event}, {"lines", count}}));
            }
        }
    }
}

} // namespace

void flush_log()
{
    report_suppressed_lines();
    spdlog::default_logger_raw()->flush();
}

const log_counts& log_line_counts()
{
    return line_counts;
}

void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    const spdlog::level::level_enum spdlog_severity = spdlog_level(level);
    if (!spdlog::should_log(spdlog_severity))
    {
        return;
    }
    if (!is_within_rate(level, event))
    {
        ++line_counts.suppressed_;
        return;
    }
    spdlog::log(spdlog_severity, "{}", format_line(event, fields));
}

} // namespace poplarroute::drivers
