#include "control/catalog.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/catalog_state_machine.hpp"
#include "core/codec.hpp"

namespace poplarroute::control
{
namespace
{

TEST(catalog_state_machine, the_highest_version_is_in_force)
{
    catalog_state_machine machine;
    EXPECT_TRUE(machine.apply(encode(submit_catalog{5, "five"})).changed_);
    EXPECT_FALSE(machine.apply(encode(submit_catalog{4, "four"})).changed_);
    EXPECT_FALSE(machine.apply(encode(submit_catalog{5, "other"})).changed_);
    EXPECT_EQ(machine.text(), "five");
    EXPECT_EQ(machine.version(), 5U);
    EXPECT_EQ(machine.revision(), 1U);
}

TEST(catalog_state_machine, zones_are_taken_out_of_service_and_put_back)
{
    catalog_state_machine machine;
    EXPECT_TRUE(
        machine.apply(encode(set_zone_out_of_service{"a", true})).changed_);
    EXPECT_FALSE(
        machine.apply(encode(set_zone_out_of_service{"a", true})).changed_);
    EXPECT_EQ(machine.out_of_service_zones().count("a"), 1U);
    EXPECT_TRUE(
        machine.apply(encode(set_zone_out_of_service{"a", false})).changed_);
    EXPECT_TRUE(machine.out_of_service_zones().empty());
}

// Guards against an order that waits in a paused member and undoes a newer one.
TEST(catalog_state_machine, an_order_decided_before_a_newer_one_is_refused)
{
    catalog_state_machine machine;
    machine.apply(encode(submit_catalog{1, "one"}));
    machine.apply(encode(set_zone_out_of_service{"a", true, 0}));
    const std::uint64_t base = machine.zone_revision("a");
    machine.apply(encode(set_zone_out_of_service{"a", false, base}));
    machine.apply(
        encode(set_zone_out_of_service{"a", true, machine.zone_revision("a")}));
    const catalog_reply late =
        machine.apply(encode(set_zone_out_of_service{"a", false, base}));
    EXPECT_TRUE(late.conflicts_);
    EXPECT_FALSE(late.changed_);
    EXPECT_EQ(machine.out_of_service_zones().count("a"), 1U);
}

TEST(catalog_state_machine, an_order_sent_again_is_acknowledged_again)
{
    catalog_state_machine machine;
    EXPECT_TRUE(
        machine.apply(encode(set_zone_out_of_service{"a", true, 0})).changed_);
    const catalog_reply again =
        machine.apply(encode(set_zone_out_of_service{"a", true, 0}));
    EXPECT_FALSE(again.conflicts_);
    EXPECT_FALSE(again.changed_);
}

TEST(catalog_state_machine, the_revisions_of_zones_survive_a_snapshot)
{
    catalog_state_machine machine;
    machine.apply(encode(set_zone_out_of_service{"a", true, 0}));
    auto decoded = catalog_state_machine::decode(machine.encode());
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->zone_revision("a"), machine.zone_revision("a"));
    EXPECT_TRUE(decoded->apply(encode(set_zone_out_of_service{"a", false, 0}))
                    .conflicts_);
}

RC_GTEST_PROP(
    catalog_state_machine,
    its_version_never_decreases_and_survives_a_snapshot,
    (std::vector<unsigned char> versions))
{
    catalog_state_machine machine;
    std::uint64_t newest = 0;
    for (const unsigned version : versions)
    {
        machine.apply(encode(submit_catalog{version, std::to_string(version)}));
        newest = std::max<std::uint64_t>(newest, version);
        RC_ASSERT(machine.version() == newest);
        const auto decoded = catalog_state_machine::decode(machine.encode());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->text() == machine.text());
        RC_ASSERT(decoded->revision() == machine.revision());
    }
}

// Guards against a malformed command that ends every member which applies it.
TEST(catalog_state_machine, a_malformed_command_changes_nothing)
{
    catalog_state_machine machine;
    machine.apply(encode(submit_catalog{1, "one"}));
    const std::vector<nlohmann::json> commands{
        nlohmann::json::array(),
        nlohmann::json::array({0}),
        nlohmann::json::array({0, 2, "not binary"}),
        nlohmann::json::array({"kind"}),
        nlohmann::json::array({1, 5, true}),
        nlohmann::json::array({1, "a", true, "base"}),
        nlohmann::json::object()};
    for (const nlohmann::json& command : commands)
    {
        EXPECT_FALSE(machine.apply(core::encode_cbor(command)).changed_);
    }
    EXPECT_EQ(machine.revision(), 1U);
    EXPECT_EQ(machine.text(), "one");
}

RC_GTEST_PROP(
    catalog_state_machine,
    decodes_any_bytes_without_a_crash,
    (std::string bytes))
{
    catalog_state_machine::decode(bytes);
}

catalog_view view_of(std::vector<std::string> prefixes)
{
    catalog whole;
    for (std::string& prefix : prefixes)
    {
        catalog_route route;
        route.virtual_host_ = "h";
        route.prefix_ = std::move(prefix);
        whole.routes_.push_back(std::move(route));
    }
    return catalog_view(std::move(whole));
}

TEST(catalog_view, finds_the_longest_prefix)
{
    const catalog_view view = view_of({"/", "/a/", "/a/b/"});
    EXPECT_EQ(view.find_route("h", "/a/b/c")->prefix_, "/a/b/");
    EXPECT_EQ(view.find_route("h", "/a/b")->prefix_, "/a/");
    EXPECT_EQ(view.find_route("h", "/ab/c")->prefix_, "/");
    EXPECT_EQ(view.find_route("other", "/a/"), nullptr);
    EXPECT_EQ(view_of({"/a/"}).find_route("h", "/b"), nullptr);
    EXPECT_EQ(view_of({"/a/"}).find_route("h", ""), nullptr);
}

} // namespace
} // namespace poplarroute::control
