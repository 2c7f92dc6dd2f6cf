// Endpoints that name a limit on the requests that they take.

#include "tests/platform/ingress_fixture.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr int limited_port = 19585;
constexpr int other_port = 19586;

/// A plain endpoint that names a limit while it has one.
class endpoint_limits : public ingress_fixture
{
protected:
    stub_answer limited_answer() const
    {
        drivers::header_list headers{{"Server-Stamp", "s"}};
        if (!limit_.empty())
        {
            headers.emplace_back("Server-Limit", limit_);
        }
        return {200, headers, "done"};
    }

    stub_endpoint& add_limited_endpoint()
    {
        return add_endpoint(
            "i-limited",
            limited_port,
            "desk",
            false,
            [this](const drivers::http_request&)
            {
                return limited_answer();
            });
    }

    /// Sends a call every 10 ms for a time.
    /// \return the number of answers with a status.
    int call_for(core::duration time, int status)
    {
        const core::time_point until = core::steady_now() + time;
        int out = 0;
        while (core::steady_now() < until)
        {
            out += call("/desk/x").status_ == status ? 1 : 0;
            wait(core::duration{10});
        }
        return out;
    }

    std::string limit_;
};

// Guards against an endpoint that gets far more requests than it takes while
// another has room.
TEST_F(endpoint_limits, requests_beyond_the_limit_are_placed_elsewhere)
{
    limit_ = "5.5";
    const stub_endpoint& limited = add_limited_endpoint();
    const stub_endpoint& other =
        add_endpoint("i-other", other_port, "desk", false, plain_answer);
    EXPECT_EQ(call_for(core::duration{2'000}, 503), 0);
    // One and a half times what the limit allows in 2 s, and 5.
    EXPECT_LE(limited.requests(), 21U);
    EXPECT_GT(other.requests(), 50U);
}

// Guards against callers who wait for an endpoint that takes no more, or who
// are not told when to return.
TEST_F(endpoint_limits, requests_without_another_endpoint_are_refused_at_once)
{
    limit_ = "4";
    const stub_endpoint& limited = add_limited_endpoint();
    EXPECT_EQ(call("/desk/x").status_, 200);
    int refused = 0;
    for (int round = 0; round < 50; ++round)
    {
        const core::time_point asked_at = core::steady_now();
        const drivers::http_response response = call("/desk/x");
        if (response.status_ == 503)
        {
            ++refused;
            EXPECT_LT((core::steady_now() - asked_at).ms_, 200);
            EXPECT_GT(retry_after(response), 0);
        }
        wait(core::duration{10});
    }
    EXPECT_GT(refused, 30);
    EXPECT_LE(limited.requests(), 8U);
}

// Guards against a limit that outlasts what the endpoint says.
TEST_F(endpoint_limits, a_limit_ends_when_an_answer_does_not_name_it)
{
    limit_ = "10";
    const stub_endpoint& limited = add_limited_endpoint();
    call_for(core::duration{500}, 200);
    limit_.clear();
    call_for(core::duration{2'000}, 200);
    const std::size_t before = limited.requests();
    EXPECT_EQ(call_for(core::duration{300}, 503), 0);
    EXPECT_GT(limited.requests(), before + 10);
}

} // namespace
} // namespace poplarroute::platform
