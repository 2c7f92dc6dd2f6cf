#include "drivers/http_client.hpp"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_server.hpp"

namespace poplarroute::drivers
{
namespace
{

constexpr const char* address = "127.0.0.1:19483";

/// Endpoint that answers the requests of each connection with given bytes.
class raw_endpoint
{
public:
    raw_endpoint(asio::io_context& io, std::vector<std::string> responses)
        : acceptor_(io, parse_endpoint(address)),
          responses_(std::move(responses))
    {
        spawn(io, serve());
    }

    int accepted_ = 0;

private:
    asio::awaitable<void> serve()
    {
        for (;;)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            ++accepted_;
            for (const std::string& response : responses_)
            {
                std::array<char, 4096> buffer{};
                error_code failed;
                const auto size = co_await socket.async_read_some(
                    asio::buffer(buffer),
                    asio::redirect_error(asio::use_awaitable, failed));
                if (failed || size == 0)
                {
                    break;
                }
                co_await asio::async_write(
                    socket, asio::buffer(response), asio::use_awaitable);
            }
        }
    }

    tcp::acceptor acceptor_;
    std::vector<std::string> responses_;
};

std::string make_response(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

http_call make_call(const std::string& id)
{
    http_call out;
    out.address_ = address;
    out.method_ = "POST";
    out.echo_header_ = "X-Id";
    out.echo_value_ = id;
    out.timeout_ = core::duration{1'000};
    return out;
}

template <class Work>
void run(asio::io_context& io, Work work)
{
    spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            co_await work();
            io.stop();
        }());
    io.run();
}

TEST(http_client, skips_the_response_to_another_request)
{
    asio::io_context io;
    raw_endpoint endpoint(
        io, {make_response("old", "no") + make_response("new", "yes")});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("new");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).body_, "yes");
            EXPECT_EQ(client.counts().mismatched_responses_, 1U);
        });
}

// A faulty endpoint writes an earlier answer once more on a kept connection. If
// it does not say which request it answers, the next caller must not get it.
TEST(http_client, refuses_an_unnamed_response_on_a_reused_connection)
{
    asio::io_context io;
    const std::string refusal =
        "HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    raw_endpoint endpoint(
        io, {make_response("a", "one"), refusal + make_response("b", "two")});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call first = make_call("a");
            const auto answered = co_await client.request(std::move(first));
            EXPECT_TRUE(core::is_ok(answered));
            http_call second = make_call("b");
            const auto reply = co_await client.request(std::move(second));
            EXPECT_FALSE(core::is_ok(reply));
            EXPECT_EQ(client.counts().reused_, 1U);
            EXPECT_EQ(client.counts().mismatched_responses_, 1U);
        });
}

TEST(http_client, keeps_no_connection_to_an_endpoint_that_names_no_request)
{
    asio::io_context io;
    const std::string unnamed =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    raw_endpoint endpoint(io, {unnamed, unnamed});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            for (int round = 0; round < 2; ++round)
            {
                http_call call = make_call("a");
                const auto reply = co_await client.request(std::move(call));
                EXPECT_TRUE(core::is_ok(reply));
            }
            EXPECT_EQ(client.counts().opened_, 2U);
        });
}

/// Endpoint that refuses its first request and repeats that refusal, as an
/// answer too many, before the next answer on the same connection.
class copying_endpoint
{
public:
    explicit copying_endpoint(asio::io_context& io)
        : io_(io), acceptor_(io, parse_endpoint(address))
    {
        spawn(io, accept());
    }

