#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/state_machine.hpp"
#include "core/digest.hpp"

namespace poplarroute::control
{

namespace
{

const char* const two_hosts =
    "[organisation]\nname = T\n[availability_zone z]\nregion = r\n"
    "[host h1]\navailability_zone = z\npeer = 127.0.0.1:1\n"
    "[host h2]\navailability_zone = z\npeer = 127.0.0.1:2\n"
    "[account a]\nrate = 100\nburst = 1000\n";

command_origin origin(const std::string& id)
{
    return {id, "op", 1};
}

command_reply apply(state_machine& machine, const command& request)
{
    return machine.apply(encode(request));
}

state_machine make_machine()
{
    state_machine machine;
    apply(machine, submit_configuration{origin("c1"), 0, two_hosts});
    return machine;
}

} // namespace

TEST(directory, only_one_of_two_configurations_with_the_same_base_is_accepted)
{
    state_machine machine = make_machine();
    const auto one =
        apply(machine, submit_configuration{origin("c2"), 1, two_hosts});
    const auto two =
        apply(machine, submit_configuration{origin("c3"), 1, two_hosts});
    EXPECT_EQ(one.verdict_, verdict::accepted);
    EXPECT_EQ(two.verdict_, verdict::conflict);
}

TEST(directory, a_repeated_command_gets_the_first_reply)
{
    state_machine machine = make_machine();
    const submit_configuration request{origin("c2"), 1, two_hosts};
    const auto first = apply(machine, request);
    apply(machine, submit_configuration{origin("c9"), 2, two_hosts});
    const auto again = apply(machine, request);
    EXPECT_EQ(again.verdict_, verdict::accepted);
    EXPECT_EQ(again.version_, first.version_);
    EXPECT_EQ(machine.fleet().configuration_version(), 3U);
}

TEST(directory, a_withdrawn_key_never_works_again)
{
    state_machine machine = make_machine();
    const std::string digest = core::key_digest("salt", "secret");
    apply(machine, issue_key{origin("k1"), "id", "a", "salt", digest});
    EXPECT_EQ(machine.fleet().account_of("pr_id_secret"), "a");
    EXPECT_EQ(machine.fleet().account_of("pr_id_other"), std::nullopt);
    apply(machine, withdraw_key{origin("k2"), "id"});
    EXPECT_EQ(machine.fleet().account_of("pr_id_secret"), std::nullopt);
    const auto again =
        apply(machine, issue_key{origin("k3"), "id", "a", "salt", digest});
    EXPECT_EQ(again.verdict_, verdict::conflict);
    EXPECT_EQ(machine.fleet().account_of("pr_id_secret"), std::nullopt);
}

TEST(directory, shares_never_exceed_the_limit_before_all_hosts_confirm)
{
    state_machine machine = make_machine();
    const directory before = machine.fleet();
    EXPECT_EQ(before.share_of("h1", "a").rate_, 50);
    apply(machine, retire_host{origin("r"), "h2", "test"});
    // Until all hosts have confirmed the version, h1 uses its smaller share.
    EXPECT_EQ(machine.fleet().share_of("h1", "a").rate_, 50);
    EXPECT_EQ(machine.fleet().share_of("h2", "a").rate_, 0);
    apply(machine, settle_shares{origin("s"), machine.fleet().version()});
    EXPECT_EQ(machine.fleet().share_of("h1", "a").rate_, 100);
}

TEST(directory, changes_are_applied_in_order_only)
{
    state_machine machine = make_machine();
    directory replica;
    EXPECT_TRUE(replica.follow(machine.changes()[0]));
    EXPECT_FALSE(replica.follow(machine.changes()[0]));
    EXPECT_EQ(replica.version(), 1U);
}

TEST(claims, are_granted_to_one_attempt_and_replayed)
{
    state_machine machine = make_machine();
    const claim_call first{"a", "key", "d", "at1", 1};
    EXPECT_EQ(apply(machine, first).verdict_, verdict::granted);
    EXPECT_EQ(apply(machine, first).verdict_, verdict::granted);
    const claim_call second{"a", "key", "d", "at2", 1};
    EXPECT_EQ(apply(machine, second).verdict_, verdict::in_progress);
    const claim_call other{"a", "key", "x", "at3", 1};
    EXPECT_EQ(apply(machine, other).verdict_, verdict::mismatch);
    apply(
        machine,
        record_outcome{"a", "key", "at1", 200, "text/plain", "booked"});
    const auto replay = apply(machine, second);
    EXPECT_EQ(replay.verdict_, verdict::recorded);
    EXPECT_EQ(replay.body_, "booked");
    // After a recorded outcome, the first attempt is not granted again.
    EXPECT_EQ(apply(machine, first).verdict_, verdict::recorded);
}

TEST(claims, only_the_holder_abandons_and_only_without_an_outcome)
{
    state_machine machine = make_machine();
    apply(machine, claim_call{"a", "key", "d", "at1", 1});
    EXPECT_EQ(
        apply(machine, abandon_claim{"a", "key", "at2"}).verdict_,
        verdict::invalid);
    EXPECT_EQ(
        apply(machine, abandon_claim{"a", "key", "at1"}).verdict_,
        verdict::accepted);
    EXPECT_EQ(
        apply(machine, claim_call{"a", "key", "d", "at2", 1}).verdict_,
        verdict::granted);
    apply(machine, record_outcome{"a", "key", "at2", 200, "", ""});
    EXPECT_EQ(
        apply(machine, abandon_claim{"a", "key", "at2"}).verdict_,
        verdict::invalid);
}

TEST(claims, expire_after_the_retention_time)
{
    state_machine machine = make_machine();
    const std::int64_t day_ms = 24LL * 3'600'000;
    apply(machine, claim_call{"a", "old", "d", "at1", 1});
    apply(machine, claim_call{"a", "new", "d", "at2", day_ms + 10});
    EXPECT_EQ(machine.claims().all().size(), 1U);
}

TEST(orders, to_an_endpoint_that_ignores_fencing_numbers_do_not_overlap)
{
    const std::string text =
        std::string(two_hosts) +
        "[service s]\n"
        "[endpoint old]\nservice = s\navailability_zone = z\n"
        "address = 127.0.0.1:9\ncapacity = 1\nchecks_fence = no\n"
        "[endpoint new]\nservice = s\navailability_zone = z\n"
        "address = 127.0.0.1:8\ncapacity = 1\n";
    state_machine machine;
    apply(machine, submit_configuration{origin("c1"), 0, text});
    const auto acquire = [&](const std::string& id, const std::string& endpoint)
    {
        return apply(
            machine, acquire_fencing_number{{id, "op", 1'000}, endpoint});
    };
    EXPECT_EQ(acquire("f1", "old").wait_ms_, 0);
    const auto second = acquire("f2", "old");
    EXPECT_EQ(second.version_, 2U);
    EXPECT_EQ(second.wait_ms_, 10'000);
    EXPECT_EQ(acquire("f3", "old").wait_ms_, 20'000);
    EXPECT_EQ(acquire("f4", "new").wait_ms_, 0);
    EXPECT_EQ(acquire("f5", "new").wait_ms_, 0);
}

TEST(state_machine, decodes_what_it_encoded)
{
    state_machine machine = make_machine();
    apply(machine, issue_key{origin("k1"), "id", "a", "salt", "digest"});
    apply(machine, claim_call{"a", "key", "d", "at1", 5});
    apply(machine, record_outcome{"a", "key", "at1", 201, "t", "\xffx"});
    apply(machine, set_out_of_service{origin("o"), true, "z", true});
    const std::string bytes = machine.encode();
    const auto read = state_machine::decode(bytes);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->encode(), bytes);
    EXPECT_TRUE(read->fleet().is_host_out_of_service("h1"));
}

// Guards against an operator's command that is delayed and undoes a newer one.
TEST(state_machine, refuses_a_command_that_was_decided_before_a_newer_one)
{
    state_machine machine = make_machine();
    apply(machine, set_out_of_service{origin("o1"), true, "z", true});
    const std::uint64_t base = machine.fleet().version();
    apply(machine, set_out_of_service{origin("o2"), true, "z", false, base});
    apply(machine, set_out_of_service{origin("o3"), true, "z", true});
    EXPECT_EQ(
        apply(machine, set_out_of_service{origin("o4"), true, "z", false, base})
            .verdict_,
        verdict::conflict);
    EXPECT_TRUE(machine.fleet().is_host_out_of_service("h1"));
}

TEST(state_machine, refuses_to_retire_a_host_that_was_readmitted_since)
{
    state_machine machine = make_machine();
    const std::uint64_t base = machine.fleet().version();
    apply(machine, retire_host{origin("r1"), "h2", "test", base});
    apply(machine, readmit_host{origin("r2"), "h2"});
    EXPECT_EQ(
        apply(machine, retire_host{origin("r3"), "h2", "test", base}).verdict_,
        verdict::conflict);
    EXPECT_TRUE(machine.fleet().retired_hosts().empty());
    auto read = state_machine::decode(machine.encode());
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(
        apply(*read, retire_host{origin("r4"), "h2", "test", base}).verdict_,
        verdict::conflict);
}

RC_GTEST_PROP(
    state_machine,
    decodes_any_bytes_without_a_crash,
    (const std::string& bytes))
{
    state_machine machine;
    RC_ASSERT(machine.apply(bytes).verdict_ == verdict::invalid);
    static_cast<void>(state_machine::decode(bytes));
    static_cast<void>(directory::decode(bytes));
    static_cast<void>(decode_reply(bytes));
}

TEST(configuration, reports_all_errors_with_their_lines)
{
    core::finding_list findings;
    parse_configuration(
        "fleet.ini",
        "[organisation]\n"
        "[availability_zone z]\nregion = r\n"
        "[host h]\navailability_zone = nowhere\npeer = localhost\n"
        "[account a]\nrate = fast\nburst = 10\nspeed = 1\n"
        "[service s]\nkind = wax\n"
        "[endpoint e]\nservice = t\navailability_zone = z\n"
        "address = 127.0.0.1:1\ncapacity = 4\n"
        "[route r]\npath = x\nservice = s\nopen = yes\nidempotent = no\n"
        "[thing]\n",
        findings);
    const std::string text = findings.text();
    for (const char* expected :
         {"fleet.ini:1: [organisation] name",
          "fleet.ini:5: [host h] availability_zone",
          "fleet.ini:6: [host h] peer",
          "fleet.ini:8: [account a] rate",
          "fleet.ini:10: [account a] speed",
          "fleet.ini:12: [service s] kind",
          "fleet.ini:14: [endpoint e] service",
          "fleet.ini:19: [route r] path",
          "fleet.ini:21: [route r] open",
          "fleet.ini:23: [thing]"})
    {
        EXPECT_NE(text.find(expected), std::string::npos)
            << "missing: " << expected << "\nin:\n"
            << text;
    }
}

} // namespace poplarroute::control
