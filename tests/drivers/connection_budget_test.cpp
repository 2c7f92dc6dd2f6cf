#include "drivers/connection_budget.hpp"

#include <array>
#include <optional>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_server.hpp"

namespace poplarroute::drivers
{
namespace
{

using phase = held_connection::phase;

constexpr std::size_t connection_limit = 3;
constexpr std::size_t byte_limit = 1'000;
constexpr std::size_t body_limit = 500;

/// A group with a few connections, and which of them were ended.
class connection_group_test : public testing::Test
{
protected:
    void open(std::size_t number, phase in)
    {
        connections_.at(number).emplace(
            group_,
            "client",
            [this, number](phase)
            {
                ended_ += std::to_string(number);
                return !refuses_to_end_;
            });
        connections_.at(number)->enter(in);
    }

    std::shared_ptr<connection_group> group_ =
        std::make_shared<connection_group>(
            "test",
            listener_limits{connection_limit, byte_limit},
            std::make_shared<byte_budget>(body_limit));
    std::array<std::optional<held_connection>, 5> connections_;
    std::string ended_;
    bool refuses_to_end_ = false;
};

// Idle connections, opened up to the limit and left, must not shut out others.
TEST_F(connection_group_test, closes_the_connection_that_is_idle_longest)
{
    open(0, phase::running);
    open(1, phase::idle);
    open(2, phase::idle);
    connections_[1]->enter(phase::idle);
    EXPECT_TRUE(group_->admit());
    EXPECT_EQ(ended_, "2");
    EXPECT_EQ(group_->connections(), 2U);
}

// Requests that never become complete must not shut out others.
TEST_F(connection_group_test, then_closes_the_one_that_arrives_longest)
{
    open(0, phase::arriving);
    open(1, phase::running);
    open(2, phase::arriving);
    EXPECT_TRUE(group_->admit());
    EXPECT_EQ(ended_, "0");
    EXPECT_TRUE(connections_[0]->ended());
    EXPECT_FALSE(connections_[0]->hold(1));
}

TEST_F(connection_group_test, never_closes_a_connection_whose_request_runs)
{
    open(0, phase::running);
    open(1, phase::running);
    open(2, phase::running);
    EXPECT_FALSE(group_->admit());
    EXPECT_EQ(ended_, "");
    connections_[0].reset();
    EXPECT_TRUE(group_->admit());
}

TEST_F(connection_group_test, leaves_an_idle_connection_with_a_request_open)
{
    refuses_to_end_ = true;
    open(0, phase::idle);
    open(1, phase::running);
    open(2, phase::running);
    EXPECT_FALSE(group_->admit());
    EXPECT_FALSE(connections_[0]->ended());
}

// Many unfinished requests must not take the memory that others need.
TEST_F(connection_group_test, ends_the_arriving_request_that_holds_most)
{
    open(0, phase::arriving);
    open(1, phase::arriving);
    open(2, phase::arriving);
    EXPECT_TRUE(connections_[0]->hold(300));
    EXPECT_TRUE(connections_[1]->hold(600));
    EXPECT_TRUE(connections_[2]->hold(200));
    EXPECT_EQ(ended_, "1");
    EXPECT_EQ(group_->bytes(), 500U);
}

TEST_F(connection_group_test, refuses_the_one_that_would_hold_most)
{
    open(0, phase::arriving);
    open(1, phase::arriving);
    EXPECT_TRUE(connections_[0]->hold(600));
    EXPECT_FALSE(connections_[1]->hold(700));
    EXPECT_EQ(ended_, "");
    EXPECT_EQ(group_->bytes(), 600U);
}

TEST_F(connection_group_test, closes_idle_connections_for_memory)
{
    open(0, phase::idle);
    open(1, phase::arriving);
    EXPECT_TRUE(connections_[0]->hold(400));
    EXPECT_TRUE(connections_[1]->hold(900));
    EXPECT_EQ(ended_, "0");
}

TEST_F(connection_group_test, frees_bodies_for_responses_of_running_requests)
{
    group_->bodies()->set_reclaimer(
        [this](std::size_t bytes)
        {
            group_->free_bodies(bytes);
        });
    open(0, phase::arriving);
    open(1, phase::running);
    EXPECT_TRUE(connections_[0]->hold_body(300));
    EXPECT_TRUE(connections_[1]->hold_body(100));
    byte_hold response(group_->bodies());
    EXPECT_TRUE(response.resize(400));
    EXPECT_EQ(ended_, "0");
    EXPECT_EQ(group_->bodies()->used(), 500U);
}

TEST_F(connection_group_test, holds_nothing_when_all_are_gone)
{
    open(0, phase::arriving);
    open(1, phase::arriving);
    EXPECT_TRUE(connections_[0]->hold(300));
    EXPECT_TRUE(connections_[1]->hold_body(300));
    connections_[0].reset();
    connections_[1].reset();
    EXPECT_EQ(group_->bytes(), 0U);
    EXPECT_EQ(group_->connections(), 0U);
    EXPECT_EQ(group_->bodies()->used(), 0U);
}

TEST(process_limits, stay_within_the_shares_together)
{
    const client_settings settings;
    for (const bool has_callers : {true, false})
    {
        const process_limits limits = divide_limits(settings, has_callers);
        EXPECT_GT(limits.callers_.connections_, 0U);
        EXPECT_LE(
            (has_callers ? limits.callers_.bytes_ : 0) +
                3 * limits.service_.bytes_ + limits.peers_.bytes_,
            settings.memory_mb_ * 1024 * 1024 * settings.memory_percent_ / 100);
    }
}

constexpr const char* address = "127.0.0.1:19483";

asio::awaitable<void> echo(http_exchange& exchange)
{
    header_list headers{
        {"X-Trailer",
         std::string(find_header(exchange.request().headers_, "T"))},
        {"X-Count", std::to_string(exchange.request().headers_.size())}};
    std::string body = exchange.request().method_ + exchange.request().body_;
    co_await exchange.send(200, std::move(headers), std::move(body));
}

/// Sends bytes to a server and reads what it answers within some time.
std::string exchange_bytes(http_limits limits, const std::string& bytes)
{
    asio::io_context io;
    http_server server(io, address, limits, echo);
    server.start();
    std::string out;
    tcp::socket client(io);
    client.connect(parse_endpoint(address));
    const auto talk = [&]() -> asio::awaitable<void>
    {
        error_code failed;
        co_await asio::async_write(
            client,
            asio::buffer(bytes),
            asio::redirect_error(asio::use_awaitable, failed));
        std::array<char, 4096> buffer{};
        failed = {};
        while (!failed)
        {
            const std::size_t size = co_await client.async_read_some(
                asio::buffer(buffer),
                asio::redirect_error(asio::use_awaitable, failed));
            out.append(buffer.data(), size);
        }
        io.stop();
    };
    spawn(io, talk());
    io.run_for(std::chrono::milliseconds(1'200));
    return out;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++out;
    }
    return out;
}

constexpr const char* chunked_head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

// A trailer must not become a header, which would let a client set one past a
// check of the headers; and what follows is the next request.
TEST(untrusted_requests, trailers_are_read_and_discarded)
{
    const std::string answer = exchange_bytes(
        {},
        std::string(chunked_head) +
            "3;x=1\r\nabc\r\n0\r\nT: v\r\nHost: b\r\n\r\n"
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(count_of(answer, "200 OK"), 2U) << answer;
    EXPECT_NE(answer.find("POSTabc"), std::string::npos);
    EXPECT_EQ(count_of(answer, "X-Trailer: \r\n"), 2U) << answer;
    EXPECT_NE(answer.find("X-Count: 2"), std::string::npos);
}

TEST(untrusted_requests, endless_trailers_and_extensions_are_refused)
{
    http_limits limits;
    limits.header_bytes_ = 1'000;
    const std::string endless(10'000, 'x');
    EXPECT_NE(
        exchange_bytes(
            limits, std::string(chunked_head) + "1\r\nx\r\n0\r\nT: " + endless)
            .find(" 431 "),
        std::string::npos);
    EXPECT_NE(
        exchange_bytes(limits, std::string(chunked_head) + "1;" + endless)
            .find(" 4"),
        std::string::npos);
}

// The parser keeps each trailer until the request is complete, so that many
// short ones take many times their size.
TEST(untrusted_requests, short_trailers_count_together)
{
    http_limits limits;
    limits.header_bytes_ = 1'000;
    std::string trailers;
    for (int count = 0; count < 1'000; ++count)
    {
        trailers += "a: b\r\n";
    }
    EXPECT_NE(
        exchange_bytes(
            limits,
            std::string(chunked_head) + "1\r\nx\r\n0\r\n" + trailers + "\r\n")
            .find(" 431 "),
        std::string::npos);
}

TEST(untrusted_requests, framing_beyond_its_limit_is_refused)
{
    http_limits limits;
    limits.header_bytes_ = 1'000;
    limits.framing_bytes_ = 1'000;
    std::string chunks = chunked_head;
    for (int count = 0; count < 100; ++count)
    {
        chunks += "1;" + std::string(200, 'e') + "\r\nx\r\n";
    }
    EXPECT_NE(exchange_bytes(limits, chunks).find(" 400 "), std::string::npos);
}

TEST(untrusted_requests, chunks_of_one_byte_are_served)
{
    std::string chunks = chunked_head;
    for (int count = 0; count < 20'000; ++count)
    {
        chunks += "1\r\nx\r\n";
    }
    const std::string answer = exchange_bytes({}, chunks + "0\r\n\r\n");
    EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer.substr(0, 99);
}

// After a refusal, the rest of the body must not be read as another request.
TEST(untrusted_requests, the_rest_of_a_refused_request_is_not_run)
{
    http_limits limits;
    limits.body_bytes_ = 10;
    const std::string answer = exchange_bytes(
        limits,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
        "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(count_of(answer, "HTTP/1.1 "), 1U) << answer;
    EXPECT_NE(answer.find(" 413 "), std::string::npos);
}

TEST(untrusted_requests, a_length_beside_chunks_is_refused)
{
    const std::string answer = exchange_bytes(
        {},
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(count_of(answer, "200 OK"), 0U) << answer;
}

} // namespace
} // namespace poplarroute::drivers