    int accepted_ = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            ++accepted_;
            spawn(io_, serve(std::move(socket)));
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string copy;
        error_code failed;
        while (!failed)
        {
            std::array<char, 4096> buffer{};
            const auto size = co_await socket.async_read_some(
                asio::buffer(buffer),
                asio::redirect_error(asio::use_awaitable, failed));
            if (failed || size == 0)
            {
                co_return;
            }
            std::string response = copy + make_response("a", "ran");
            if (!has_refused_)
            {
                has_refused_ = true;
                copy = "HTTP/1.1 503 Unavailable\r\nX-Id: a\r\nNot-Run: 1\r\n"
                       "Content-Length: 0\r\n\r\n";
                response = copy;
            }
            co_await asio::async_write(
                socket, asio::buffer(response), asio::use_awaitable);
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    bool has_refused_ = false;
};

// Guards against the copy of a refusal that is taken for the answer to the same
// request, sent once more.
TEST(http_client, sends_a_request_on_no_connection_that_carried_its_id)
{
    asio::io_context io;
    copying_endpoint endpoint(io);
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call first = make_call("a");
            const auto refused = co_await client.request(std::move(first));
            EXPECT_TRUE(core::is_ok(refused));
            EXPECT_EQ(core::value(refused).status_, 503);
            http_call again = make_call("a");
            const auto reply = co_await client.request(std::move(again));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).status_, 200);
            EXPECT_EQ(endpoint.accepted_, 2);
            http_call other = make_call("b");
            co_await client.request(std::move(other));
            EXPECT_EQ(endpoint.accepted_, 2);
        });
}

TEST(http_client, skips_the_named_copy_of_an_answer_before_an_unnamed_one)
{
    asio::io_context io;
    const std::string report =
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport";
    raw_endpoint endpoint(io, {make_response("a", "one") + report});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            // A call without an id of its own.
            http_call call = make_call("");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).body_, "report");
        });
}

/// Endpoint that answers each connection's request and repeats the answer once
/// the next request could have been sent.
asio::awaitable<void> serve_twice(tcp::acceptor& acceptor)
{
    for (int served = 1;; ++served)
    {
        tcp::socket socket =
            co_await acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4096> buffer{};
        co_await socket.async_read_some(
            asio::buffer(buffer), asio::use_awaitable);
        const std::string answer = make_response("a", std::to_string(served));
        co_await asio::async_write(
            socket, asio::buffer(answer), asio::use_awaitable);
        co_await sleep_for(core::duration{20});
        co_await asio::async_write(
            socket, asio::buffer(answer), asio::use_awaitable);
        co_await sleep_for(core::duration{100});
    }
}

TEST(http_client, a_second_copy_between_two_requests_closes_the_connection)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint(address));
    spawn(io, serve_twice(acceptor));
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call first = make_call("a");
            co_await client.request(std::move(first));
            co_await sleep_for(core::duration{50});
            http_call second = make_call("a");
            const auto reply = co_await client.request(std::move(second));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).body_, "2");
            EXPECT_EQ(client.counts().opened_, 2U);
        });
}

/// Endpoint that sends a line without end, a character at a time.
asio::awaitable<void> serve_trickle(tcp::acceptor& acceptor)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    error_code failed;
    while (!failed)
    {
        co_await asio::async_write(
            socket,
            asio::buffer("x", 1),
            asio::redirect_error(asio::use_awaitable, failed));
        co_await sleep_for(core::duration{50});
    }
}

TEST(http_client, a_line_that_trickles_in_times_out)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint(address));
    spawn(io, serve_trickle(acceptor));
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            auto opened = co_await client.open(std::move(call));
            EXPECT_TRUE(core::is_ok(opened));
            const core::time_point asked_at = core::steady_now();
            const auto line =
                co_await core::value(opened)->next_line(core::duration{300});
            EXPECT_FALSE(core::is_ok(line));
            EXPECT_LT((core::steady_now() - asked_at).ms_, 600);
        });
}

TEST(http_client, closes_a_connection_with_extra_bytes)
{
    asio::io_context io;
    raw_endpoint endpoint(io, {make_response("a", "one") + "left over"});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            for (int round = 0; round < 2; ++round)
            {
                http_call call = make_call("a");
                const auto reply = co_await client.request(std::move(call));
                EXPECT_TRUE(core::is_ok(reply));
                EXPECT_EQ(core::value(reply).body_, "one");
            }
            EXPECT_EQ(client.counts().opened_, 2U);
        });
}

TEST(http_client, reuses_a_clean_connection)
{
    asio::io_context io;
    raw_endpoint endpoint(
        io, {make_response("a", "one"), make_response("b", "two")});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            for (const char* id : {"a", "b"})
            {
                http_call call = make_call(id);
                const auto reply = co_await client.request(std::move(call));
                EXPECT_TRUE(core::is_ok(reply));
            }
            EXPECT_EQ(client.counts().opened_, 1U);
            EXPECT_EQ(client.counts().reused_, 1U);
        });
}

