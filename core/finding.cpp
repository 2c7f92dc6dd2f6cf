#include "core/finding.hpp"

#include <utility>

namespace poplarroute::core
{

void finding_list::add(place where, std::string problem, std::string remedy)
{
    findings_.push_back(
        {std::move(where), std::move(problem), std::move(remedy)});
}

void finding_list::append(const finding_list& other)
{
    findings_.insert(
        findings_.end(), other.findings_.begin(), other.findings_.end());
}

bool finding_list::empty() const
{
    return findings_.empty();
}

const std::vector<finding>& finding_list::all() const
{
    return findings_;
}

std::string finding_list::text() const
{
    std::string out;
    for (const finding& item : findings_)
    {
        const place& where = item.place_;
        out += where.file_ + ":" + std::to_string(where.line_) + ": ";
        if (!where.section_.empty())
        {
            out += "[" + where.section_ + "] ";
        }
        if (!where.key_.empty())
        {
            out += where.key_ + ": ";
        }
        out += item.problem_ + " (" + item.remedy_ + ")\n";
    }
    return out;
}

} // namespace poplarroute::core
