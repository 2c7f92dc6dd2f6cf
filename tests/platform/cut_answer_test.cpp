// Endpoints whose connection ends within an answer.

#include <array>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
using drivers::tcp;

constexpr std::array desk_ports{19590, 19591};
constexpr int prefill_port = 19592;
constexpr std::array decode_ports{19593, 19594};
constexpr const char* raw_address = "127.0.0.1:19595";

constexpr const char* configuration = R"({"version":2,
  "routes":[
    {"name":"s","host":"a.example","pathPrefix":"/llm/","kind":"stream",
     "timeoutMs":3000,"targetLatencyMs":300,"gapAimMs":200,
     "service":"llm","maxAttempts":3,"public":true,"resumable":false},
    {"name":"b","host":"a.example","pathPrefix":"/desk/","kind":"unsafe",
     "timeoutMs":1000,"targetLatencyMs":100,"service":"desk",
     "maxAttempts":3,"public":true}],
  "services":[{"name":"desk"},
    {"name":"llm","engine":{"slots":8,"kvCapTokens":20000,"stride":5}}]})";

/// Placeholder of a request's id, of the ids' length.
constexpr std::string_view id_placeholder = "REQUEST";
constexpr int first_attempt = 100'000;

constexpr std::string_view plain_body = "whole answer";
constexpr std::string_view events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr std::string_view prefill_body =
    R"({"kvHandle":"h","tokens":100,"version":1})";

/// How the end of an answer's body is known.
enum class framing
{
    length,
    length_after_hints, ///< With an informational response in front.
    chunks,
    connection_end,
};

constexpr std::array all_framings{
    framing::length,
    framing::length_after_hints,
    framing::chunks,
    framing::connection_end};

