#include "platform/settings.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarroute::platform
{
namespace
{

constexpr const char* entry_host_settings = R"(nodeName=front-a-1
ip=10.1.0.16
zone=zone-a
zones.zone-a=region
zones.zone-b=region
listen.front=10.1.0.16:8360
listen.ready=10.1.0.16:8365
portRange=7500,7515
seeds=10.1.0.18:8367,10.2.0.35:8367
firstStart=true
bounds.graceS=8
bounds.budgetSlack=52
cloudApi.address=10.200.0.114:8361
somethingNew=1
)";

TEST(platform_settings, reads_an_entry_host)
{
    core::finding_list findings;
    const auto read = parse_settings("file", entry_host_settings, findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(read.host_, "front-a-1");
    EXPECT_EQ(read.peer_listen_, "10.1.0.16:7500");
    EXPECT_EQ(read.relay_listen_, "10.1.0.16:7515");
    EXPECT_EQ(read.seeds_.size(), 2U);
    EXPECT_EQ(read.seeds_[1], "10.2.0.35:7500");
    EXPECT_TRUE(read.first_start_);
    EXPECT_EQ(read.bounds_.stop_grace_.ms_, 8'000);
    EXPECT_EQ(read.bounds_.retry_slack_, 52);
    EXPECT_EQ(read.zones_.size(), 2U);
    EXPECT_TRUE(read.data_folder_.empty());
}

TEST(platform_settings, reads_the_bounds_of_roll_outs)
{
    core::finding_list findings;
    const std::string text = entry_host_settings;
    const auto without = parse_settings("file", text, findings).bounds_;
    EXPECT_FALSE(without.rollout_share_);
    const auto read = parse_settings(
                          "file",
                          text + "bounds.exposeShare=0.2\n"
                                 "bounds.exposeSlack=30\n"
                                 "bounds.rollbackMs=4000\n"
                                 "bounds.ackMs=6000\n",
                          findings)
                          .bounds_;
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(read.rollout_share_, 0.2);
    EXPECT_EQ(read.rollout_slack_, 30);
    EXPECT_EQ(read.rollback_time_.ms_, 4'000);
    EXPECT_EQ(read.operator_ack_time_.ms_, 6'000);
    parse_settings(
        "file",
        text + "bounds.exposeShare=1.5\nbounds.ackMs=0\n"
               "bounds.exposeSlack=-1\nbounds.rollbackMs=nan\n",
        findings);
    EXPECT_EQ(findings.all().size(), 4U) << findings.text();
}

TEST(platform_settings, reports_every_line_that_is_wrong)
{
    core::finding_list findings;
    parse_settings(
        "file", "zone=a\nbounds.graceS=soon\nno equals sign\n", findings);
    const std::string text = findings.text();
    EXPECT_NE(text.find("nodeName"), std::string::npos);
    EXPECT_NE(text.find("portRange"), std::string::npos);
    EXPECT_NE(text.find("file:2"), std::string::npos) << text;
    EXPECT_NE(text.find("file:3"), std::string::npos) << text;
}

TEST(platform_settings, refuses_bounds_at_the_leader_that_a_small_fleet_reaches)
{
    core::finding_list findings;
    const auto defaults = parse_settings("file", entry_host_settings, findings);
    EXPECT_EQ(defaults.bounds_.leader_calls_per_second_, 6'000);
    EXPECT_EQ(defaults.bounds_.max_watches_, 2'048);
    const std::string text = entry_host_settings;
    const auto read = parse_settings(
        "file",
        text + "bounds.leaderCallsPerS=900\nbounds.maxWatches=70\n",
        findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(read.bounds_.leader_calls_per_second_, 900);
    EXPECT_EQ(read.bounds_.max_watches_, 70);
    parse_settings(
        "file",
        text + "bounds.leaderCallsPerS=0\nbounds.maxWatches=-1\n",
        findings);
    EXPECT_NE(findings.text().find("leaderCallsPerS"), std::string::npos);
    EXPECT_NE(findings.text().find("maxWatches"), std::string::npos);
}

TEST(platform_settings, reads_and_checks_the_limits_on_clients)
{
    core::finding_list findings;
    const std::string with_limits =
        std::string(entry_host_settings) +
        "clients.memoryPercent=20\nclients.descriptorPercent=50\n"
        "clients.connections=300\nclients.framingBytes=2048\n"
        "clients.writeTimeoutMs=2000\n";
    const auto read = parse_settings("file", with_limits, findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(read.clients_.memory_percent_, 20U);
    EXPECT_EQ(read.clients_.descriptor_percent_, 50U);
    EXPECT_EQ(read.clients_.connections_, 300U);
    EXPECT_EQ(read.clients_.framing_bytes_, 2'048U);
    EXPECT_EQ(read.clients_.write_timeout_.ms_, 2'000);
    for (const char* wrong :
         {"clients.memoryPercent=61",
          "clients.connections=0",
          "clients.framingBytes=1.5e3x",
          "clients.writeTimeoutMs=2000.5",
          "limits.memoryMb=nan",
          "bounds.graceS=1e300"})
    {
        core::finding_list found;
        parse_settings("file", std::string(entry_host_settings) + wrong, found);
        EXPECT_FALSE(found.empty()) << wrong;
    }
}

RC_GTEST_PROP(platform_settings, survives_any_bytes, (std::string bytes))
{
    core::finding_list findings;
    parse_settings("file", bytes, findings);
    parse_settings("file", entry_host_settings + bytes, findings);
}

} // namespace
} // namespace poplarroute::platform
