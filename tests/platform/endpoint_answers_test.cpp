#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_server.hpp"
#include "node/ingress_controller.hpp"
#include "platform/catalog_json.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
using drivers::tcp;

constexpr const char* host_address = "127.0.0.1:19488";
constexpr const char* prefill_address = "127.0.0.1:19489";
constexpr const char* decode_address = "127.0.0.1:19490";

constexpr const char* configuration = R"({"version":1,
  "routes":[{"name":"r","host":"a.example","pathPrefix":"/","kind":"stream",
    "timeoutMs":3000,"targetLatencyMs":300,"gapAimMs":200,"service":"llm",
    "maxAttempts":1,"public":true,"resumable":false}],
  "services":[{"name":"llm","engine":{"slots":8,"kvCapTokens":20000,
    "stride":5}}]})";

constexpr const char* answer_header =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n";

/// What a host may read of an answer without end, with the sockets' buffers.
constexpr std::size_t max_endless_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_sent_bytes = 64 * 1024 * 1024;

/// How an engine goes on after the beginning of its answer.
enum class ending
{
    close,
    reset,
    repeat,  ///< It sends the same bytes until the host closes.
    trickle, ///< It sends the same bytes every 200 ms, a number of times.
};

struct engine_script
{
    std::string answer_;
    ending ending_ = ending::close;
    std::string repeated_;
    int times_ = 1'000;
};

class endpoint_answers : public ::testing::Test
{
protected:
    endpoint_answers()
        : host_(io_, "127.0.0.1:19491", "127.0.0.1:19492"),
          rollouts_(host_.with_),
          ingress_(host_.with_, host_.codec_, rollouts_),
          port_(
              io_,
              host_address,
              drivers::http_limits(),
              [this](drivers::http_exchange& exchange)
              {
                  return ingress_.handle(exchange);
              }),
          prefill_(io_, drivers::parse_endpoint(prefill_address)),
          decode_(io_, drivers::parse_endpoint(decode_address))
    {
        ingress_.start();
        port_.start();
        core::finding_list findings;
        node::catalog_section& catalog =
            host_.board_.section<node::catalog_section>();
        catalog.view_ = std::make_shared<control::catalog_view>(
            *decode_catalog_json(configuration, findings));
        const std::vector<node::listed_endpoint> endpoints{
            make_engine("i-read", prefill_address, true),
            make_engine("i-decode", decode_address, false)};
        node::replace_endpoints(
            host_.board_.section<node::endpoint_section>(),
            endpoints,
            core::steady_now());
    }

    static node::listed_endpoint make_engine(
        std::string name, std::string address, bool reads_prompts)
    {
        node::listed_endpoint out;
        out.name_ = std::move(name);
        out.service_ = "llm";
        out.address_ = std::move(address);
        out.slots_ = 8;
        out.reads_prompts_ = reads_prompts;
        return out;
    }

    static asio::awaitable<tcp::socket> accept_request(tcp::acceptor& acceptor)
    {
        tcp::socket socket =
            co_await acceptor.async_accept(asio::use_awaitable);
        std::array<char, 4096> request{};
        co_await socket.async_read_some(
            asio::buffer(request), asio::use_awaitable);
        co_return std::move(socket);
    }

