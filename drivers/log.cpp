#include "drivers/log.hpp"

#include <algorithm>
#include <map>
#include <memory>

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

bool as_json = false;
std::string host_name;
log_counts counts;

/// Lines kept for a reader that is behind; about a second of a full log.
constexpr std::size_t most_pending_bytes = 256 * 1024;

/// Lines of one event a second, and at once. A host answers some tens of
/// requests a second; a storm beyond that is told by the counters.
constexpr double lines_per_second = 60;
constexpr double lines_at_once = 240;
constexpr double ms_per_second = 1'000;

/// Standard output, written without waiting for its reader.
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
        if (pending_.size() + line.size() > most_pending_bytes)
        {
            ++counts.dropped_;
            return;
        }
        pending_.append(line.data(), line.size());
        ++counts.written_;
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

/// Bounds the lines of one event.
class event_allowance
{
public:
    bool take(core::time_point now)
    {
        const auto passed = static_cast<double>((now - filled_at_).ms_);
        level_ = std::min(
            lines_at_once, level_ + passed * lines_per_second / ms_per_second);
        filled_at_ = now;
        if (level_ < 1)
        {
            return false;
        }
        level_ -= 1;
        return true;
    }

private:
    double level_ = lines_at_once;
    core::time_point filled_at_;
};

/// Failures have an allowance of their own beside successes of the same event.
bool allowed(log_level level, std::string_view event)
{
    static std::
        map<log_level, std::map<std::string, event_allowance, std::less<>>>
            all;
    auto& allowances = all[level];
    auto found = allowances.find(event);
    if (found == allowances.end())
    {
        found = allowances.emplace(event, event_allowance()).first;
    }
    return found->second.take(core::steady_now());
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
    auto logger = std::make_shared<spdlog::logger>(
        "poplarroute", std::make_shared<bounded_sink>());
    logger->set_pattern(
        json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v)"
             : "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
    logger->set_level(spdlog::level::from_str(std::string(level)));
    spdlog::set_default_logger(logger);
}

void flush_log()
{
    spdlog::default_logger_raw()->flush();
}

const log_counts& log_line_counts()
{
    return counts;
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
    if (!allowed(level, event))
    {
        ++counts.suppressed_;
        return;
    }
    // The pattern opens the JSON object, so the line's own brace is left out.
    const std::string line = as_json ? json_line(event, fields).substr(1)
                                     : key_value_line(event, fields);
    spdlog::log(at, "{}", line);
}

} // namespace poplarroute::drivers
