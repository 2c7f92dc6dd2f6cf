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

/// Puts a pipe in the place of standard output.
class log_on_a_pipe : public testing::Test
{
protected:
    void SetUp() override
    {
        std::array<int, 2> ends{};
        ASSERT_EQ(::pipe(ends.data()), 0);
        reader_ = ends[0];
        kept_ = ::dup(STDOUT_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
        ::fcntl(reader_, F_SETFL, O_NONBLOCK);
        logger_ = spdlog::default_logger();
        open_log("host-1", "info", false);
    }

    void TearDown() override
    {
        ::dup2(kept_, STDOUT_FILENO);
        ::close(kept_);
        ::close(reader_);
        spdlog::set_default_logger(logger_);
    }

    /// \return what has been written and not been read.
    std::string read_all() const
    {
        std::string out;
        std::array<char, 4096> room{};
        for (;;)
        {
            const ssize_t size = ::read(reader_, room.data(), room.size());
            if (size <= 0)
            {
                return out;
            }
            out.append(room.data(), static_cast<std::size_t>(size));
        }
    }

private:
    int reader_ = -1;
    int kept_ = -1;
    std::shared_ptr<spdlog::logger> logger_;
};

// The test would hang if a line waited for its reader.
TEST_F(log_on_a_pipe, a_reader_that_does_not_read_blocks_nothing)
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

// Load: ten times the requests of a busy host, in one moment.
TEST_F(log_on_a_pipe, a_storm_of_one_event_is_bounded)
{
    const std::uint64_t written = log_line_counts().written_;
    const std::uint64_t suppressed = log_line_counts().suppressed_;
    constexpr int storm = 5'000;
    for (int line = 0; line < storm; ++line)
    {
        log_event(log_level::info, "storm", {{"id", line}});
    }
    const std::uint64_t lines = log_line_counts().written_ - written;
    EXPECT_LE(lines, 600U);
    EXPECT_EQ(log_line_counts().suppressed_ - suppressed + lines, storm);
}

TEST_F(log_on_a_pipe, successes_do_not_crowd_out_failures)
{
    for (int line = 0; line < 1'000; ++line)
    {
        log_event(log_level::info, "request", {{"outcome", "answered"}});
    }
    log_event(log_level::warning, "request", {{"outcome", "refused"}});
    EXPECT_NE(read_all().find("outcome=refused"), std::string::npos);
}

TEST_F(log_on_a_pipe, a_line_names_host_event_and_fields)
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