std::string make_answer(framing how, std::string_view body)
{
    constexpr std::size_t first_chunk_bytes = 5;
    std::ostringstream out;
    if (how == framing::length_after_hints)
    {
        out << "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    }
    out << "HTTP/1.1 200 OK\r\nAttempt-Id: " << id_placeholder
        << "\r\nServer-Stamp: s\r\n";
    switch (how)
    {
    case framing::length:
    case framing::length_after_hints:
        out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
        break;
    case framing::chunks:
        out << "Transfer-Encoding: chunked\r\n\r\n"
            << first_chunk_bytes << ";x=y\r\n"
            << body.substr(0, first_chunk_bytes) << "\r\n"
            << std::hex << body.size() - first_chunk_bytes << "\r\n"
            << body.substr(first_chunk_bytes) << "\r\n0\r\nX-Sum: 1\r\n\r\n";
        break;
    case framing::connection_end:
        out << "\r\n" << body;
        break;
    }
    return out.str();
}

/// What the endpoints do with each connection.
struct endpoint_script
{
    std::vector<std::string> answers_;    ///< To the requests of a connection.
    std::size_t cut_ = std::string::npos; ///< Length sent of the last one.
    bool reset_ = false; ///< Whether the connection is reset then, or closed.
    core::duration pause_{0}; ///< Around the last answer.
    /// Whether it ends its side in order, and reads what still arrives.
    bool ends_and_reads_ = false;
    int requests_ = 0; ///< Received from callers.
    std::string last_request_;
};

class scripted_endpoint
{
public:
    scripted_endpoint(
        asio::io_context& io,
        const std::string& address,
        endpoint_script& script)
        : io_(io),
          acceptor_(io, drivers::parse_endpoint(address)),
          script_(script)
    {
        drivers::spawn(io, accept());
    }

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
        const std::vector<std::string> answers = script_.answers_;
        for (std::size_t at = 0; at < answers.size(); ++at)
        {
            std::array<char, 4096> buffer{};
            drivers::error_code failed;
            const std::size_t size = co_await socket.async_read_some(
                asio::buffer(buffer),
                asio::redirect_error(asio::use_awaitable, failed));
            const std::string_view request(buffer.data(), size);
            if (!request.starts_with("POST"))
            {
                co_return;
            }
            ++script_.requests_;
            script_.last_request_ = request;
            std::string answer = answers[at];
            const std::size_t id = request.find("Attempt-Id: ") + 12;
            answer.replace(
                answer.find(id_placeholder),
                id_placeholder.size(),
                request.substr(id, id_placeholder.size()));
            if (at + 1 == answers.size())
            {
                answer = answer.substr(0, script_.cut_);
                co_await drivers::sleep_for(script_.pause_);
            }
            co_await asio::async_write(
                socket,
                asio::buffer(answer),
                asio::redirect_error(asio::use_awaitable, failed));
        }
        if (script_.ends_and_reads_)
        {
            drivers::error_code failed;
            socket.shutdown(tcp::socket::shutdown_send, failed);
            std::vector<char> rest(64 * 1024);
            while (!failed)
            {
                co_await socket.async_read_some(
                    asio::buffer(rest),
                    asio::redirect_error(asio::use_awaitable, failed));
            }
        }
        else
        {
            // Until the answer has been read.
            co_await drivers::sleep_for(script_.pause_);
        }
        if (script_.reset_)
        {
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        socket.close();
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    endpoint_script& script_;
};

std::string local_address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// One way to cut an answer.
struct answer_cut
{
    framing framing_;
    std::string answer_;
    std::size_t length_; ///< What is sent of it.
    bool reset_;

    /// \return whether the answer is complete: a connection that is closed in
    /// order ends an answer that has no length.
    bool is_complete(std::string_view body) const
    {
        if (framing_ == framing::connection_end)
        {
            return !reset_ && length_ >= answer_.size() - body.size();
        }
        return length_ == answer_.size();
    }

    std::string name() const
    {
        return "after \"" + answer_.substr(0, length_) + "\"" +
               (reset_ ? " and a reset" : "");
    }
};

/// \return every cut of the answers with a body, and the whole answers.
std::vector<answer_cut> cuts_of(std::string_view body)
{
    std::vector<answer_cut> out;
    for (const framing how : all_framings)
    {
        const std::string answer = make_answer(how, body);
        for (std::size_t length = 0; length <= answer.size(); ++length)
        {
            out.push_back({how, answer, length, false});
            out.push_back({how, answer, length, true});
        }
    }
    return out;
}

class cut_answer : public ingress_fixture
{
protected:
    cut_answer()
    {
        attempts_ = first_attempt;
        core::finding_list findings;
        node::catalog_section& catalog =
            host_.board_.section<node::catalog_section>();
        catalog.view_ = std::make_shared<control::catalog_view>(
            *decode_catalog_json(configuration, findings));
        for (const auto& changed : catalog.on_change_)
        {
            changed();
        }
    }

    void add_scripted(
        int port,
        std::string service,
        bool reads_prompts,
        endpoint_script& script)
    {
        endpoints_.push_back(std::make_unique<scripted_endpoint>(
            io_, local_address(port), script));
        node::listed_endpoint entry;
        entry.address_ = local_address(port);
        entry.service_ = std::move(service);
        entry.slots_ = 8;
        entry.reads_prompts_ = reads_prompts;
        list_.push_back(std::move(entry));
    }

    /// Calls the host while endpoints cut their answers.
    drivers::http_response call_cut(
        const std::string& target,
        endpoint_script& script,
        const answer_cut& cut)
    {
        script = {{cut.answer_}, cut.length_, cut.reset_};
        // As new endpoints, which no failure has ejected.
        for (node::listed_endpoint& entry : list_)
        {
            entry.name_ = entry.address_ + "-" + std::to_string(attempts_);
        }
        put_list();
        return call(target + std::to_string(attempts_));
    }

    std::vector<std::unique_ptr<scripted_endpoint>> endpoints_;
};

// Guards against a 2xx that seems whole, and a second run, after a cut answer.
TEST_F(cut_answer, of_a_plain_call_is_a_502)
{
    endpoint_script script;
    for (const int port : desk_ports)
    {
        add_scripted(port, "desk", false, script);
    }
    for (const answer_cut& cut : cuts_of(plain_body))
    {
        const auto response = call_cut("/desk/", script, cut);
        const bool is_complete = cut.is_complete(plain_body);
        ASSERT_EQ(response.status_, is_complete ? 200 : 502) << cut.name();
        ASSERT_EQ(script.requests_, 1) << cut.name();
        if (cut.length_ == cut.answer_.size() && is_complete)
        {
            ASSERT_EQ(response.body_, plain_body);
        }
    }
}

// Guards against a cut stream that seems whole, or is run a second time.
TEST_F(cut_answer, of_a_stream_is_a_502_or_broken_off)
{
    endpoint_script prefill{{make_answer(framing::length, prefill_body)}};
    endpoint_script script;
    add_scripted(prefill_port, "llm", true, prefill);
    for (const int port : decode_ports)
    {
        add_scripted(port, "llm", false, script);
    }
    for (const answer_cut& cut : cuts_of(events))
    {
        const auto response = call_cut("/llm/", script, cut);
        // The rest of an unframed stream is missed only within an event.
        const bool is_within_event =
            cut.framing_ == framing::connection_end &&
            !cut.answer_.substr(0, cut.length_).ends_with("\n\n") &&
            !cut.answer_.substr(0, cut.length_).ends_with("\r\n\r\n");
        const bool is_complete = cut.is_complete(events) && !is_within_event;
        if (is_complete)
        {
            ASSERT_EQ(response.status_, 200) << cut.name();
        }
        else
        {
            ASSERT_TRUE(response.status_ == 502 || response.status_ == 0)
                << response.status_ << " " << cut.name();
        }
        ASSERT_EQ(script.requests_, 1) << cut.name();
        if (cut.length_ == cut.answer_.size() && is_complete)
        {
            ASSERT_EQ(response.body_, events);
        }
    }
}

// Guards against a KV handle that is taken from a part of an answer.
TEST_F(cut_answer, of_a_prefill_passes_on_no_handle)
{
    endpoint_script prefill;
    endpoint_script decode{{make_answer(framing::length, events)}};
    add_scripted(prefill_port, "llm", true, prefill);
    add_scripted(decode_ports[0], "llm", false, decode);
    for (const answer_cut& cut : cuts_of(prefill_body))
    {
        decode.requests_ = 0;
        const auto response = call_cut("/llm/", prefill, cut);
        const bool is_whole =
            cut.is_complete(prefill_body) && cut.length_ == cut.answer_.size();
        ASSERT_EQ(response.status_, 200) << cut.name();
        ASSERT_EQ(response.body_, events) << cut.name();
        ASSERT_EQ(decode.requests_, 1) << cut.name();
        ASSERT_EQ(
            decode.last_request_.find("Kv-Source") != std::string::npos,
            is_whole)
            << cut.name();
    }
}

/// Runs a function on a client and its endpoint.
template <class Work>
void run_client(endpoint_script& script, Work work)
{
    asio::io_context io;
    scripted_endpoint endpoint(io, raw_address, script);
    drivers::http_client client(io);
    drivers::spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            co_await work(client);
            io.stop();
        }());
    io.run();
}

