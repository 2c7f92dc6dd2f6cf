// A host that restarts must not serve with an older catalog than before, in
// which a key may be valid that was withdrawn meanwhile. A member that is cut
// off from its group may still hold one.

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "node/catalog_watcher.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

constexpr const char* member_address = "127.0.0.1:19530";
constexpr const char* host_address = "127.0.0.1:19531";

constexpr const char* configuration = R"({"version":1,"routes":[],
  "services":[]})";

/// A member that does not lead and answers watches with its catalog.
struct lone_member : listening_process
{
    lone_member(drivers::asio::io_context& io, bool current)
        : listening_process(io, member_address, member_address)
    {
        calls_.add_typed<node::watch_request, node::watch_reply>(
            node::method::catalog_watch,
            node::allowed_callers::host,
            [current](drivers::peer_identity, node::watch_request)
                -> drivers::asio::awaitable<core::result<node::watch_reply>>
            {
                node::watch_reply out;
                out.revision_ = 5;
                out.version_ = 1;
                out.current_ = current;
                out.text_ = core::binary(configuration);
                co_return out;
            });
        port_.start();
    }
};

struct starting_host : process
{
    explicit starting_host(drivers::asio::io_context& io)
        : process(io, host_address, member_address), watcher_(with_, codec_)
    {
        watcher_.start();
    }

    node::catalog_watcher watcher_;
};

TEST(first_catalog, a_member_that_is_cut_off_is_believed_only_after_a_wait)
{
    drivers::asio::io_context io;
    lone_member member(io, false);
    starting_host host(io);
    io.run_for(std::chrono::milliseconds(2'000));
    EXPECT_EQ(host.catalog().view_, nullptr);
    io.run_for(std::chrono::milliseconds(2'000));
    EXPECT_NE(host.catalog().view_, nullptr);
}

TEST(first_catalog, a_member_whose_catalog_is_current_is_believed_at_once)
{
    drivers::asio::io_context io;
    lone_member member(io, true);
    starting_host host(io);
    io.run_for(std::chrono::milliseconds(500));
    EXPECT_NE(host.catalog().view_, nullptr);
}

} // namespace
} // namespace poplarroute::platform
