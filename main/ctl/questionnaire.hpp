#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/finding.hpp"

namespace poplarroute::main::ctl
{

struct zone_answer
{
    std::string name_;
    std::vector<std::string> hosts_; ///< "name@ip:port".
};

struct account_answer
{
    std::string name_;
    std::string rate_;
    std::string burst_;
    std::string weight_ = "1";
};

struct service_answer
{
    std::string name_;
    bool model_ = true;
    std::string capacity_; ///< Memory pieces of an engine, or calls at once.
    bool interactive_ = true;
    std::map<std::string, std::vector<std::string>> endpoints_; ///< By zone.
    std::vector<std::string> changes_; ///< Paths whose calls may run once.
    std::vector<std::string> reads_;   ///< Paths that only look.
    bool open_reads_ = false;
};

/// The questionnaire's answers.
struct team_answers
{
    std::string organisation_;
    std::string region_;
    std::vector<zone_answer> zones_;
    std::vector<account_answer> accounts_;
    std::vector<service_answer> services_;
};

/// Reads answers from a file's text.
/// \param findings receives everything that is wrong.
team_answers parse_answers(
    std::string_view file, std::string_view text, core::finding_list& findings);

/// Asks the questions one by one.
team_answers ask_answers(std::istream& in, std::ostream& out);

/// \return the configuration that follows from the answers.
std::string generate_configuration(const team_answers& answers);

/// \return lines that differ, marked "-" and "+".
std::string difference(std::string_view before, std::string_view after);

} // namespace poplarroute::main::ctl
