#include <array>
#include <filesystem>
#include <random>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "node/catalog_watcher.hpp"
#include "tests/platform/lone_member.hpp"

namespace poplarroute::platform
{
namespace
{

namespace asio = drivers::asio;
using drivers::tcp;

constexpr const char* member_address = "127.0.0.1:19485";
constexpr const char* link_address = "127.0.0.1:19486";

/// Link of an entry host in the users' grown deployments: 10 Mbit/s.
constexpr std::int64_t link_bytes_per_ms = 1'250;

/// Routes that one change adds in the users' grown deployments.
constexpr int routes_per_change = 1'400;

constexpr core::duration patience{20'000};

/// Relay in front of a member's peer port that carries a limited number of
/// bytes per millisecond towards the host.
class slow_link
{
public:
    slow_link(asio::io_context& io, std::int64_t bytes_per_ms)
        : io_(io),
          acceptor_(io, drivers::parse_endpoint(link_address)),
          bytes_per_ms_(bytes_per_ms)
    {
        drivers::spawn(io, accept());
    }

    /// Resets each connection after this many bytes; 0: never.
    std::int64_t cut_after_bytes_ = 0;

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto host = std::make_shared<tcp::socket>(io_);
            co_await acceptor_.async_accept(*host, asio::use_awaitable);
            auto member = std::make_shared<tcp::socket>(io_);
            drivers::error_code failed;
            co_await member->async_connect(
                drivers::parse_endpoint(member_address),
                asio::redirect_error(asio::use_awaitable, failed));
            if (failed)
            {
                continue;
            }
            member->set_option(
                asio::socket_base::receive_buffer_size(16 * 1024));
            drivers::spawn(io_, pump(host, member, 0));
            drivers::spawn(io_, pump(member, host, bytes_per_ms_));
        }
    }

    asio::awaitable<void> pump(
        socket_ptr from, socket_ptr to, std::int64_t bytes_per_ms)
    {
        std::array<char, 8 * 1024> buffer{};
        std::int64_t carried = 0;
        drivers::error_code failed;
        while (!failed)
        {
            const std::size_t size = co_await from->async_read_some(
                asio::buffer(buffer),
                asio::redirect_error(asio::use_awaitable, failed));
            if (failed)
            {
                break;
            }
            carried += static_cast<std::int64_t>(size);
            if (bytes_per_ms > 0)
            {
                const core::duration busy{
                    static_cast<std::int64_t>(size) / bytes_per_ms + 1};
                co_await drivers::sleep_for(busy);
                if (cut_after_bytes_ > 0 && carried > cut_after_bytes_)
                {
                    break;
                }
            }
            co_await asio::async_write(
                *to,
                asio::buffer(buffer, size),
                asio::redirect_error(asio::use_awaitable, failed));
        }
        drivers::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::int64_t bytes_per_ms_;
};

/// Process that accepts connections and never answers, like a paused member.
class silent_member
{
public:
    silent_member(asio::io_context& io, const std::string& address)
        : acceptor_(io, drivers::parse_endpoint(address))
    {
        drivers::spawn(io, accept());
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;)
        {
            connections_.push_back(
                co_await acceptor_.async_accept(asio::use_awaitable));
        }
    }

    tcp::acceptor acceptor_;
    std::vector<tcp::socket> connections_;
};

/// A group of one member, known to hosts by the address of the slow link.
struct group_member : lone_member
{
    group_member(asio::io_context& io, const std::string& folder)
        : lone_member(io, link_address, member_address, folder)
    {
    }
};

struct entry_host : process
{
    explicit entry_host(asio::io_context& io)
        : process(io, "127.0.0.1:19487", link_address),
          rollouts_(with_),
          watcher_(with_, codec_, rollouts_)
    {
        watcher_.start();
    }

