#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace poplarroute::main::ctl
{

/// Sums the hosts' request counts into one report of error-budget burn rates,
/// with a row for each account and route.
///
/// The burn rate is the fraction of bad requests divided by the fraction that
/// the objective allows: at 1 the error budget is used up exactly by the end of
/// its period, at 14 in an hour or so.
/// Source: B. Beyer et al., "The Site Reliability Workbook" (2018), ch. 5.
/// \param hosts rows of each host, as "operator.burn" answers them.
/// \param objective_per_mille number of requests in a thousand that must be
/// good.
nlohmann::json make_burn_report(
    const std::vector<nlohmann::json>& hosts, int objective_per_mille);

/// \return the report as a text table.
std::string format_burn_report(const nlohmann::json& report);

/// \return the report as a complete HTML page with charts.
std::string format_burn_report_html(const nlohmann::json& report);

} // namespace poplarroute::main::ctl
