#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "control/configuration.hpp"
#include "drivers/host_settings.hpp"
#include "main/ctl/burn_report.hpp"
#include "main/ctl/questionnaire.hpp"

namespace poplarroute::main::ctl
{

namespace
{

control::configuration configuration_of(const std::string& example)
{
    const std::string path = std::string(EXAMPLES) + "/" + example;
    const auto text = drivers::read_file(path);
    EXPECT_TRUE(text.has_value()) << path;
    core::finding_list findings;
    const questionnaire_answers answers =
        parse_questionnaire_answers(path, text.value_or(""), findings);
    const auto generated = control::parse_configuration(
        "generated", generate_configuration(answers), findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    return generated;
}

} // namespace

TEST(questionnaire, makes_the_associations_fleet)
{
    const auto generated = configuration_of("association-answers.ini");
    EXPECT_EQ(generated.zones_.size(), 4U);
    EXPECT_EQ(generated.hosts_.size(), 8U);
    EXPECT_EQ(generated.accounts_.size(), 5U);
    EXPECT_EQ(generated.endpoints_.size(), 13U);
    bool runs_at_most_once = false;
    for (const auto& route : generated.routes_)
    {
        runs_at_most_once = runs_at_most_once ||
                            (route.path_ == "/fittings" && !route.idempotent_);
    }
    EXPECT_TRUE(runs_at_most_once);
}

TEST(questionnaire, makes_chequeleafs_fleet)
{
    const auto generated = configuration_of("chequeleaf-answers.ini");
    EXPECT_EQ(generated.zones_.size(), 3U);
    EXPECT_EQ(generated.endpoints_.size(), 14U);
    EXPECT_FALSE(generated.services_.at("note-writer").name_.empty());
}

TEST(questionnaire, generates_a_configuration_from_prompted_answers)
{
    std::istringstream in("Trial\nr\nz\nh@127.0.0.1:1\na\n10\n100\nm, p\n"
                          "model\n40\n127.0.0.1:2\nyes\n"
                          "plain\n4\n127.0.0.1:3\n/book\n/look\n");
    std::ostringstream out;
    const questionnaire_answers answers = prompt_for_answers(in, out);
    core::finding_list findings;
    const auto generated = control::parse_configuration(
        "generated", generate_configuration(answers), findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(generated.services_.size(), 2U);
    EXPECT_EQ(generated.endpoints_.size(), 2U);
    EXPECT_NE(out.str().find("Availability zones"), std::string::npos);
}

TEST(questionnaire, reports_every_wrong_answer)
{
    core::finding_list findings;
    parse_questionnaire_answers(
        "a.ini",
        "[organisation]\nname = T\n[availability_zone z]\nhosts = x\n"
        "[account a]\nrate = 1\n[service s]\nin.nowhere = 127.0.0.1:1\n",
        findings);
    EXPECT_EQ(findings.all().size(), 4U) << findings.text();
}

TEST(diff_lines, lists_removed_and_added_lines)
{
    EXPECT_EQ(diff_lines("a\nb\nc\n", "a\nx\nc\n"), "- b\n+ x\n");
    EXPECT_EQ(diff_lines("", "a\n"), "+ a\n");
    EXPECT_EQ(diff_lines("a\n", "a\n"), "");
}

RC_GTEST_PROP(questionnaire, survives_any_text, (const std::string& text))
{
    core::finding_list findings;
    parse_questionnaire_answers("a.ini", text, findings);
}

TEST(burn_report, adds_hosts_up_and_raises_alarms)
{
    const auto row = [](int good, int failed)
    {
        nlohmann::json counts{
            {"good", good}, {"late", 0}, {"refused", 0}, {"failed", failed}};
        nlohmann::json out{{"account", "a"}, {"route", "r<"}};
        for (const char* span : {"5m", "1h", "6h"})
        {
            out["windows"][span] = counts;
        }
        out["series"] = nlohmann::json::array({counts});
        return nlohmann::json::array({out});
    };
    const auto report = make_burn_report({row(50, 50), row(90, 10)}, 950);
    ASSERT_EQ(report["rows"].size(), 1U);
    // 60 bad requests of 200 are 30%, six times the 5% that the objective
    // allows.
    EXPECT_NEAR(
        report["rows"][0]["windows"]["1h"]["burn"].get<double>(), 6, 0.01);
    EXPECT_EQ(report["rows"][0]["alarm"], "ticket");
    EXPECT_NE(format_burn_report(report).find("ticket"), std::string::npos);
    EXPECT_NE(format_burn_report_html(report).find("r&lt;"), std::string::npos);
    EXPECT_NE(format_burn_report_html(report).find("<svg"), std::string::npos);
}

} // namespace poplarroute::main::ctl
