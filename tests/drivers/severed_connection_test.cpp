// Guards against open connections that fall silent for good, as they do when a
// device between two processes forgets them: nothing resets them, what is sent
// on them is lost, and new connections work. Calls must reach the other process
// again after at most one that times out.

#include <array>
#include <memory>
#include <vector>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_client.hpp"
#include "drivers/http_server.hpp"
#include "drivers/peer_channel.hpp"

namespace poplarroute::drivers
{

namespace
{

constexpr const char* link_address = "127.0.0.1:19486";
constexpr const char* server_address = "127.0.0.1:19487";
constexpr core::duration call_timeout{300};

/// Runs a coroutine on the context until it ends.
template <class Work>
void run(asio::io_context& io, Work work)
{
    const auto wrapped = [&]() -> asio::awaitable<void>
    {
        co_await work();
        io.stop();
    };
    spawn(io, wrapped());
    io.restart();
    io.run();
}

/// Passes connections on to the server, and can sever those that are open.
class link
{
public:
    explicit link(asio::io_context& io)
        : io_(io), acceptor_(io, parse_endpoint(link_address))
    {
        spawn(io_, accept());
    }

    /// Lets the open connections stay open, and drops what is sent on them.
    void sever()
    {
        for (const auto& path : paths_)
        {
            path->is_severed_ = true;
        }
    }

    std::size_t accepted() const
    {
        return paths_.size();
    }

private:
    struct path
    {
        explicit path(asio::io_context& io) : near_(io), far_(io) {}

        tcp::socket near_;
        tcp::socket far_;
        bool is_severed_ = false;
    };

    using path_ptr = std::shared_ptr<path>;

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto next = std::make_shared<path>(io_);
            next->near_ = co_await acceptor_.async_accept(asio::use_awaitable);
            co_await next->far_.async_connect(
                parse_endpoint(server_address), asio::use_awaitable);
            paths_.push_back(next);
            spawn(io_, pass(next, next->near_, next->far_));
            spawn(io_, pass(next, next->far_, next->near_));
        }
    }

    static asio::awaitable<void> pass(
        path_ptr of, tcp::socket& from, tcp::socket& to)
    {
        std::array<char, 4096> buffer{};
        error_code failed;
        while (!failed)
        {
            const std::size_t size = co_await from.async_read_some(
                asio::buffer(buffer),
                asio::redirect_error(asio::use_awaitable, failed));
            if (!failed && !of->is_severed_)
            {
                co_await asio::async_write(
                    to,
                    asio::buffer(buffer.data(), size),
                    asio::redirect_error(asio::use_awaitable, failed));
            }
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::vector<path_ptr> paths_;
};

/// \return the handler of a peer that replies with what it was sent.
auto echo_after(core::duration delay)
{
    return [delay](peer_identity, std::string, std::string body)
               -> asio::awaitable<core::result<std::string>>
    {
        co_await sleep_for(delay);
        co_return body;
    };
}

} // namespace

TEST(severed_connection, of_a_peer_is_replaced_after_one_call)
{
    asio::io_context io;
    link between(io);
    peer_server server(
        io,
        server_address,
        nullptr,
        [](peer_identity,
           std::string,
           std::string body) -> asio::awaitable<core::result<std::string>>
        {
            co_return body;
        });
    server.start();
    peer_client client(io, nullptr);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            const auto before =
                co_await client.call(link_address, "echo", "x", call_timeout);
            EXPECT_TRUE(core::is_ok(before));
            between.sever();
            const auto lost =
                co_await client.call(link_address, "echo", "x", call_timeout);
            EXPECT_FALSE(core::is_ok(lost));
            const auto after =
                co_await client.call(link_address, "echo", "x", call_timeout);
            EXPECT_TRUE(core::is_ok(after));
            EXPECT_EQ(between.accepted(), 2U);
        });
}

