// What a host may send to while a roll-out runs. A host that sends to the
// target without a valid permission breaks the bound on exposure, and after a
// pause or a lost leader reaches a version that was rolled back meanwhile.

#include "node/rollout_client.hpp"

#include <algorithm>

#include <gtest/gtest.h>

#include "tests/platform/process.hpp"

namespace poplarroute::platform
{
namespace
{

using control::rollout_phase;
using control::rollout_role;

constexpr const char* leader_address = "127.0.0.1:19571";
constexpr const char* host_address = "127.0.0.1:19572";

/// A leader that grants requests and renews leases while it answers.
struct granting_leader : listening_process
{
    explicit granting_leader(drivers::asio::io_context& io)
        : listening_process(io, leader_address, leader_address)
    {
        calls_.add_typed<node::rollout_report, node::rollout_report_reply>(
            node::method::rollouts_report,
            node::allowed_callers::host,
            [this](drivers::peer_identity, node::rollout_report report)
                -> drivers::asio::awaitable<
                    core::result<node::rollout_report_reply>>
            {
                reports_.push_back(report);
                if (!answers_)
                {
                    co_return core::error{core::errc::not_leader, ""};
                }
                node::rollout_report_reply out;
                out.is_confirmed_ = is_confirmed_;
                out.services_.push_back({"desk", 7, phase_, grant_, false});
                grant_ = 0;
                co_return out;
            });
        port_.start();
    }

    std::vector<node::rollout_report> reports_;
    rollout_phase phase_ = rollout_phase::trial;
    std::int64_t grant_ = 0;
    bool answers_ = true;
    bool is_confirmed_ = true;
};

class rollout_permission : public ::testing::Test
{
protected:
    rollout_permission()
        : leader_(io_),
          host_(io_, host_address, leader_address),
          rollouts_(host_.with_)
    {
        host_.board_.section<node::settings_section>()
            .settings_.bounds_.rollout_share_ = 0.1;
        host_.board_.section<node::group_section>().leader_ = leader_address;
        rollouts_.start();
        list({"v1", "v2"});
    }

    void list(const std::vector<std::string>& versions)
    {
        std::vector<node::listed_endpoint> all;
        for (const std::string& version : versions)
        {
            node::listed_endpoint item;
            item.name_ = "i-" + version;
            item.service_ = "desk";
            item.version_ = version;
            all.push_back(item);
        }
        node::replace_endpoints(endpoints(), all, core::steady_now());
    }

    node::endpoint_section& endpoints()
    {
        return host_.board_.section<node::endpoint_section>();
    }

    const node::known_endpoint& endpoint(const std::string& version)
    {
        return endpoints().endpoints_.at("i-" + version);
    }

    void tell(rollout_phase phase, std::uint64_t id = 7)
    {
        control::rollout item;
        item.id_ = id;
        item.service_ = "desk";
        item.target_ = "v2";
        item.from_ = {"v1"};
        item.ordered_at_ms_ = core::wall_ms();
        item.deadline_ms_ = 12'000;
        item.phase_ = phase;
        const std::vector<control::rollout> told{item};
        rollouts_.apply(told);
        leader_.phase_ = phase;
    }

    bool may_send(const std::string& version)
    {
        return rollouts_.permit(endpoint(version)).has_value();
    }

    void run_for(std::int64_t ms)
    {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(ms));
    }

