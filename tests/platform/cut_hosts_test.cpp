// Hosts that have lost all endpoints of a service, beside hosts that reach
// them.

#include "tests/platform/cut_hosts_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

TEST_F(cut_hosts, have_their_callers_served_by_another_host)
{
    const auto& desk = add_desk();
    const auto& engine = add_engine();
    cut_first_host();
    const drivers::http_response once = call("/desk/x", "a1");
    EXPECT_EQ(once.status_, 200);
    EXPECT_EQ(once.body_, "done");
    EXPECT_EQ(desk.requests(), 1U);
    const drivers::http_response stream = call("/llm/x", "a2");
    EXPECT_EQ(stream.status_, 200);
    EXPECT_EQ(stream.body_, stream_event_text(1));
    EXPECT_EQ(engine.requests(), 1U);
}

TEST_F(cut_hosts, refuse_what_no_host_can_send)
{
    const auto& desk = add_desk();
    cut_first_host();
    hosts_[1]->board_.section<node::endpoint_section>().endpoints_ =
        hosts_[0]->board_.section<node::endpoint_section>().endpoints_;
    const drivers::http_response response = call("/desk/x", "a1");
    EXPECT_EQ(response.status_, 503);
    EXPECT_FALSE(
        drivers::find_header(response.headers_, "Retry-After").empty());
    EXPECT_TRUE(
        drivers::find_header(response.headers_, "X-Relay-Outcome").empty());
    EXPECT_EQ(desk.requests(), 0U);
    EXPECT_EQ(hosts_[1]->relayed_, 1);
    EXPECT_EQ(hosts_[0]->relayed_, 0);
}

TEST_F(cut_hosts, try_no_lost_endpoints_and_return_to_them)
{
    const auto& desk = add_desk();
    cut_first_host();
    EXPECT_EQ(call("/desk/x", "a1").status_, 200);
    run_for(core::duration{1'000});
    EXPECT_EQ(
        hosts_[0]->board_.section<node::reach_section>().lost_.size(), 1U);
    const core::time_point began_at = core::steady_now();
    EXPECT_EQ(call("/desk/x", "a2").status_, 200);
    EXPECT_LT((core::steady_now() - began_at).ms_, 100);
    EXPECT_EQ(hosts_[1]->relayed_, 2);
    put_lists(list_);
    run_for(core::duration{1'000});
    EXPECT_EQ(call("/desk/x", "a3").status_, 200);
    EXPECT_EQ(hosts_[1]->relayed_, 2);
    EXPECT_EQ(desk.requests(), 3U);
}

TEST_F(cut_hosts, are_not_asked_for_services_that_they_lost)
{
    add_desk();
    add_engine();
    cut_first_host();
    hosts_[1]->board_.section<node::endpoint_section>().endpoints_ =
        hosts_[0]->board_.section<node::endpoint_section>().endpoints_;
    EXPECT_EQ(call("/desk/x", "a1").status_, 503);
    run_for(core::duration{1'500});
    const int before = hosts_[1]->relayed_;
    EXPECT_EQ(call("/desk/x", "a2").status_, 503);
    EXPECT_EQ(hosts_[1]->relayed_, before);
}

// Guards against a hand-on of what an endpoint may have run.
TEST_F(cut_hosts, hand_no_once_only_call_on_that_may_have_run)
{
    const auto& desk = add_desk();
    raw_engine closing(io_, 19'859, "ATTEMPT", "ATTEMPT");
    std::vector<node::listed_endpoint> first = list_;
    first[0].address_ = "127.0.0.1:19859";
    put_lists(first);
    EXPECT_EQ(call("/desk/x", "a1").status_, 502);
    EXPECT_EQ(closing.requests_.size(), 1U);
    EXPECT_EQ(desk.requests(), 0U);
    EXPECT_EQ(hosts_[1]->relayed_, 0);
}

// Guards against a host that stops and says of a once-only call that it has not
// run, while another host, to which it was handed on, runs it.
TEST_F(cut_hosts, do_not_call_what_another_host_may_run_refused)
{
    drivers::asio::ip::tcp::acceptor silent(
        io_, drivers::parse_endpoint("127.0.0.1:19859"));
    add_desk();
    list_[0].address_ = "127.0.0.1:19859";
    cut_first_host();
    drivers::spawn(
        io_,
        [](node::ingress_controller& ingress) -> drivers::asio::awaitable<void>
        {
            co_await drivers::sleep_for(core::duration{300});
            ingress.stop_at(core::steady_now() + core::duration{200});
        }(hosts_[0]->ingress_));
    EXPECT_EQ(call("/desk/x", "a1").status_, 502);
    EXPECT_EQ(hosts_[1]->relayed_, 1);
}

// Guards against a stream that ends at the cut although another host could go
// on with it.
TEST_F(cut_hosts, have_a_stream_that_breaks_go_on_at_another_host)
{
    const auto answer = [](const drivers::http_request& request) -> stub_answer
    {
        const bool resumes =
            drivers::find_header(request.headers_, "Last-Event-Id") == "2";
        return {
            200,
            {{"Server-Stamp", "s"}, {"Content-Type", "text/event-stream"}},
            stream_event_text(resumes ? 3 : 9)};
    };
    add_endpoint("i-1", "llm", false, answer);
    add_endpoint("i-2", "llm", false, answer);
    raw_engine closing(io_, 19'859, broken_stream(), rest_of_stream());
    std::vector<node::listed_endpoint> first = list_;
    first[0].address_ = "127.0.0.1:19859";
    first[1].address_ = closed_address_;
    put_lists(first);
    // A new leader grants retries only as time passes.
    run_for(core::duration{3'000});
    const drivers::http_response response = call("/llm/x", "a1");
    EXPECT_EQ(response.status_, 200);
    EXPECT_EQ(
        response.body_,
        stream_event_text(1) + stream_event_text(2) + stream_event_text(3));
}

// Guards against a host that ends, since it starts a response a second time.
TEST_F(cut_hosts, break_a_stream_off_that_goes_on_as_no_stream)
{
    const auto answer = [](const drivers::http_request&) -> stub_answer
    {
        return {
            200,
            {{"Server-Stamp", "s"}, {"Content-Type", "application/json"}},
            stream_event_text(3)};
    };
    add_endpoint("i-1", "llm", false, answer);
    add_endpoint("i-2", "llm", false, answer);
    raw_engine closing(io_, 19'859, broken_stream(), rest_of_stream());
    std::vector<node::listed_endpoint> first = list_;
    first[0].address_ = "127.0.0.1:19859";
    first[1].address_ = closed_address_;
    put_lists(first);
    run_for(core::duration{3'000});
    EXPECT_EQ(call("/llm/x", "a1").status_, 0);
    EXPECT_EQ(hosts_[1]->relayed_, 1);
}

} // namespace
} // namespace poplarroute::platform