// All calls that wait on the connection fail with it, and their callers go on.
TEST(severed_connection, of_a_peer_ends_all_calls_that_wait_on_it)
{
    asio::io_context io;
    link between(io);
    peer_server server(
        io,
        server_address,
        nullptr,
        [](peer_identity,
           std::string name,
           std::string body) -> asio::awaitable<core::result<std::string>>
        {
            if (name == "hold")
            {
                co_await sleep_for(core::duration{60'000});
            }
            co_return body;
        });
    server.start();
    peer_client client(io, nullptr);
    bool has_ended = false;
    run(io,
        [&]() -> asio::awaitable<void>
        {
            const auto before =
                co_await client.call(link_address, "echo", "x", call_timeout);
            EXPECT_TRUE(core::is_ok(before));
            const auto hold = [&]() -> asio::awaitable<void>
            {
                const auto held = co_await client.call(
                    link_address, "hold", "x", core::duration{10'000});
                EXPECT_FALSE(core::is_ok(held));
                has_ended = true;
            };
            spawn(io, hold());
            co_await sleep_for(core::duration{50});
            between.sever();
            const auto lost =
                co_await client.call(link_address, "echo", "x", call_timeout);
            EXPECT_FALSE(core::is_ok(lost));
            co_await sleep_for(core::duration{50});
            EXPECT_TRUE(has_ended);
        });
}

// Guards against a caller that leaves while its call waits, and takes the calls
// of all others with it.
TEST(severed_connection, is_not_assumed_when_a_call_is_given_up)
{
    asio::io_context io;
    peer_server server(
        io, server_address, nullptr, echo_after(core::duration{900}));
    server.start();
    peer_client client(io, nullptr);
    bool is_answered = false;
    run(io,
        [&]() -> asio::awaitable<void>
        {
            using namespace asio::experimental::awaitable_operators;
            const auto late = [&]() -> asio::awaitable<void>
            {
                const auto reply = co_await client.call(
                    server_address, "late", "x", core::duration{5'000});
                is_answered = core::is_ok(reply);
            };
            spawn(io, late());
            co_await (
                client.call(
                    server_address, "late", "x", core::duration{5'000}) ||
                sleep_for(core::duration{500}));
            co_await sleep_for(core::duration{900});
            EXPECT_TRUE(is_answered);
        });
}

// A peer that is late loses one call of a short deadline. Guards against a
// connection that is closed with it: all other calls of the host were lost, the
// host searched for a leader, and the leader had more to do.
TEST(severed_connection, is_not_concluded_from_a_call_of_a_short_deadline)
{
    asio::io_context io;
    link between(io);
    peer_server server(
        io, server_address, nullptr, echo_after(core::duration{150}));
    server.start();
    peer_client client(io, nullptr);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            const auto before =
                co_await client.call(link_address, "echo", "x", call_timeout);
            EXPECT_TRUE(core::is_ok(before));
            bool has_reply = false;
            const auto wait = [&]() -> asio::awaitable<void>
            {
                const auto held = co_await client.call(
                    link_address, "echo", "x", core::duration{1'000});
                has_reply = core::is_ok(held);
            };
            spawn(io, wait());
            for (int call = 0; call < 2; ++call)
            {
                const auto late = co_await client.call(
                    link_address, "echo", "x", core::duration{60});
                EXPECT_FALSE(core::is_ok(late));
            }
            co_await sleep_for(core::duration{200});
            EXPECT_TRUE(has_reply);
            EXPECT_EQ(between.accepted(), 1U);
        });
}

TEST(severed_connection, of_an_endpoint_is_used_for_one_request)
{
    asio::io_context io;
    link between(io);
    http_server server(
        io,
        server_address,
        {},
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            co_await exchange.send(200, {}, "whole");
        });
    server.start();
    http_client client(io);
    run(io,
        [&]() -> asio::awaitable<void>
        {
            http_call call;
            call.address_ = link_address;
            call.timeout_ = call_timeout;
            const auto before = co_await client.request(call);
            EXPECT_TRUE(core::is_ok(before));
            between.sever();
            const auto lost = co_await client.request(call);
            EXPECT_FALSE(core::is_ok(lost));
            const auto after = co_await client.request(call);
            EXPECT_TRUE(core::is_ok(after));
        });
}

} // namespace poplarroute::drivers
