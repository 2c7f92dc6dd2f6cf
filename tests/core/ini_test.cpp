#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/ini.hpp"

namespace poplarroute::core
{

TEST(ini, knows_the_line_of_every_entry)
{
    finding_list findings;
    const ini_document document = parse_ini(
        "f", "# note\n[host a]\n\nname = x\npeer=1.2.3.4:5\n", findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    ASSERT_EQ(document.sections_.size(), 1U);
    EXPECT_EQ(document.sections_[0].title(), "host a");
    ASSERT_EQ(document.sections_[0].entries_.size(), 2U);
    EXPECT_EQ(document.sections_[0].entries_[1].line_, 5);
    EXPECT_EQ(document.sections_[0].entries_[1].value_, "1.2.3.4:5");
}

TEST(ini, reports_every_bad_line_together)
{
    finding_list findings;
    parse_ini("f", "stray = 1\n[a]\nno equals here\nx = 1\nx = 2\n", findings);
    ASSERT_EQ(findings.all().size(), 3U) << findings.text();
    EXPECT_EQ(findings.all()[0].place_.line_, 1);
    EXPECT_EQ(findings.all()[1].place_.line_, 3);
    EXPECT_EQ(findings.all()[2].place_.line_, 5);
}

TEST(ini, keeps_equal_sections_with_equal_names_apart)
{
    finding_list findings;
    const ini_document document =
        parse_ini("f", "[a]\nx = 1\n[a]\nx = 2\n", findings);
    EXPECT_TRUE(findings.empty()) << findings.text();
    EXPECT_EQ(document.sections_.size(), 2U);
}

TEST(section_reader, findings_state_the_remedy)
{
    finding_list findings;
    const ini_document document =
        parse_ini("f", "[a]\nn = 12x\nc = red\nodd = 1\n", findings);
    section_reader reader(document, document.sections_[0], findings);
    EXPECT_EQ(reader.number("n", 1, 9, 4), 4);
    EXPECT_EQ(reader.choice("c", {"blue"}, "blue"), "blue");
    EXPECT_EQ(reader.required("missing"), "");
    reader.report_unknown_keys();
    ASSERT_EQ(findings.all().size(), 4U) << findings.text();
    EXPECT_EQ(findings.all()[0].place_.line_, 2);
    EXPECT_NE(findings.all()[0].remedy_.find("1 to 9"), std::string::npos);
    EXPECT_EQ(findings.all()[3].place_.key_, "odd");
}

TEST(address, takes_ip_numbers_with_a_port_only)
{
    EXPECT_TRUE(is_address("127.0.0.1:7100"));
    EXPECT_FALSE(is_address("127.0.0.1:0"));
    EXPECT_FALSE(is_address("127.0.0.1:70000"));
    EXPECT_FALSE(is_address("localhost:7100"));
    EXPECT_FALSE(is_address("127.0.0.1"));
}

RC_GTEST_PROP(ini, survives_any_text, (const std::string& text))
{
    finding_list findings;
    const ini_document document = parse_ini("f", text, findings);
    for (const ini_section& section : document.sections_)
    {
        RC_ASSERT(section.line_ >= 1);
    }
}

TEST(ini, joins_what_it_splits)
{
    const std::vector<std::string> items{"a", "b c", "d"};
    EXPECT_EQ(join_list(items, ','), "a,b c,d");
    EXPECT_EQ(split_list(join_list(items, ','), ','), items);
    EXPECT_EQ(join_list({}, ','), "");
}

} // namespace poplarroute::core
