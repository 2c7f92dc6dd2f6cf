#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace poplarroute::core
{

/// Position in an operator's file.
struct place
{
    std::string file_;
    int line_ = 0;
    std::string section_;
    std::string key_;
};

/// A problem in a file and how to correct it.
struct finding
{
    place place_;
    std::string problem_;
    std::string remedy_;
};

/// Collects findings, so that all of them are reported together.
class finding_list
{
public:
    void add(place where, std::string problem, std::string remedy);
    void append(const finding_list& other);
    bool empty() const;
    const std::vector<finding>& all() const;

    /// \return one line per finding: "file:line: [section] key: problem
    /// (remedy)".
    std::string text() const;

private:
    std::vector<finding> findings_;
};

} // namespace poplarroute::core
