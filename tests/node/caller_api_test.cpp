#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "core/codec.hpp"
#include "node/caller_api.hpp"
#include "node/messages.hpp"
#include "node/slo_history.hpp"

namespace poplarroute::node
{

TEST(caller_api, reads_a_chat)
{
    const auto parsed = parse_completion(
        R"({"model":"m","stream":true,"max_tokens":7,
            "messages":[{"role":"user","content":"hello"}]})",
        true);
    ASSERT_TRUE(core::is_ok(parsed));
    const completion_request& completion = core::value(parsed);
    EXPECT_EQ(completion.prompt_, "user: hello\n");
    EXPECT_EQ(completion.prompt_tokens_, 3);
    EXPECT_EQ(completion.max_tokens_, 7);
    EXPECT_TRUE(completion.stream_);
    EXPECT_EQ(completion.prefix_, 0U);
}

TEST(caller_api, says_what_is_wrong)
{
    for (const char* body :
         {"",
          "[]",
          R"({"model":1})",
          R"({"model":"m"})",
          R"({"model":"m","messages":[]})",
          R"({"model":"m","messages":[{"role":"u"}]})",
          R"({"model":"m","messages":[{"role":"u","content":"x"}],
              "max_tokens":0})",
          R"({"model":"m","messages":[{"role":"u","content":"x"}],
              "stream":"yes"})"})
    {
        EXPECT_FALSE(core::is_ok(parse_completion(body, true))) << body;
    }
}

TEST(caller_api, equal_beginnings_of_long_prompts_hash_alike)
{
    const auto prefix_hash = [](const std::string& prompt)
    {
        const nlohmann::json body{{"model", "m"}, {"prompt", prompt}};
        return core::value(parse_completion(body.dump(), false)).prefix_;
    };
    const std::string beginning(5'000, 'x');
    EXPECT_EQ(prefix_hash(beginning + "one"), prefix_hash(beginning + "two"));
    EXPECT_NE(prefix_hash(beginning), 0U);
}

RC_GTEST_PROP(caller_api, survives_any_body, (const std::string& body))
{
    static_cast<void>(parse_completion(body, true));
    static_cast<void>(parse_completion(body, false));
}

RC_GTEST_PROP(messages, survive_any_bytes, (const std::string& bytes))
{
    static_cast<void>(core::decode_cbor<reserve_request>(bytes));
    static_cast<void>(core::decode_cbor<directory_pull_reply>(bytes));
    static_cast<void>(core::decode_cbor<control::probe>(bytes));
}

TEST(messages, a_size_beyond_all_memory_is_no_message)
{
    // A map that claims 7 * 10^18 entries.
    const std::string bytes = "\xBB" + std::string(8, 'a');
    EXPECT_FALSE(core::decode_cbor<reserve_request>(bytes).has_value());
    EXPECT_FALSE(core::decode_cbor<nlohmann::json>(bytes).has_value());
}

TEST(messages, an_older_sender_leaves_fields_out)
{
    const nlohmann::json older{{"service_", "s"}, {"unknown_", 1}};
    const auto read =
        core::decode_cbor<reserve_request>(core::encode_cbor(older));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->service_, "s");
    EXPECT_EQ(read->pieces_, 1);
}

TEST(refusal, has_a_code_a_sentence_and_whether_it_ran)
{
    const auto document = nlohmann::json::parse(to_json_text(
        {429, "rate_limited", "Wait.", true, core::duration{1'500}}));
    EXPECT_EQ(document["error"]["code"], "rate_limited");
    EXPECT_EQ(document["error"]["not_run"], true);
    EXPECT_EQ(document["error"]["retry_after_ms"], 1'500);
}

TEST(burn, counts_by_window)
{
    slo_history history;
    const core::duration minute{60'000};
    history.add("a", "r", service_result::good, {0});
    history.add(
        "a", "r", service_result::late, core::time_point{} + minute * 30);
    const auto rows = history.rows(core::time_point{} + minute * 31);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0]["windows"]["5m"]["late"], 1);
    EXPECT_EQ(rows[0]["windows"]["5m"]["good"], 0);
    EXPECT_EQ(rows[0]["windows"]["1h"]["good"], 1);
}

} // namespace poplarroute::node
