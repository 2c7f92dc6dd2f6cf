#include "drivers/log.hpp"

#include <array>
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace poplarroute::drivers
{
namespace
{

/// Fixture that replaces standard output by a pipe.
class log_to_pipe : public testing::Test
{
protected:
    void SetUp() override
    {
        std::array<int, 2> ends{};
        ASSERT_EQ(::pipe(ends.data()), 0);
        read_end_ = ends[0];
        saved_stdout_ = ::dup(STDOUT_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
        ::fcntl(read_end_, F_SETFL, O_NONBLOCK);
        saved_logger_ = spdlog::default_logger();
        open_log("host-1", "info", false);
    }

    void TearDown() override
    {
        ::dup2(saved_stdout_, STDOUT_FILENO);
        ::close(saved_stdout_);
        ::close(read_end_);
        spdlog::set_default_logger(saved_logger_);
    }

    /// \return everything that has been written and not yet read.
    std::string read_all() const
    {
        std::string out;
        std::array<char, 4096> buffer{};
        for (;;)
        {
            const ssize_t size =
                ::read(read_end_, buffer.data(), buffer.size());
            if (size <= 0)
            {
                return out;
            }
            out.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

private:
    int read_end_ = -1;
    int saved_stdout_ = -1;
    std::shared_ptr<spdlog::logger> saved_logger_;
};

// Guards against a log that waits for a reader that does not read: the test
// would hang.
TEST_F(log_to_pipe, a_stalled_reader_does_not_block_logging)
{
    const std::string text(1'000, 'x');
    const std::uint64_t dropped = log_line_counts().dropped_;
    constexpr int events = 40;
    constexpr int lines = 200;
    for (int event = 0; event < events; ++event)
    {
        const std::string name = "blocked_" + std::to_string(event);
        for (int line = 0; line < lines; ++line)
        {
            log_event(log_level::info, name, {{"text", text}});
        }
    }
    EXPECT_GT(log_line_counts().dropped_, dropped);
    EXPECT_FALSE(read_all().empty());
    flush_log();
    EXPECT_FALSE(read_all().empty());
}

// Logs ten times the requests of a busy host at once.
TEST_F(log_to_pipe, limits_the_lines_of_one_event)
{
    const std::uint64_t written = log_line_counts().written_;
    const std::uint64_t suppressed = log_line_counts().suppressed_;
    constexpr int events = 5'000;
    for (int line = 0; line < events; ++line)
    {
        log_event(log_level::info, "storm", {{"id", line}});
    }
    const std::uint64_t lines = log_line_counts().written_ - written;
    EXPECT_LE(lines, 600U);
    EXPECT_EQ(log_line_counts().suppressed_ - suppressed + lines, events);
}

TEST_F(log_to_pipe, says_how_many_lines_of_an_event_it_does_not_show)
{
    const std::uint64_t before = log_line_counts().suppressed_;
    for (int line = 0; line < 1'000; ++line)
    {
        log_event(log_level::info, "flood", {{"id", line}});
    }
    const std::uint64_t suppressed = log_line_counts().suppressed_ - before;
    ASSERT_GT(suppressed, 0U);
    flush_log();
    EXPECT_NE(
        read_all().find(
            "event=lines_suppressed of=flood lines=" +
            std::to_string(suppressed)),
        std::string::npos);
}

TEST_F(log_to_pipe, successes_do_not_crowd_out_failures)
{
    for (int line = 0; line < 1'000; ++line)
    {
        log_event(log_level::info, "request", {{"outcome", "answered"}});
    }
    log_event(log_level::warning, "request", {{"outcome", "refused"}});
    EXPECT_NE(read_all().find("outcome=refused"), std::string::npos);
}

// Guards against a log that search tools take for a binary file, after a caller
// has sent a NUL in a name.
TEST_F(log_to_pipe, control_characters_are_escaped)
{
    log_event(
        log_level::warning, "odd", {{"name", std::string("v2\0\x1b", 4)}});
    EXPECT_NE(read_all().find(R"(name="v2\u0000\u001b")"), std::string::npos);
}

TEST_F(log_to_pipe, a_line_names_host_event_and_fields)
{
    log_event(
        log_level::warning,
        "engine_lost",
        {{"id", "a 1"}, {"age_ms", 12}, {"empty", ""}});
    const std::string line = read_all();
    EXPECT_NE(
        line.find("level=warning host=host-1 event=engine_lost"),
        std::string::npos)
        << line;
    EXPECT_NE(line.find(R"(id="a 1" age_ms=12 empty="")"), std::string::npos)
        << line;
}

} // namespace
} // namespace poplarroute::drivers
