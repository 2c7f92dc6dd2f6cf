// How the leader reads the platform's list of endpoints.

#include "node/endpoint_list_poller.hpp"

#include <gtest/gtest.h>

#include "drivers/http_server.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;

constexpr const char* list_address = "127.0.0.1:19622";

std::string make_entry(const std::string& name, const std::string& state)
{
    return R"({"id":")" + name +
           R"(","service":"s","zone":"z","address":"10.0.0.1:80","slots":4,)" +
           R"("state":")" + state + R"(","coldLeftMs":0})";
}

/// The platform's list, in two pages.
struct listing
{
    explicit listing(asio::io_context& io)
        : port_(
              io,
              list_address,
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  return answer(exchange);
              })
    {
        port_.start();
    }

    asio::awaitable<void> answer(drivers::http_exchange& exchange)
    {
        co_await drivers::sleep_for(page_time_);
        const bool is_first =
            exchange.request().target_.find('?') == std::string::npos;
        first_pages_ += is_first ? 1 : 0;
        std::string body =
            is_first ? R"({"instances":[)" + make_entry("i-1", "ready") +
                           R"(],"next":"p-1"})"
                     : R"({"instances":[)" + make_entry("i-2", second_state_) +
                           R"(],"next":null})";
        drivers::header_list headers;
        const int status = 200;
        co_await exchange.send(status, std::move(headers), std::move(body));
    }

    core::duration page_time_{1};
    std::string second_state_ = "ready";
    int first_pages_ = 0; ///< Number of reads that have begun.
    drivers::http_server port_;
};

struct reading_host : process
{
    explicit reading_host(asio::io_context& io, bool shares_calls = false)
        : process(io, "127.0.0.1:19623", "127.0.0.1:19623"),
          poller_(
              with_,
              codec_,
              []()
              {
                  return true;
              },
              shares_calls)
    {
        board_.section<node::settings_section>().settings_.list_address_ =
            list_address;
        poller_.start();
    }

    const node::endpoint_section& list()
    {
        return board_.section<node::endpoint_section>();
    }

    bool has_decoded(int pages)
    {
        return metrics_.text().find(
                   "poplarroute_list_pages_decoded_total " +
                   std::to_string(pages) + "\n") != std::string::npos;
    }

    node::endpoint_list_poller poller_;
};

// Guards against a leader that is kept busy by parsing a long list several
// times per second although it does not change.
TEST(list_poller, decodes_only_pages_that_have_changed)
{
    asio::io_context io{1};
    listing platform(io);
    reading_host host(io);
    io.run_for(std::chrono::milliseconds(2'500));
    EXPECT_GE(platform.first_pages_, 2);
    EXPECT_TRUE(host.has_decoded(2));
    platform.second_state_ = "draining";
    io.run_for(std::chrono::milliseconds(1'500));
    EXPECT_TRUE(host.has_decoded(3));
    ASSERT_EQ(host.list().endpoints_.size(), 2U);
    EXPECT_FALSE(host.list().endpoints_.at("i-1").listed_.leaving_);
    EXPECT_TRUE(host.list().endpoints_.at("i-2").listed_.leaving_);
}

// A read takes 600 ms. Guards against a pause after it that makes the interval
// grow with the time of a read: three reads would begin in this time.
TEST(list_poller, a_slow_read_does_not_make_reads_rarer)
{
    asio::io_context io{1};
    listing platform(io);
    platform.page_time_ = {300};
    reading_host host(io);
    io.run_for(std::chrono::milliseconds(3'800));
    EXPECT_GE(platform.first_pages_, 4);
}

// 300 hosts that lost their leader read the list at the same time, two pages
// each, where 100 calls per second are allowed. Guards against hosts that use
// up the calls which the next leader needs.
TEST(list_poller, hosts_that_read_the_list_themselves_leave_calls_to_the_leader)
{
    asio::io_context io{1};
    listing platform(io);
    reading_host host(io, true);
    host.board_.section<node::group_section>().hosts_ = 300;
    host.board_.section<node::settings_section>()
        .settings_.list_calls_per_second_ = 100;
    io.run_for(std::chrono::milliseconds(6'000));
    // The first read does not know the number of pages.
    EXPECT_GE(platform.first_pages_, 1);
    EXPECT_LE(platform.first_pages_, 2);
}

} // namespace
} // namespace poplarroute::platform
