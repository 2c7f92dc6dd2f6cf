// Endpoints' answers that look like a refusal and are no evidence that the
// request was not run.

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
using drivers::error_code;
using drivers::tcp;

constexpr const char* shared_address = "127.0.0.1:19580";
constexpr int other_port = 19581;
constexpr const char* current_name = "i-now";

/// \return a header's value in the text of a request; empty: it has none.
std::string header_of(const std::string& request, const std::string& name)
{
    const std::size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Process that has taken over the address of another. It refuses what is for
/// the other, and sends a copy of that refusal before its next answer on the
/// connection.
class successor
{
public:
    successor(asio::io_context& io, std::map<std::string, int>& runs)
        : io_(io),
          acceptor_(io, drivers::parse_endpoint(shared_address)),
          runs_(runs)
    {
        drivers::spawn(io, accept());
    }

    int refused_ = 0;
    int ran_ = 0;

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            tcp::socket socket =
                co_await acceptor_.async_accept(asio::use_awaitable);
            drivers::spawn(io_, serve(std::move(socket)));
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string copy;
        error_code failed;
        while (!failed)
        {
            std::array<char, 4096> buffer{};
            const std::size_t size = co_await socket.async_read_some(
                asio::buffer(buffer),
                asio::redirect_error(asio::use_awaitable, failed));
            const std::string request(buffer.data(), size);
            const std::string id = header_of(request, "Attempt-Id");
            std::string answer;
            if (header_of(request, "Expect-Instance") != current_name)
            {
                ++refused_;
                copy = "HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + id +
                       "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
                answer = copy;
            }
            else
            {
                ++runs_[id];
                ++ran_;
                const std::string events = "id: 1\ndata: done\n\n";
                answer = copy + "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                         "\r\nServer-Stamp: s\r\nContent-Length: " +
                         std::to_string(events.size()) + "\r\n\r\n" + events;
                copy.clear();
            }
            co_await asio::async_write(
                socket,
                asio::buffer(answer),
                asio::redirect_error(asio::use_awaitable, failed));
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::map<std::string, int>& runs_;
};

class copied_refusal : public ingress_fixture
{
protected:
    void list_endpoint(std::string name, std::string address)
    {
        node::listed_endpoint entry;
        entry.name_ = std::move(name);
        entry.address_ = std::move(address);
        entry.service_ = "desk";
        entry.slots_ = 8;
        list_.push_back(std::move(entry));
    }

    std::map<std::string, int> runs_; ///< Of each request.
};

// Guards against a request that must run once and runs twice, or has run and is
// refused, where the endpoint list still has the former process of an address.
TEST_F(copied_refusal, moves_no_request_that_the_successor_runs)
{
    const successor now(io_, runs_);
    const stub_endpoint& other = add_endpoint(
        "i-other",
        other_port,
        "desk",
        false,
        [this](const drivers::http_request& request)
        {
            ++runs_[std::string(
                drivers::find_header(request.headers_, "Attempt-Id"))];
            return plain_answer(request);
        });
    constexpr int rounds = 80;
    for (int round = 0; round < rounds; ++round)
    {
        // A new name each time, as an endpoint that refused is left alone.
        list_.resize(1);
        list_endpoint(current_name, shared_address);
        list_endpoint("i-former-" + std::to_string(round), shared_address);
        put_list();
        EXPECT_EQ(call("/desk/x").status_, 200);
    }
    EXPECT_GT(now.refused_, 0);
    EXPECT_GT(other.requests(), 0U);
    EXPECT_EQ(runs_.size(), static_cast<std::size_t>(rounds));
    for (const auto& [id, count] : runs_)
    {
        EXPECT_EQ(count, 1) << id;
    }
}

// The same where the former process was a prefill engine and the present one
// decodes: both stages send the request's id.
TEST_F(copied_refusal, moves_no_stream_that_the_successor_runs)
{
    const successor now(io_, runs_);
    add_endpoint("i-read", other_port + 3, "llm", true, prefill_answer);
    host_.board_.section<node::settings_section>()
        .settings_.bounds_.retry_slack_ = 10'000;
    for (const auto& changed :
         host_.board_.section<node::catalog_section>().on_change_)
    {
        changed();
    }
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round)
    {
        list_.resize(1);
        list_endpoint(current_name, shared_address);
        list_endpoint("i-former-" + std::to_string(round), shared_address);
        list_[1].service_ = "llm";
        list_[2].service_ = "llm";
        list_[2].reads_prompts_ = true;
        put_list();
        EXPECT_EQ(call("/llm/x").status_, 200);
    }
    EXPECT_GT(now.refused_, 0);
    EXPECT_GT(now.ran_, 0);
    for (const auto& [id, count] : runs_)
    {
        EXPECT_EQ(count, 1) << id;
    }
}

// Guards against the copy of a refusal among requests that have no id, which
// nothing but their connections tells apart.
TEST(copied_refusal_codec, a_call_without_an_id_gets_a_connection_of_its_own)
{
    const platform_codec codec;
    node::ingress_request request;
    EXPECT_TRUE(codec.encode_call(request, {}).own_connection_);
    request.attempt_ = "a1";
    EXPECT_FALSE(codec.encode_call(request, {}).own_connection_);
}

using refusal_without_proof = ingress_fixture;

// Guards against a request that has run and whose caller is told by the status
// that it has not.
TEST_F(refusal_without_proof, is_not_passed_on_as_a_promise)
{
    int status = 0;
    const auto answer = [&status](const drivers::http_request&)
    {
        return stub_answer{
            status, {{"Server-Stamp", "s"}, {"Retry-After", "0"}}, "failed"};
    };
    stub_endpoint& desk =
        add_endpoint("i-desk", other_port, "desk", false, answer);
    stub_endpoint& decoder =
        add_endpoint("i-decode", other_port + 1, "llm", false, answer);
    add_endpoint("i-read", other_port + 2, "llm", true, prefill_answer);
    std::size_t calls = 0;
    for (const int promise : {408, 429, 503})
    {
        status = promise;
        ++calls;
        for (const char* target : {"/desk/x", "/llm/x"})
        {
            const drivers::http_response response = call(target);
            EXPECT_EQ(response.status_, 502) << promise << " of " << target;
            EXPECT_EQ(retry_after(response), -1);
        }
        EXPECT_EQ(desk.requests(), calls);
    }
    EXPECT_GE(decoder.requests(), calls);
    status = 500;
    EXPECT_EQ(call("/desk/x").status_, 500);
}

} // namespace
} // namespace poplarroute::platform
