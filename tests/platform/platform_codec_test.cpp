#include "platform/platform_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/catalog_messages.hpp"
#include "platform/catalog_json.hpp"

namespace poplarroute::platform
{
namespace
{

drivers::http_request request_with(drivers::header_list headers)
{
    drivers::http_request out;
    out.method_ = "POST";
    out.target_ = "/lohu930/2f?x=1";
    out.headers_ = std::move(headers);
    out.body_ = "body";
    return out;
}

node::send_plan plan_to(std::string endpoint)
{
    node::send_plan out;
    out.address_ = "127.0.0.1:1";
    out.endpoint_ = std::move(endpoint);
    out.account_ = "acme";
    out.deadline_ = core::duration{500};
    return out;
}

std::size_t count(const drivers::header_list& headers, std::string_view name)
{
    std::size_t out = 0;
    for (const auto& [key, value] : headers)
    {
        out += drivers::find_header({{key, "x"}}, name) == "x" ? 1 : 0;
    }
    return out;
}

TEST(platform_codec, decodes_a_request_once_into_named_fields)
{
    const platform_codec wire;
    const node::ingress_request read = wire.decode_request(request_with(
        {{"Host", "ficu95.example:80"},
         {"Attempt-Id", "9c41"},
         {"Deadline-Ms", "14000"},
         {"Authorization", "Bearer secret"},
         {"Token-Counts", "1460,80"},
         {"Length-Hint", "70"},
         {"Last-Event-Id", "12"},
         {"Resumes", "a0"}}));
    EXPECT_EQ(read.virtual_host_, "ficu95.example");
    EXPECT_EQ(read.path_, "/lohu930/2f");
    EXPECT_EQ(read.attempt_, "9c41");
    EXPECT_EQ(read.deadline_->ms_, 14'000);
    EXPECT_EQ(read.key_, "secret");
    EXPECT_EQ(read.prompt_tokens_, 1'460);
    EXPECT_EQ(read.most_output_, 80);
    EXPECT_EQ(read.output_hint_, 70);
    EXPECT_EQ(read.resume_after_, 12);
    EXPECT_EQ(read.resumes_, "a0");
}

TEST(platform_codec, reads_the_parts_of_a_prompt_that_others_may_share)
{
    const platform_codec wire;
    const auto shared_parts = [&](std::string text)
    {
        return wire
            .decode_request(request_with({{"Prompt-Prefix", std::move(text)}}))
            .shared_parts_;
    };
    using parts = std::vector<std::string>;
    EXPECT_EQ(
        shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        (parts{"5c1e07a2", "91bd3f06"}));
    EXPECT_EQ(shared_parts("e4402b7d:250"), parts());
    EXPECT_EQ(shared_parts(""), parts());
}

TEST(platform_codec, drops_headers_that_only_the_system_may_set)
{
    const platform_codec wire;
    const drivers::header_list forged{
        {"Tenant", "other"},
        {"stage", "prefill"},
        {"Kv-Hold", "h"},
        {"Kv-Source", "s"},
        {"Pin-Ms", "5"},
        {"Kv-Backup", "b"},
        {"KV-FETCH", "f"},
        {"Expect-Instance", "i"},
        {"Urgency-Class", "0"},
        {"Authorization", "Bearer k"},
        {"Connection", "keep-alive"},
        {"Model", "m"}};
    const node::ingress_request read =
        wire.decode_request(request_with(forged));
    const drivers::http_call out = wire.encode_call(read, plan_to("i-1"));
    EXPECT_EQ(count(out.headers_, "Model"), 1U);
    EXPECT_EQ(count(out.headers_, "Tenant"), 1U);
    EXPECT_EQ(drivers::find_header(out.headers_, "Tenant"), "acme");
    EXPECT_EQ(drivers::find_header(out.headers_, "Expect-Instance"), "i-1");
    for (const char* name :
         {"Stage",
          "Kv-Hold",
          "Kv-Source",
          "Pin-Ms",
          "Kv-Backup",
          "Kv-Fetch",
          "Urgency-Class",
          "Authorization",
          "Connection"})
    {
        EXPECT_EQ(count(out.headers_, name), 0U) << name;
    }
}

TEST(platform_codec, passes_method_target_and_body_on_unchanged)
{
    const platform_codec wire;
    const auto read = wire.decode_request(request_with({{"Attempt-Id", "a"}}));
    const drivers::http_call out = wire.encode_call(read, plan_to("i-1"));
    EXPECT_EQ(out.method_, "POST");
    EXPECT_EQ(out.target_, "/lohu930/2f?x=1");
    EXPECT_EQ(out.body_, "body");
    EXPECT_EQ(drivers::find_header(out.headers_, "Deadline-Ms"), "500");
}

TEST(platform_codec, says_what_an_answer_means)
{
    const platform_codec wire;
    const auto read = wire.decode_request(request_with({{"Attempt-Id", "a"}}));
    const node::response_metadata shed =
        wire.facts_of(read, 503, {{"Not-Run", "1"}, {"Attempt-Id", "a"}});
    EXPECT_TRUE(shed.not_run_);
    const node::response_metadata other = wire.facts_of(read, 421, {});
    EXPECT_TRUE(other.misdirected_);
    const node::response_metadata good = wire.facts_of(
        read,
        200,
        {{"Server-Stamp", "s"}, {"Attempt-Id", "a"}, {"Server-Load", "3,1,8"}});
    EXPECT_TRUE(good.signed_);
    EXPECT_TRUE(good.echoes_attempt_);
    EXPECT_FALSE(good.not_run_);
    EXPECT_EQ(good.running_, 3);
    EXPECT_EQ(good.waiting_, 1);
    const node::response_metadata mismatched =
        wire.facts_of(read, 200, {{"Attempt-Id", "b"}});
    EXPECT_FALSE(mismatched.echoes_attempt_);
}

std::optional<std::int64_t> pace_of(const std::string& load)
{
    const platform_codec wire;
    const auto read = wire.decode_request(request_with({{"Attempt-Id", "a"}}));
    return wire.facts_of(read, 200, {{"Server-Load", load}}).pace_percent_;
}

// Guards against an endpoint that states no pace, or a faulty one, and is taken
// for a very fast or very slow one.
TEST(platform_codec, reads_the_pace_of_an_endpoint)
{
    EXPECT_EQ(pace_of("3,1,8,250"), 250);
    EXPECT_EQ(pace_of("3,1,8, 70"), 70);
    EXPECT_EQ(pace_of("3,1,8,0"), 10);
    EXPECT_EQ(pace_of("3,1,8,-5"), 10);
    EXPECT_EQ(pace_of("3,1,8,99999"), 1'000);
    EXPECT_EQ(pace_of("3,1,8,100,7"), 100);
    for (const char* load :
         {"", "3,1", "3,1,8", "3,1,8,", "3,1,8,fast", "3,1,8,1e2"})
    {
        EXPECT_FALSE(pace_of(load)) << load;
    }
}

TEST(platform_codec, writes_fractions_of_seconds)
{
    const platform_codec wire;
    const auto read = wire.decode_request(request_with({{"Attempt-Id", "a"}}));
    const auto headers =
        wire.local_response_headers(read, core::duration{1'050});
    EXPECT_EQ(drivers::find_header(headers, "Retry-After"), "1.050");
}

TEST(platform_codec, skips_entries_of_the_list_that_cannot_be_read)
{
    const platform_codec wire;
    const auto page = wire.decode_endpoint_page(R"({"instances":[
      {"id":"i-1","service":"s","address":"10.0.0.1:80","zone":"z",
       "version":"v1","slots":4,"state":"ready","coldLeftMs":0},
      {"id":"i-2","service":"s","address":"10.0.0.2:80","zone":"z",
       "slots":"four","state":"ready","coldLeftMs":0},
      {"id":"i-3","service":"s","address":"nowhere","zone":"z",
       "slots":4,"state":"ready","coldLeftMs":0},
      {"id":"i-4","service":"s","address":"10.0.0.4:80","zone":"z",
       "slots":4,"state":"resting","coldLeftMs":0},
      17, null,
      {"id":"i-5","service":"s","address":"10.0.0.5:80","zone":"z","slots":4,
       "state":"draining","coldLeftMs":12.5,"stage":"prefill"}],
      "next":"p-50"})");
    ASSERT_TRUE(page);
    ASSERT_EQ(page->endpoints_.size(), 2U);
    EXPECT_EQ(page->unreadable_.size(), 5U);
    EXPECT_EQ(page->next_, "p-50");
    EXPECT_EQ(page->endpoints_[0].version_, "v1");
    EXPECT_TRUE(page->endpoints_[1].version_.empty());
    EXPECT_EQ(
        node::from_message(node::to_message(page->endpoints_[0])).version_,
        "v1");
    EXPECT_FALSE(page->endpoints_[0].leaving_);
    EXPECT_TRUE(page->endpoints_[1].leaving_);
    EXPECT_TRUE(page->endpoints_[1].reads_prompts_);
    EXPECT_EQ(page->endpoints_[1].cold_time_left_.ms_, 12);
}

/// \return a page with one odd entry between two sound ones.
std::string page_with_entry(const std::string& odd)
{
    const auto entry = [](const std::string& name)
    {
        return R"({"id":")" + name + R"(","service":"s","zone":"z",)" +
               R"("address":"10.0.0.1:80","slots":4,"state":"ready",)" +
               R"("coldLeftMs":0})";
    };
    return R"({"instances":[)" + entry("i-1") + "," + odd + "," + entry("i-2") +
           R"(],"next":null})";
}

// Another program may write one entry that breaks the reader of the whole list.
TEST(platform_codec, one_odd_entry_does_not_hide_the_others)
{
    const platform_codec wire;
    constexpr std::size_t deep = 200'000;
    const std::string nested = R"({"id":"i-3","x":)" + std::string(deep, '[') +
                               std::string(deep, ']') + "}";
    const std::string ready =
        R"({"id":"i-3","service":"s","zone":"z","state":"ready",)";
    const std::vector<std::string> odd_entries{
        nested,
        std::string(deep, '[') + std::string(deep, ']'),
        ready + R"("address":"10.0.0.3:80","slots":1e999,"coldLeftMs":0})",
        ready + R"("address":"10.0.0.3:80","slots":4,"coldLeftMs":-1e999})",
        ready + R"("address":"10.0.0.3:99999","slots":4,"coldLeftMs":0})",
        ready + R"("address":"10.0.0.3:-1","slots":4,"coldLeftMs":0})",
        R"({"id": })",
        "{\"id\":\"\xff\xfe\x01\"}",
        "\xc3\x28",
        R"({"id":"i-3"])",
        R"("a \" quoted ] text")",
        "",
        "null"};
    for (const std::string& odd : odd_entries)
    {
        const auto page = wire.decode_endpoint_page(page_with_entry(odd));
        ASSERT_TRUE(page) << odd.substr(0, 80);
        ASSERT_EQ(page->endpoints_.size(), 2U) << odd.substr(0, 80);
        EXPECT_EQ(page->endpoints_[0].name_, "i-1");
        EXPECT_EQ(page->endpoints_[1].name_, "i-2");
        EXPECT_EQ(page->unreadable_.size(), 1U);
    }
}

// An entry without any text had no offset: the log would give any number.
TEST(platform_codec, an_empty_entry_of_a_page_has_an_offset)
{
    const platform_codec codec;
    const std::string text =
        R"({"instances": [{"id": 1},, {"id": 2}], "next": null})";
    const auto page = codec.decode_endpoint_page(text);
    ASSERT_TRUE(page.has_value());
    ASSERT_EQ(page->unreadable_.size(), 3U);
    EXPECT_EQ(page->unreadable_[1], text.find(",,") + 1);
}

TEST(platform_codec, numbers_out_of_range_are_limited)
{
    const platform_codec wire;
    const auto page = wire.decode_endpoint_page(page_with_entry(
        R"({"id":"i-3","service":"s","zone":"z","address":"10.0.0.3:80",)"
        R"("slots":1e300,"state":"ready","coldLeftMs":1e300,)"
        R"("born":18446744073709551615})"));
    ASSERT_TRUE(page);
    ASSERT_EQ(page->endpoints_.size(), 3U);
    EXPECT_GT(page->endpoints_[1].slots_, 0);
    EXPECT_EQ(page->endpoints_[1].cold_time_left_.ms_, 3'600'000);
    EXPECT_GT(page->endpoints_[1].started_at_ms_, 0);
    EXPECT_FALSE(wire.decode_kv_handle(R"({"kvHandle":5})"));
    EXPECT_TRUE(wire.decode_kv_handle(R"({"kvHandle":"h","tokens":"ten"})"));
    EXPECT_FALSE(wire.decode_engine_report(
        std::string(100'000, '[') + std::string(100'000, ']')));
}

TEST(platform_codec, a_deep_configuration_is_refused)
{
    const platform_codec wire;
    core::finding_list findings;
    const std::string deep =
        std::string(200'000, '[') + std::string(200'000, ']');
    EXPECT_FALSE(wire.decode_catalog(
        R"({"version":1,"routes":[],"services":[],"x":)" + deep + "}",
        findings));
    EXPECT_FALSE(findings.all().empty());
}

RC_GTEST_PROP(platform_codec, survives_any_bytes, (std::string bytes))
{
    const platform_codec wire;
    wire.decode_endpoint_page(bytes);
    wire.decode_kv_handle(bytes);
    core::finding_list findings;
    wire.decode_catalog(bytes, findings);
    wire.decode_request(request_with(
        {{"Token-Counts", bytes},
         {"Deadline-Ms", bytes},
         {"Authorization", bytes},
         {"Host", bytes}}));
}

constexpr const char* good_catalog = R"({"version":7,
  "routes":[
    {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"stream",
     "timeoutMs":14000,"targetLatencyMs":900,"priority":1,"service":"llm",
     "maxAttempts":2,"public":false,"sticky":true,"resumable":true,
     "gapAimMs":300},
    {"name":"r2","host":"a.example","pathPrefix":"/x/y/","kind":"safe",
     "timeoutMs":600,"trafficSplit":[{"service":"desk","weight":90},
     {"service":"llm","weight":10}]}],
  "services":[
    {"name":"llm","engine":{"slots":16,"kvCapTokens":75527,"stride":69}},
    {"name":"desk","coldPerS":39.0}],
  "limits":{"maxBodyBytes":10,"idleTimeoutMs":15000},
  "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"unit":"tokens",
    "plainTokens":200,"ratePerS":111854,"burst":111854}]})";

TEST(catalog_json, reads_a_whole_configuration)
{
    core::finding_list findings;
    const auto read = decode_catalog_json(good_catalog, findings);
    ASSERT_TRUE(read) << findings.text();
    EXPECT_EQ(read->version_, 7U);
    const control::catalog_view view(*read);
    const auto* stream = view.find_route("a.example", "/x/z");
    ASSERT_NE(stream, nullptr);
    EXPECT_EQ(stream->kind_, control::call_kind::stream);
    EXPECT_TRUE(stream->resumable_);
    const auto* split = view.find_route("a.example", "/x/y/z");
    ASSERT_NE(split, nullptr);
    EXPECT_EQ(split->targets_.size(), 2U);
    EXPECT_EQ(view.account_of("k2")->name_, "t");
    EXPECT_TRUE(view.account_of("k2")->counts_tokens_);
    EXPECT_EQ(view.find_service("llm")->engine_->memory_tokens_, 75'527);
    EXPECT_FALSE(view.find_service("desk")->engine_);
    EXPECT_EQ(read->limits_.body_bytes_, 10);
}

struct bad_case
{
    const char* description_;
    std::string from_;
    std::string to_;
};

class catalog_json_refuses : public testing::TestWithParam<bad_case>
{
};

TEST_P(catalog_json_refuses, what_is_invalid)
{
    std::string text = good_catalog;
    const std::size_t at = text.find(GetParam().from_);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, GetParam().from_.size(), GetParam().to_);
    core::finding_list findings;
    EXPECT_FALSE(decode_catalog_json(text, findings))
        << GetParam().description_;
    EXPECT_FALSE(findings.empty());
}

INSTANTIATE_TEST_SUITE_P(
    all,
    catalog_json_refuses,
    testing::Values(
        bad_case{"truncated document", "\"burst\":111854}]}", "\"bur"},
        bad_case{
            "unknown service", "\"service\":\"llm\"", "\"service\":\"none\""},
        bad_case{"two routes with one prefix", "/x/y/", "/x/"},
        bad_case{"negative weight", "90},", "-10},"},
        bad_case{"no time limit", "14000", "0"},
        bad_case{
            "a field of another type", "\"host\":\"a.example\"", "\"host\":5"},
        bad_case{
            "an API key of two accounts",
            "\"tenants\":[",
            "\"tenants\":[{\"name\":\"u\",\"apiKeys\":[\"k1\"]},"}));

} // namespace
} // namespace poplarroute::platform
