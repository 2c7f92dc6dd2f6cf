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
    const team_answers answers =
        parse_answers(path, text.value_or(""), findings);
    const auto made = control::parse_configuration(
        "generated", generate_configuration(answers), findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    return made;
}

} // namespace

TEST(questionnaire, makes_the_associations_fleet)
{
    const auto made = configuration_of("association-answers.ini");
    EXPECT_EQ(made.zones_.size(), 4U);
    EXPECT_EQ(made.hosts_.size(), 8U);
    EXPECT_EQ(made.accounts_.size(), 5U);
    EXPECT_EQ(made.endpoints_.size(), 13U);
    bool books_once = false;
    for (const auto& route : made.routes_)
    {
        books_once =
            books_once || (route.path_ == "/fittings" && !route.idempotent_);
    }
    EXPECT_TRUE(books_once);
}

TEST(questionnaire, makes_chequeleafs_fleet)
{
    const auto made = configuration_of("chequeleaf-answers.ini");
    EXPECT_EQ(made.zones_.size(), 3U);
    EXPECT_EQ(made.endpoints_.size(), 14U);
    EXPECT_FALSE(made.services_.at("note-writer").name_.empty());
}

TEST(questionnaire, asks_for_the_same_in_a_dialogue)
{
    std::istringstream in("Trial\nr\nz\nh@127.0.0.1:1\na\n10\n100\nm, p\n"
                          "model\n40\n127.0.0.1:2\nyes\n"
                          "plain\n4\n127.0.0.1:3\n/book\n/look\n");
    std::ostringstream out;
    const team_answers answers = ask_answers(in, out);
    core::finding_list findings;
    const auto made = control::parse_configuration(
        "generated", generate_configuration(answers), findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(made.services_.size(), 2U);
    EXPECT_EQ(made.endpoints_.size(), 2U);
    EXPECT_NE(out.str().find("Availability zones"), std::string::npos);
}

TEST(questionnaire, reports_every_wrong_answer)
{
    core::finding_list findings;
    parse_answers(
        "a.ini",
        "[organisation]\nname = T\n[availability_zone z]\nhosts = x\n"
        "[account a]\nrate = 1\n[service s]\nin.nowhere = 127.0.0.1:1\n",
        findings);
    EXPECT_EQ(findings.all().size(), 4U) << findings.text();
}

TEST(difference, names_lines_that_came_and_went)
{
    EXPECT_EQ(difference("a\nb\nc\n", "a\nx\nc\n"), "- b\n+ x\n");
    EXPECT_EQ(difference("", "a\n"), "+ a\n");
    EXPECT_EQ(difference("a\n", "a\n"), "");
}

RC_GTEST_PROP(questionnaire, survives_any_text, (const std::string& text))
{
    core::finding_list findings;
    parse_answers("a.ini", text, findings);
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
    // 60 bad of 200 are six times what 5% allows.
    EXPECT_NEAR(
        report["rows"][0]["windows"]["1h"]["burn"].get<double>(), 6, 0.01);
    EXPECT_EQ(report["rows"][0]["alarm"], "ticket");
    EXPECT_NE(burn_text(report).find("ticket"), std::string::npos);
    EXPECT_NE(burn_html(report).find("r&lt;"), std::string::npos);
    EXPECT_NE(burn_html(report).find("<svg"), std::string::npos);
}

} // namespace poplarroute::main::ctl
