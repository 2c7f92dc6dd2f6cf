// Endpoints that answer a long upload before they have read it.

#include <array>
#include <atomic>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "drivers/http_client.hpp"

namespace poplarroute::drivers
{
namespace
{

constexpr const char* address = "127.0.0.1:19479";
constexpr std::string_view body = "part of an answer";
constexpr std::size_t upload_bytes = 6 * 1024 * 1024;

/// What an endpoint reads at most to have nothing left to read.
constexpr std::size_t max_drained_bytes = 512 * 1024;

/// How an endpoint's connection ends after its answer.
enum class ending
{
    reset,          ///< At once.
    close,          ///< Without reading on, which resets what still arrives.
    end_then_reset, ///< Its own side in order, then a reset.
    end_then_read,  ///< Its own side in order; the upload is read to its end.
};

/// Answers one upload without a length, in a thread of its own.
class early_endpoint
{
public:
    early_endpoint() : acceptor_(io_, parse_endpoint(address))
    {
        // The kernel acknowledges what it holds for the endpoint as received.
        constexpr int receive_buffer_bytes = 64 * 1024;
        acceptor_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    }

    /// \param bytes_read how much of the upload is read before the answer.
    /// \return how much of it has been received when the connection ends.
    std::size_t serve(ending how, std::size_t bytes_read, core::duration pause)
    {
        tcp::socket socket = acceptor_.accept();
        std::vector<char> buffer(64 * 1024);
        error_code failed;
        std::size_t size = 0;
        while (size < bytes_read && !failed)
        {
            size += socket.read_some(asio::buffer(buffer), failed);
        }
        const std::string answer =
            "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + std::string(body);
        asio::write(socket, asio::buffer(answer), failed);
        std::this_thread::sleep_for(pause.chrono());
        if (how == ending::end_then_reset || how == ending::end_then_read)
        {
            socket.shutdown(tcp::socket::shutdown_send, failed);
        }
        while (how == ending::end_then_read && !failed)
        {
            size += socket.read_some(asio::buffer(buffer), failed);
        }
        if (how == ending::reset || how == ending::end_then_reset)
        {
            size += socket.available(failed);
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        if (how == ending::close)
        {
            // With nothing left to read, the connection ends in order; the
            // rest of the upload then resets it.
            socket.non_blocking(true);
            const std::size_t limit = size + max_drained_bytes;
            while (!failed && size < limit)
            {
                size += socket.read_some(asio::buffer(buffer), failed);
            }
        }
        socket.close();
        return size;
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
};

/// What the endpoint received of an upload, and the answer to it.
struct upload_result
{
    std::size_t bytes_received_ = 0; ///< The header included.
    core::result<http_response> reply_ =
        core::error{core::errc::timeout, "no answer"};
};

upload_result upload(
    early_endpoint& endpoint,
    ending how,
    std::size_t bytes_read,
    core::duration pause)
{
    upload_result out;
    std::thread server(
        [&]()
        {
            out.bytes_received_ = endpoint.serve(how, bytes_read, pause);
        });
    asio::io_context io;
    http_client client(io);
    spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            http_call call;
            call.address_ = address;
            call.method_ = "POST";
            call.body_.assign(upload_bytes, 'x');
            call.echo_header_ = "X-Id";
            call.echo_value_ = "a";
            call.timeout_ = core::duration{3'000};
            out.reply_ = co_await client.request(std::move(call));
            io.stop();
        }());
    io.run();
    server.join();
    return out;
}

/// \return how many uploads of a series that the endpoint did not receive to
/// the end got an answer that counts as whole.
int count_false_answers(ending how)
{
    constexpr int rounds = 192;
    constexpr std::size_t read_step = 32 * 1024;
    early_endpoint endpoint;
    int cut = 0;
    int out = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const upload_result result = upload(
            endpoint,
            how,
            static_cast<std::size_t>(round + 1) * read_step %
                (upload_bytes / 2),
            core::duration{round % 3});
        const bool is_cut = result.bytes_received_ < upload_bytes;
        cut += is_cut ? 1 : 0;
        out += is_cut && core::is_ok(result.reply_) ? 1 : 0;
    }
    EXPECT_EQ(cut, rounds);
    return out;
}

// Guards against a part of an answer that is passed on as whole, after the
// connection broke under the rest of the request.
TEST(early_answer, of_a_connection_that_is_reset_is_broken)
{
    EXPECT_EQ(count_false_answers(ending::reset), 0);
    EXPECT_EQ(count_false_answers(ending::close), 0);
    EXPECT_EQ(count_false_answers(ending::end_then_reset), 0);
}

// Guards against a whole early answer that is refused as cut.
TEST(early_answer, of_an_endpoint_that_reads_the_request_to_its_end_is_whole)
{
    early_endpoint endpoint;
    for (int round = 0; round < 8; ++round)
    {
        const upload_result result = upload(
            endpoint, ending::end_then_read, 64 * 1024, core::duration{round});
        ASSERT_TRUE(core::is_ok(result.reply_))
            << core::failure(result.reply_).message_;
        EXPECT_EQ(core::value(result.reply_).body_, body);
    }
}

} // namespace
} // namespace poplarroute::drivers