    drivers::asio::io_context io_;
    granting_leader leader_;
    process host_;
    node::rollout_client rollouts_;
};

TEST_F(rollout_permission, the_target_on_trial_gets_what_was_granted)
{
    tell(rollout_phase::trial);
    run_for(300);
    EXPECT_FALSE(may_send("v2"));
    EXPECT_TRUE(may_send("v1"));
    leader_.grant_ = 3;
    run_for(400);
    int sent = 0;
    while (sent < 10 && may_send("v2"))
    {
        ++sent;
    }
    EXPECT_EQ(sent, 3);
}

TEST_F(rollout_permission, a_grant_ends_with_its_time)
{
    tell(rollout_phase::trial);
    leader_.grant_ = 3;
    run_for(400);
    EXPECT_TRUE(may_send("v2"));
    leader_.answers_ = false;
    run_for(1'200);
    EXPECT_FALSE(may_send("v2"));
    EXPECT_TRUE(may_send("v1"));
}

// A leader that has not read the group's state yet may not know of a roll-back.
TEST_F(rollout_permission, an_unconfirmed_leader_permits_nothing)
{
    tell(rollout_phase::trial);
    leader_.is_confirmed_ = false;
    leader_.grant_ = 3;
    run_for(400);
    EXPECT_FALSE(may_send("v2"));
    tell(rollout_phase::switching);
    run_for(400);
    EXPECT_FALSE(may_send("v2"));
}

TEST_F(rollout_permission, a_switch_holds_as_long_as_its_lease)
{
    tell(rollout_phase::trial);
    tell(rollout_phase::switching);
    EXPECT_FALSE(may_send("v2"));
    EXPECT_TRUE(may_send("v1"));
    run_for(400);
    EXPECT_TRUE(may_send("v2"));
    EXPECT_FALSE(may_send("v1"));
    leader_.answers_ = false;
    run_for(1'700);
    EXPECT_FALSE(may_send("v2"));
    list({"v1", "v2"});
    EXPECT_TRUE(may_send("v1"));
}

// Guards against a host that was paused during a switch and sends to endpoints
// that were stopped meanwhile, because its old list has them.
TEST_F(rollout_permission, a_switch_without_news_permits_nothing)
{
    tell(rollout_phase::switching);
    leader_.answers_ = false;
    EXPECT_TRUE(may_send("v1"));
    run_for(2'100);
    EXPECT_FALSE(may_send("v2"));
    EXPECT_FALSE(may_send("v1"));
    host_.board_.section<node::group_section>().leader_contact_at_ =
        core::steady_now();
    EXPECT_TRUE(may_send("v1"));
}

TEST_F(rollout_permission, an_end_bars_versions_and_earlier_news_change_nothing)
{
    tell(rollout_phase::rolled_back);
    EXPECT_FALSE(may_send("v2"));
    EXPECT_TRUE(may_send("v1"));
    tell(rollout_phase::trial);
    tell(rollout_phase::completed, 6);
    EXPECT_FALSE(may_send("v2"));
    tell(rollout_phase::completed, 8);
    EXPECT_TRUE(may_send("v2"));
    EXPECT_FALSE(may_send("v1"));
}

// A host that reads the list itself may see the target of a roll-out of which
// no leader has told it.
TEST_F(rollout_permission, a_version_waits_until_its_part_is_known)
{
    EXPECT_FALSE(may_send("v1"));
    EXPECT_FALSE(may_send("v2"));
    list({"v1"});
    EXPECT_TRUE(may_send("v1"));
    rollouts_.confirm_versions();
    list({"v1", "v2"});
    EXPECT_TRUE(may_send("v1"));
    EXPECT_FALSE(may_send("v2"));
    rollouts_.confirm_versions();
    EXPECT_TRUE(may_send("v2"));
}

TEST_F(rollout_permission, a_deployment_without_rollouts_sends_to_all_versions)
{
    host_.board_.section<node::settings_section>()
        .settings_.bounds_.rollout_share_.reset();
    list({"v1", "v2"});
    EXPECT_TRUE(may_send("v1"));
    EXPECT_TRUE(may_send("v2"));
    EXPECT_TRUE(
        rollouts_.excluded_endpoints("desk", rollout_role::baseline).empty());
    run_for(500);
    EXPECT_TRUE(leader_.reports_.empty());
}

TEST_F(rollout_permission, a_prompt_is_decoded_by_the_version_that_prefilled_it)
{
    const node::placement_permission placed{
        true, core::steady_now() + core::duration{1'000}};
    tell(rollout_phase::trial);
    EXPECT_TRUE(rollouts_.permit_stream(endpoint("v2"), placed, "v2"));
    EXPECT_FALSE(rollouts_.permit_stream(endpoint("v2"), placed, "v1"));
    EXPECT_FALSE(rollouts_.permit_stream(endpoint("v1"), placed, "v2"));
    const node::placement_permission expired{
        true, core::steady_now() - core::duration{1}};
    EXPECT_FALSE(rollouts_.permit_stream(endpoint("v2"), expired, "v2"));
    // While switching, a stream goes on where its prompt is.
    tell(rollout_phase::switching);
    run_for(400);
    const node::placement_permission baseline{true, std::nullopt};
    EXPECT_FALSE(
        rollouts_.permit_stream(endpoint("v1"), baseline, std::nullopt));
    EXPECT_TRUE(rollouts_.permit_stream(endpoint("v1"), baseline, "v1"));
}

// A report that is lost, or answered late, must not lose what it contained, nor
// count it twice.
TEST_F(rollout_permission, counts_are_cumulative_over_lost_reports)
{
    tell(rollout_phase::trial);
    {
        node::rollout_send first(rollouts_, endpoint("v1"), "a");
        first.record_good(core::duration{20});
        run_for(300);
        ASSERT_FALSE(leader_.reports_.empty());
        const node::rollout_service_report& seen =
            leader_.reports_.back().services_.at(0);
        EXPECT_EQ(seen.baseline_running_, 1);
    }
    leader_.answers_ = false;
    {
        node::rollout_send second(rollouts_, endpoint("v1"), "a");
        second.record_bad();
        node::rollout_send unsent(rollouts_, endpoint("v1"), "a");
        unsent.record_not_sent();
    }
    run_for(300);
    leader_.answers_ = true;
    // Two reports, also if one is sent right before this time begins.
    run_for(500);
    EXPECT_EQ(leader_.reports_.back().services_.at(0).baseline_running_, 0);
    // Once it has arrived, nothing is sent again.
    EXPECT_TRUE(leader_.reports_.back().services_.at(0).cells_.empty());
    const auto whole = std::find_if(
        leader_.reports_.rbegin(),
        leader_.reports_.rend(),
        [](const node::rollout_report& report)
        {
            return !report.services_.at(0).cells_.empty();
        });
    ASSERT_NE(whole, leader_.reports_.rend());
    const node::rollout_service_report& last = whole->services_.at(0);
    ASSERT_EQ(last.cells_.size(), 1U);
    EXPECT_TRUE(last.is_whole_);
    EXPECT_EQ(last.cells_[0].starts_, 2);
    EXPECT_EQ(last.cells_[0].good_, 1);
    EXPECT_EQ(last.cells_[0].bad_, 1);
}

} // namespace
} // namespace poplarroute::platform