// Guards against the copy of an earlier order's refusal that is taken for the
// answer to the next order, which has no id.
TEST(http_client, gives_a_call_a_connection_of_its_own)
{
    asio::io_context io;
    copying_endpoint endpoint(io);
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            std::vector<int> statuses;
            for (const bool own : {false, true, true, false})
            {
                http_call call = make_call("");
                call.echo_header_.clear();
                call.own_connection_ = own;
                const auto reply = co_await client.request(std::move(call));
                EXPECT_TRUE(core::is_ok(reply));
                statuses.push_back(core::value(reply).status_);
            }
            // The last call gets the copy on the first connection, which only
            // it has used since.
            EXPECT_EQ(statuses, (std::vector<int>{503, 200, 200, 503}));
            EXPECT_EQ(endpoint.accepted_, 3);
        });
}

TEST(http_client, reports_a_truncated_response)
{
    asio::io_context io;
    raw_endpoint endpoint(
        io, {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nshort"});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
        });
}

/// Endpoint that sends an answer with neither a length nor chunks, and then
/// ends or resets the connection.
asio::awaitable<void> serve_unframed(
    tcp::acceptor& acceptor, std::string answer, bool reset)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> buffer{};
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
    co_await asio::async_write(
        socket, asio::buffer(answer), asio::use_awaitable);
    if (reset)
    {
        co_await sleep_for(core::duration{20});
        socket.set_option(asio::socket_base::linger(true, 0));
    }
    socket.close();
}

constexpr const char* unframed = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole";

TEST(http_client, reads_an_answer_that_ends_with_its_connection)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint(address));
    spawn(io, serve_unframed(acceptor, unframed, false));
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_TRUE(core::is_ok(reply));
            EXPECT_EQ(core::value(reply).body_, "whole");
        });
}

TEST(http_client, treats_a_reset_answer_without_a_length_as_broken)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, parse_endpoint(address));
    spawn(io, serve_unframed(acceptor, unframed, true));
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
        });
}

// A process may be paused while it connects; what permits the call may have
// ended meanwhile.
TEST(http_client, sends_nothing_after_the_permission_has_ended)
{
    asio::io_context io;
    raw_endpoint endpoint(io, {make_response("a", "one")});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            call.send_before_ = core::steady_now() - core::duration{1};
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
            EXPECT_EQ(core::failure(reply).code_, core::errc::withheld);
        });
}

TEST(http_client, says_unreachable_only_when_nothing_was_sent)
{
    asio::io_context io;
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply));
            EXPECT_EQ(core::failure(reply).code_, core::errc::unreachable);
            const std::string closed_address = address;
            const bool accepts = co_await client.accepts_connections(
                closed_address, core::duration{200});
            EXPECT_FALSE(accepts);
        });
}

/// Lets a client read a response that it has to take for broken.
void expect_broken(const std::string& response, const char* reason)
{
    asio::io_context io;
    raw_endpoint endpoint(io, {response});
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call = make_call("a");
            const auto reply = co_await client.request(std::move(call));
            EXPECT_FALSE(core::is_ok(reply)) << reason;
            EXPECT_TRUE(
                core::is_ok(reply) ||
                core::failure(reply).code_ == core::errc::broken)
                << reason;
        });
}

// Guards against a status that is none in the protocol being passed on as an
// answer, or taken for an informational one.
TEST(http_client, refuses_a_status_outside_of_the_protocol)
{
    for (const char* status : {"000", "001", "099", "101", "600", "999"})
    {
        expect_broken(
            std::string("HTTP/1.1 ") + status +
                " Odd\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno" +
                make_response("a", "late"),
            status);
    }
}

// Guards against bytes in a coding of the connection being passed on as the
// body.
TEST(http_client, refuses_a_body_in_a_transfer_coding_that_was_not_asked_for)
{
    for (const char* coding : {"gzip", "chunked, gzip", "gzip, chunked"})
    {
        expect_broken(
            std::string("HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n"
                        "Transfer-Encoding: ") +
                coding + "\r\n\r\n2\r\nno\r\n0\r\n\r\n",
            coding);
    }
}

} // namespace
} // namespace poplarroute::drivers