    asio::awaitable<void> serve_prefill()
    {
        tcp::socket socket = co_await accept_request(prefill_);
        const std::string body = R"({"kvHandle":"h","tokens":100,"version":1})";
        const std::string answer =
            "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await asio::async_write(
            socket, asio::buffer(answer), asio::use_awaitable);
    }

    asio::awaitable<void> serve_decode(engine_script script)
    {
        tcp::socket socket = co_await accept_request(decode_);
        std::string answer = answer_header + script.answer_;
        drivers::error_code failed;
        co_await asio::async_write(
            socket,
            asio::buffer(answer),
            asio::redirect_error(asio::use_awaitable, failed));
        while (script.ending_ == ending::repeat && !failed &&
               sent_bytes_ < max_sent_bytes)
        {
            sent_bytes_ += co_await asio::async_write(
                socket,
                asio::buffer(script.repeated_),
                asio::redirect_error(asio::use_awaitable, failed));
        }
        for (int sent = 0; script.ending_ == ending::trickle &&
                           sent < script.times_ && !failed;
             ++sent)
        {
            co_await drivers::sleep_for(core::duration{200});
            co_await asio::async_write(
                socket,
                asio::buffer(script.repeated_),
                asio::redirect_error(asio::use_awaitable, failed));
        }
        if (script.ending_ == ending::reset)
        {
            co_await drivers::sleep_for(core::duration{50});
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        socket.close();
    }

    /// Calls the host once while the decode engine follows a script.
    /// \return the caller's response; an error when it is not complete.
    core::result<drivers::http_response> call(engine_script script)
    {
        drivers::spawn(io_, serve_prefill());
        drivers::spawn(io_, serve_decode(std::move(script)));
        core::result<drivers::http_response> out =
            core::error{core::errc::timeout, "no answer"};
        drivers::spawn(
            io_,
            [](endpoint_answers& test,
               core::result<drivers::http_response>& out)
                -> asio::awaitable<void>
            {
                drivers::http_client caller(test.io_);
                drivers::http_call request;
                request.address_ = host_address;
                request.method_ = "POST";
                request.target_ = "/x";
                request.headers_ = {
                    {"Host", "a.example"},
                    {"Attempt-Id", "a1"},
                    {"Token-Counts", "100,100"}};
                request.body_ = "b";
                out = co_await caller.request(std::move(request));
                test.io_.stop();
            }(*this, out));
        io_.run();
        return out;
    }

    asio::io_context io_{1};
    process host_;
    node::rollout_client rollouts_;
    node::ingress_controller ingress_;
    drivers::http_server port_;
    tcp::acceptor prefill_;
    tcp::acceptor decode_;
    std::size_t sent_bytes_ = 0;
};

TEST_F(endpoint_answers, a_stream_that_ends_with_its_connection_is_complete)
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const auto response = call({events, ending::close, ""});
    ASSERT_TRUE(core::is_ok(response));
    EXPECT_EQ(core::value(response).status_, 200);
    EXPECT_EQ(core::value(response).body_, events);
}

TEST_F(endpoint_answers, a_stream_that_ends_inside_an_event_is_broken_off)
{
    const auto response =
        call({"id: 1\ndata: a\n\nid: 2\nda", ending::close, ""});
    EXPECT_FALSE(core::is_ok(response));
}

TEST_F(endpoint_answers, a_reset_stream_is_broken_off)
{
    const auto response = call({"id: 1\ndata: a\n\n", ending::reset, ""});
    EXPECT_FALSE(core::is_ok(response));
}

// The route's callers leave after two seconds without an event; its time limit
// is three.
TEST_F(endpoint_answers, a_stalled_stream_that_sends_single_bytes_is_given_up)
{
    const core::time_point asked_at = core::steady_now();
    const auto response =
        call({"id: 1\ndata: a\n\nid: 2\ndata: ", ending::trickle, "x"});
    EXPECT_FALSE(core::is_ok(response));
    EXPECT_LT((core::steady_now() - asked_at).ms_, 2'700);
}

TEST_F(endpoint_answers, a_slow_stream_of_whole_events_is_not_cut)
{
    const auto response = call({"", ending::trickle, "data: a\n\n", 12});
    ASSERT_TRUE(core::is_ok(response));
    EXPECT_EQ(core::value(response).body_.size(), 12 * 9U);
}

TEST_F(endpoint_answers, an_event_without_end_is_given_up)
{
    const auto response =
        call({"id: 1\ndata: ", ending::repeat, std::string(64 * 1024, 'x')});
    EXPECT_FALSE(core::is_ok(response));
    EXPECT_LT(sent_bytes_, max_endless_bytes);
}

TEST_F(endpoint_answers, repeated_events_without_end_are_given_up)
{
    std::string events;
    while (events.size() < 64 * 1024)
    {
        events += "id: 1\ndata: x\n\n";
    }
    const auto response = call({"", ending::repeat, events});
    EXPECT_FALSE(core::is_ok(response));
    EXPECT_LT(sent_bytes_, max_endless_bytes);
}

TEST_F(endpoint_answers, events_of_more_tokens_than_requested_are_given_up)
{
    std::string events;
    while (events.size() < 64 * 1024)
    {
        events += "data: x\n\n";
    }
    const auto response = call({"", ending::repeat, events});
    EXPECT_FALSE(core::is_ok(response));
    EXPECT_LT(sent_bytes_, max_endless_bytes);
}

} // namespace
} // namespace poplarroute::platform
