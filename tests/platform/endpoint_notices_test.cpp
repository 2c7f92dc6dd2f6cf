// An endpoint that stops or is overloaded says so in its answers. Failures that
// these tests guard against: the host goes on sending until the list shows it,
// and requests are cut off or pile up at an endpoint that asked for none.

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

class endpoint_notices_at_host : public ingress_fixture
{
};

/// \return an answer function that adds a header to another's answers.
stub_endpoint::answer_function with_header(
    stub_endpoint::answer_function inner, std::string name, std::string value)
{
    return [inner = std::move(inner),
            name = std::move(name),
            value = std::move(value)](const drivers::http_request& request)
    {
        stub_answer out = inner(request);
        out.headers_.emplace_back(name, value);
        return out;
    };
}

stub_answer turn_away(const drivers::http_request&)
{
    return {503, {{"Not-Run", "1"}, {"Retry-After", "0.6"}}, ""};
}

TEST_F(endpoint_notices_at_host, a_leaving_endpoint_gets_no_further_call)
{
    stub_endpoint& leaving = add_endpoint(
        "p1",
        19520,
        "desk",
        false,
        with_header(plain_answer, "Server-Leaving", "1"));
    EXPECT_EQ(call("/desk/x").status_, 200);
    const drivers::http_response refused = call("/desk/x");
    EXPECT_EQ(refused.status_, 503);
    EXPECT_EQ(leaving.requests(), 1U);
    stub_endpoint& other =
        add_endpoint("p2", 19521, "desk", false, plain_answer);
    EXPECT_EQ(call("/desk/x").status_, 200);
    EXPECT_EQ(leaving.requests(), 1U);
    EXPECT_EQ(other.requests(), 1U);
}

TEST_F(endpoint_notices_at_host, a_leaving_engine_gets_no_further_stream)
{
    add_endpoint("r1", 19520, "llm", true, prefill_answer);
    stub_endpoint& leaving = add_endpoint(
        "d1",
        19521,
        "llm",
        false,
        with_header(decode_answer, "Server-Leaving", "1"));
    EXPECT_EQ(call("/llm/x").status_, 200);
    stub_endpoint& other =
        add_endpoint("d2", 19522, "llm", false, decode_answer);
    for (int round = 0; round < 4; ++round)
    {
        EXPECT_EQ(call("/llm/x").status_, 200);
    }
    EXPECT_EQ(leaving.requests(), 1U);
    EXPECT_EQ(other.requests(), 4U);
}

TEST_F(
    endpoint_notices_at_host,
    a_refusal_can_say_that_a_prefill_engine_is_leaving)
{
    stub_endpoint& leaving = add_endpoint(
        "r1",
        19520,
        "llm",
        true,
        [](const drivers::http_request&) -> stub_answer
        {
            return {503, {{"Not-Run", "1"}, {"Server-Leaving", "1"}}, ""};
        });
    add_endpoint("d1", 19521, "llm", false, decode_answer);
    for (int round = 0; round < 3; ++round)
    {
        // The decode engine prefills the prompt itself.
        EXPECT_EQ(call("/llm/x").status_, 200);
    }
    EXPECT_EQ(leaving.requests(), 1U);
}

TEST_F(endpoint_notices_at_host, a_restarted_endpoint_starts_clean)
{
    stub_endpoint& endpoint = add_endpoint(
        "p1",
        19520,
        "desk",
        false,
        with_header(plain_answer, "Server-Leaving", "1"));
    list_.front().started_at_ms_ = 1'000;
    put_list();
    EXPECT_EQ(call("/desk/x").status_, 200);
    EXPECT_EQ(call("/desk/x").status_, 503);
    endpoint.answer_ = plain_answer;
    list_.front().started_at_ms_ = 2'000;
    put_list();
    EXPECT_EQ(call("/desk/x").status_, 200);
}

TEST_F(
    endpoint_notices_at_host,
    an_endpoint_that_turned_the_host_away_is_left_alone)
{
    stub_endpoint& busy = add_endpoint("p1", 19520, "desk", false, turn_away);
    stub_endpoint& other =
        add_endpoint("p2", 19521, "desk", false, plain_answer);
    for (int round = 0; round < 8; ++round)
    {
        EXPECT_EQ(call("/desk/x").status_, 200);
    }
    EXPECT_LE(busy.received_.size(), 1U);
    EXPECT_EQ(other.requests(), 8U);
}

TEST_F(
    endpoint_notices_at_host,
    callers_are_told_when_an_endpoint_takes_calls_again)
{
    stub_endpoint& busy = add_endpoint("p1", 19520, "desk", false, turn_away);
    EXPECT_EQ(call("/desk/x").status_, 503);
    const core::time_point refused_at = core::steady_now();
    const drivers::http_response refused = call("/desk/x");
    EXPECT_EQ(refused.status_, 503);
    EXPECT_LT((core::steady_now() - refused_at).ms_, 100);
    EXPECT_GT(retry_after(refused), 0.4);
    EXPECT_LT(retry_after(refused), 1.0);
    EXPECT_EQ(busy.received_.size(), 1U);
    busy.answer_ = plain_answer;
    wait(core::duration{900});
    EXPECT_EQ(call("/desk/x").status_, 200);
}

TEST_F(
    endpoint_notices_at_host,
    streams_are_refused_at_once_when_all_engines_turn_away)
{
    add_endpoint("r1", 19520, "llm", true, prefill_answer);
    stub_endpoint& busy = add_endpoint("d1", 19521, "llm", false, turn_away);
    call("/llm/x");
    const std::size_t calls = busy.received_.size();
    const core::time_point asked_at = core::steady_now();
    const drivers::http_response refused = call("/llm/x");
    EXPECT_EQ(refused.status_, 503);
    EXPECT_LT((core::steady_now() - asked_at).ms_, 150);
    EXPECT_GT(retry_after(refused), 0.2);
    EXPECT_EQ(busy.received_.size(), calls);
}

TEST_F(
    endpoint_notices_at_host,
    another_endpoint_at_the_address_says_nothing_of_the_old)
{
    stub_endpoint& endpoint = add_endpoint(
        "p1",
        19520,
        "desk",
        false,
        [](const drivers::http_request&) -> stub_answer
        {
            return {421, {{"Not-Run", "1"}, {"Server-Leaving", "1"}}, ""};
        });
    call("/desk/x");
    endpoint.answer_ = plain_answer;
    wait(core::duration{600});
    EXPECT_EQ(call("/desk/x").status_, 200);
}

TEST(endpoint_notice_header, both_forms_of_retry_after_are_read)
{
    const platform_codec codec;
    const auto stay_away = [&](drivers::header_list headers)
    {
        return codec.notice_of(503, headers).stay_away_;
    };
    EXPECT_EQ(stay_away({{"Retry-After", "3"}})->ms_, 3'000);
    EXPECT_EQ(stay_away({{"Retry-After", "0.25"}})->ms_, 250);
    EXPECT_EQ(
        stay_away({{"Date", "Sun, 06 Nov 1994 08:49:37 GMT"},
                   {"Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT"}})
            ->ms_,
        3'000);
    EXPECT_FALSE(stay_away({{"Retry-After", "soon"}}));
    EXPECT_FALSE(stay_away({{"Retry-After", "-1"}}));
    EXPECT_FALSE(stay_away({}));
    EXPECT_GT(
        stay_away({{"Retry-After", "1e400"}})
            .value_or(core::duration{1'000'000})
            .ms_,
        900'000);
    EXPECT_FALSE(codec.notice_of(200, {{"Retry-After", "3"}}).stay_away_);
}

} // namespace
} // namespace poplarroute::platform
