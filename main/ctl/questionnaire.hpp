#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/finding.hpp"

namespace poplarroute::main::ctl
{

/// An availability zone and its hosts.
struct zone_answer
{
    std::string name_;
    std::vector<std::string> hosts_; ///< "name@ip:port".
};

/// A client account and its token limits.
struct account_answer
{
    std::string name_;
    std::string rate_;
    std::string burst_;
    std::string weight_ = "1";
};

/// A service with its endpoints and the calls to it.
struct service_answer
{
    std::string name_;
    bool is_model_ = true; ///< Whether its endpoints are model engines.
    std::string capacity_; ///< Memory pieces of an engine, or concurrent calls.
    bool is_interactive_ = true;
    std::map<std::string, std::vector<std::string>> endpoints_; ///< By zone.
    /// Paths of calls that run at most once.
    std::vector<std::string> change_paths_;
    /// Paths of calls that only read.
    std::vector<std::string> read_paths_;
    /// Whether read_paths_ need no API key.
    bool open_read_paths_ = false;
};

/// All answers to the questionnaire.
struct questionnaire_answers
{
    std::string organisation_;
    std::string region_;
    std::vector<zone_answer> zones_;
    std::vector<account_answer> accounts_;
    std::vector<service_answer> services_;
};

/// Parses the text of an answers file.
/// \param file name of the file for findings.
/// \param findings receives each problem.
questionnaire_answers parse_questionnaire_answers(
    std::string_view file, std::string_view text, core::finding_list& findings);

/// Asks the questions one by one and reads an answer to each.
questionnaire_answers prompt_for_answers(std::istream& in, std::ostream& out);

/// \return the configuration for the answers, as the text of an INI file.
std::string generate_configuration(const questionnaire_answers& answers);

/// \return the lines that were removed, marked "-", and added, marked "+".
std::string diff_lines(std::string_view before, std::string_view after);

} // namespace poplarroute::main::ctl
