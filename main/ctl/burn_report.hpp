#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarroute::main::ctl
{

/// Adds up the hosts' rows into one service-level burn report.
///
/// Burn is the part of bad requests over the part that the objective allows:
/// at 1 the allowance is used up exactly by the end of its period, at 14 in
/// an hour or so.
/// Source: B. Beyer et al., "The Site Reliability Workbook" (2018), ch. 5.
/// \param hosts each host's rows.
/// \param objective the part of requests that must be good, in thousandths.
nlohmann::json make_burn_report(
    const std::vector<nlohmann::json>& hosts, int objective);

/// \return the report as a table.
std::string burn_text(const nlohmann::json& report);

/// \return the report as a page of its own, with plots.
std::string burn_html(const nlohmann::json& report);

} // namespace poplarroute::main::ctl
