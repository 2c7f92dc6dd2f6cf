#include "platform/operator_calls.hpp"

#include <filesystem>
#include <optional>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include "tests/platform/lone_member.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
using drivers::tcp;

constexpr const char* member_address = "127.0.0.1:19541";
constexpr const char* control_address = "127.0.0.1:19542";
constexpr const char* zone = "z-a";

/// A group of one member that takes operators' calls.
struct control_member : lone_member
{
    control_member(asio::io_context& io, const std::string& folder)
        : lone_member(io, member_address, member_address, folder),
          control_(
              io,
              control_address,
              drivers::http_limits(),
              make_operator_handler(*controller_))
    {
        board_.section<node::settings_section>().settings_.zones_ = {zone};
        control_.start();
    }

    bool is_zone_out() const
    {
        return replica_->state().out_of_service_zones().count(zone) != 0;
    }

    drivers::http_server control_;
};

class operator_calls : public ::testing::Test
{
protected:
    operator_calls()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-calls-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder_);
        member_.emplace(io_, folder_.string());
        run(core::duration{1'500});
    }

    ~operator_calls() override
    {
        member_.reset();
        std::filesystem::remove_all(folder_);
    }

    void run(core::duration time)
    {
        io_.restart();
        io_.run_for(time.chrono());
    }

    /// Sends an order while the member does not run.
    tcp::socket send(const std::string& method)
    {
        tcp::socket socket(io_);
        socket.connect(drivers::parse_endpoint(control_address));
        const std::string order = method + " /evacuate/" + zone +
                                  " HTTP/1.1\r\nHost: x\r\n"
                                  "Content-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(order));
        return socket;
    }

    std::filesystem::path folder_;
    asio::io_context io_{1};
    std::optional<control_member> member_;
};

TEST_F(operator_calls, an_order_whose_caller_waits_is_carried_out)
{
    const tcp::socket out = send("POST");
    run(core::duration{300});
    EXPECT_TRUE(member_->is_zone_out());
    const tcp::socket in = send("DELETE");
    run(core::duration{300});
    EXPECT_FALSE(member_->is_zone_out());
}

// Guards against an order that waits in a paused member, whose caller has
// given it to another member since, and newer ones after it.
TEST_F(operator_calls, an_order_whose_caller_has_left_is_dropped)
{
    const tcp::socket out = send("POST");
    run(core::duration{300});
    ASSERT_TRUE(member_->is_zone_out());
    send("DELETE").close();
    run(core::duration{300});
    EXPECT_TRUE(member_->is_zone_out());
}

} // namespace
} // namespace poplarroute::platform
