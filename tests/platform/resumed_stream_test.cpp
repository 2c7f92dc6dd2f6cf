// A stream that breaks and goes on at another engine.

#include "tests/platform/ingress_fixture.hpp"
#include "tests/platform/raw_engine.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr int prefill_port = 19550;
constexpr int first_decode_port = 19551;

class resumed_stream : public ingress_fixture
{
protected:
    /// Calls a stream that breaks after two events.
    /// \param resumed what another engine answers then.
    /// \return the caller's response; without a status if it is incomplete.
    drivers::http_response play(const std::string& resumed)
    {
        add_endpoint("i-read", prefill_port, "llm", true, prefill_answer);
        for (int index = 0; index < 2; ++index)
        {
            const int port = first_decode_port + index;
            engines_.push_back(std::make_unique<raw_engine>(
                io_, port, broken_stream(), resumed));
            node::listed_endpoint entry;
            entry.name_ = "i-dec" + std::to_string(index);
            entry.address_ = "127.0.0.1:" + std::to_string(port);
            entry.service_ = "llm";
            entry.slots_ = 8;
            list_.push_back(std::move(entry));
        }
        put_list();
        return call("/llm/x");
    }

    std::vector<std::unique_ptr<raw_engine>> engines_;
};

TEST_F(resumed_stream, goes_on_with_the_next_event)
{
    const drivers::http_response response = play(rest_of_stream());
    EXPECT_EQ(response.status_, 200);
    EXPECT_EQ(
        response.body_,
        stream_event_text(1) + stream_event_text(2) + stream_event_text(3) +
            stream_event_text(4));
}

// Guards against a stream that ends as complete although an engine skipped
// events when it took over.
TEST_F(resumed_stream, is_not_complete_when_events_are_missing)
{
    const drivers::http_response response = play(
        raw_head(200, "text/event-stream") + raw_chunk(stream_event_text(4)) +
        "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

// Guards against an error, or its text, within a stream that has begun.
TEST_F(resumed_stream, is_not_complete_when_the_next_engine_fails)
{
    const drivers::http_response response = play(
        raw_head(500, "text/plain") + raw_chunk("broken\n\n") + "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

TEST_F(resumed_stream, is_not_complete_when_the_next_body_is_no_stream)
{
    const drivers::http_response response = play(
        raw_head(200, "application/json") + raw_chunk("{\"error\":1}\n\n") +
        "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

TEST_F(resumed_stream, is_not_complete_when_the_next_engine_sends_no_event)
{
    const drivers::http_response response =
        play(raw_head(200, "text/event-stream") + "0\r\n\r\n");
    EXPECT_EQ(response.status_, 0);
}

} // namespace
} // namespace poplarroute::platform