    node::rollout_client rollouts_;
    node::catalog_watcher watcher_;
};

std::string random_name(std::mt19937& random)
{
    static constexpr std::string_view letters =
        "abcdefghijklmnopqrstuvwxyz0123456789";
    std::uniform_int_distribution<std::size_t> position(0, letters.size() - 1);
    std::string out;
    for (int index = 0; index < 7; ++index)
    {
        out += letters[position(random)];
    }
    return out;
}

/// \return a configuration in the platform's format.
std::string make_configuration(std::uint64_t version, int routes)
{
    std::mt19937 random(7);
    nlohmann::json out;
    out["version"] = version;
    out["services"] = {{{"name", "depu9b"}, {"healthPath", "/health"}}};
    for (int index = 0; index < routes; ++index)
    {
        out["routes"].push_back(
            {{"name", "r-" + random_name(random)},
             {"host", "ziny44.example"},
             {"pathPrefix", "/" + random_name(random) + "/"},
             {"kind", "safe"},
             {"timeoutMs", 1'500},
             {"targetLatencyMs", 150},
             {"priority", 1},
             {"service", "depu9b"},
             {"maxAttempts", 2},
             {"public", true}});
    }
    return out.dump();
}

class catalog_transfer : public ::testing::Test
{
protected:
    catalog_transfer()
        : folder_(
              std::filesystem::temp_directory_path() /
              ("poplarroute-transfer-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder_);
    }

    ~catalog_transfer() override
    {
        std::filesystem::remove_all(folder_);
    }

    /// Runs until the condition holds or the patience ends.
    template <class Condition>
    bool run_until(Condition condition)
    {
        const core::time_point until = core::steady_now() + patience;
        while (!condition() && core::steady_now() < until)
        {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    /// Puts a configuration in force at the member.
    void submit(group_member& member, std::uint64_t version, int routes)
    {
        ASSERT_TRUE(run_until(
            [&]()
            {
                return member.controller_->leads();
            }));
        bool accepted = false;
        drivers::spawn(
            io_,
            [](group_member& at,
               std::string text,
               bool& out) -> asio::awaitable<void>
            {
                const node::operator_call_result result =
                    co_await at.controller_->submit_text(std::move(text));
                out = result.accepted_;
            }(member, make_configuration(version, routes), accepted));
        ASSERT_TRUE(run_until(
            [&]()
            {
                return accepted;
            }));
    }

    bool has_version(entry_host& host, std::uint64_t version)
    {
        return host.catalog().view_ &&
               host.catalog().view_->whole().version_ == version;
    }

    std::filesystem::path folder_;
    asio::io_context io_{1};
};

TEST_F(catalog_transfer, a_catalog_too_large_for_one_watch_reaches_a_host)
{
    slow_link link(io_, link_bytes_per_ms);
    group_member member(io_, folder_.string());
    submit(member, 4, 48);
    entry_host host(io_);
    ASSERT_TRUE(run_until(
        [&]()
        {
            return has_version(host, 4);
        }));
    submit(member, 8, 8 * routes_per_change);
    EXPECT_TRUE(run_until(
        [&]()
        {
            return has_version(host, 8);
        }));
}

TEST_F(catalog_transfer, a_starting_host_gets_a_large_catalog)
{
    slow_link link(io_, link_bytes_per_ms);
    group_member member(io_, folder_.string());
    submit(member, 4, 3 * routes_per_change);
    entry_host host(io_);
    EXPECT_TRUE(run_until(
        [&]()
        {
            return has_version(host, 4);
        }));
}

TEST_F(catalog_transfer, a_starting_host_gets_the_list_of_the_target_fleet)
{
    // 370 hosts that start at once share a leader's link of 1 Gbit/s.
    constexpr std::int64_t bytes_per_ms = 1'000'000'000 / 8 / 1'000 / 370;
    constexpr int endpoints = 1'000;
    slow_link link(io_, bytes_per_ms);
    group_member member(io_, folder_.string());
    submit(member, 4, 48);
    std::mt19937 random(7);
    std::vector<node::listed_endpoint> list;
    for (int index = 0; index < endpoints; ++index)
    {
        node::listed_endpoint item;
        item.name_ = "i-" + random_name(random);
        item.service_ = "depu9b";
        item.address_ = "10.1.64." + std::to_string(index) + ":8066";
        item.zone_ = "zone-a";
        list.push_back(item);
    }
    node::endpoint_section& known =
        member.board_.section<node::endpoint_section>();
    known.epoch_ = "epoch";
    node::replace_endpoints(known, list, core::steady_now());
    entry_host host(io_);
    EXPECT_TRUE(run_until(
        [&]()
        {
            return host.board_.section<node::endpoint_section>()
                       .endpoints_.size() == endpoints;
        }));
}

TEST_F(catalog_transfer, a_transfer_goes_on_after_its_connection_is_cut)
{
    constexpr std::int64_t bytes_before_cut = 48 * 1024;
    slow_link link(io_, link_bytes_per_ms);
    link.cut_after_bytes_ = bytes_before_cut;
    group_member member(io_, folder_.string());
    submit(member, 4, 8 * routes_per_change);
    entry_host host(io_);
    EXPECT_TRUE(run_until(
        [&]()
        {
            return has_version(host, 4);
        }));
}

// Guards against hosts that ask one lost member after another for a change
// which the leader could have sent in time.
TEST_F(catalog_transfer, a_change_is_in_force_in_time_while_members_are_lost)
{
    // The users' shortest configApplyMs.
    constexpr core::duration max_delay{2'000};
    constexpr core::duration retention{4'000};
    slow_link link(io_, link_bytes_per_ms);
    group_member member(io_, folder_.string());
    const std::array<std::string, 3> lost{
        "127.0.0.1:19470", "127.0.0.1:19471", "127.0.0.1:19472"};
    std::vector<std::unique_ptr<silent_member>> silent;
    submit(member, 4, 48);
    entry_host host(io_);
    for (const std::string& address : lost)
    {
        silent.push_back(std::make_unique<silent_member>(io_, address));
        host.board_.section<node::settings_section>()
            .settings_.seeds_.push_back(address);
    }
    ASSERT_TRUE(run_until(
        [&]()
        {
            return has_version(host, 4);
        }));
    const core::time_point rested_at = core::steady_now() + retention;
    run_until(
        [&]()
        {
            return core::steady_now() >= rested_at;
        });
    submit(member, 8, 48 + routes_per_change);
    const core::time_point confirmed_at = core::steady_now();
    ASSERT_TRUE(run_until(
        [&]()
        {
            return has_version(host, 8);
        }));
    EXPECT_LE((core::steady_now() - confirmed_at).ms_, max_delay.ms_);
}

TEST_F(catalog_transfer, a_host_of_an_older_program_gets_the_whole_catalog)
{
    slow_link link(io_, link_bytes_per_ms);
    group_member member(io_, folder_.string());
    submit(member, 4, 48);
    std::optional<node::watch_reply> reply;
    drivers::spawn(
        io_,
        [](group_member& at,
           std::optional<node::watch_reply>& out) -> asio::awaitable<void>
        {
            const drivers::peer_identity old_host{"host", "old"};
            const nlohmann::json request{{"host_", "old"}};
            const std::string body = core::encode_cbor(request);
            const core::result<std::string> answer = co_await at.calls_.answer(
                old_host, node::method::catalog_watch, body);
            out = core::decode_cbor<node::watch_reply>(core::value(answer));
        }(member, reply));
    ASSERT_TRUE(run_until(
        [&]()
        {
            return reply.has_value();
        }));
    EXPECT_EQ(core::text_of(reply->text_), make_configuration(4, 48));
}

} // namespace
} // namespace poplarroute::platform
