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

} // namespace
} // namespace poplarroute::platform