drivers::http_call make_call(const std::string& id)
{
    drivers::http_call out;
    out.address_ = raw_address;
    out.method_ = "POST";
    out.headers_ = {{"Attempt-Id", id}};
    out.echo_header_ = "Attempt-Id";
    out.echo_value_ = id;
    out.timeout_ = core::duration{1'000};
    return out;
}

// Guards against a part of an answer that is taken for the whole one, or for
// the end of the answer before it, on a kept connection.
TEST(cut_answer_client, is_broken_on_a_reused_connection)
{
    for (const answer_cut& cut : cuts_of(plain_body))
    {
        endpoint_script script{
            {make_answer(framing::length, plain_body), cut.answer_},
            cut.length_,
            cut.reset_};
        run_client(
            script,
            [&](drivers::http_client& client) -> asio::awaitable<void>
            {
                drivers::http_call first = make_call("aaaaaa1");
                const auto whole = co_await client.request(std::move(first));
                EXPECT_TRUE(core::is_ok(whole));
                drivers::http_call second = make_call("aaaaaa2");
                const auto reply = co_await client.request(std::move(second));
                EXPECT_EQ(core::is_ok(reply), cut.is_complete(plain_body))
                    << cut.name();
                EXPECT_TRUE(
                    core::is_ok(reply) ||
                    core::failure(reply).code_ == core::errc::broken)
                    << cut.name();
                EXPECT_EQ(client.counts().reused_, 1U);
            });
        ASSERT_EQ(script.requests_, 2);
    }
}

/// Sends a request that is longer than the sockets' buffers.
core::result<drivers::http_response> send_long_request(endpoint_script script)
{
    core::result<drivers::http_response> out =
        core::error{core::errc::timeout, "no answer"};
    run_client(
        script,
        [&](drivers::http_client& client) -> asio::awaitable<void>
        {
            drivers::http_call call = make_call("aaaaaa1");
            call.body_.assign(16 * 1024 * 1024, 'x');
            out = co_await client.request(std::move(call));
        });
    return out;
}

endpoint_script make_early_answer()
{
    endpoint_script out{{make_answer(framing::connection_end, plain_body)}};
    out.pause_ = core::duration{30};
    return out;
}

// Guards against a reset that only the writing side of a long request notices,
// so that an answer without a length seems to end in order.
TEST(cut_answer_client, is_broken_by_a_reset_while_the_request_is_written)
{
    // Closing with unread bytes resets the connection as well.
    for (const bool reset : {true, false})
    {
        endpoint_script script = make_early_answer();
        script.reset_ = reset;
        const auto reply = send_long_request(script);
        ASSERT_FALSE(core::is_ok(reply));
        EXPECT_EQ(core::failure(reply).code_, core::errc::broken);
    }
}

// Guards against a whole early answer that is refused as cut.
TEST(cut_answer_client, is_not_seen_in_an_early_answer_that_ends_in_order)
{
    endpoint_script script = make_early_answer();
    script.ends_and_reads_ = true;
    const auto reply = send_long_request(script);
    ASSERT_TRUE(core::is_ok(reply));
    EXPECT_EQ(core::value(reply).body_, plain_body);
}

} // namespace
} // namespace poplarroute::platform
