#pragma once

#include <cstddef>

namespace poplarroute::core
{

/// Counts a thing for as long as it lives.
class counted
{
public:
    explicit counted(std::size_t& count) : count_(count)
    {
        ++count_;
    }

    ~counted()
    {
        --count_;
    }

    counted(const counted&) = delete;
    counted& operator=(const counted&) = delete;

private:
    std::size_t& count_;
};

} // namespace poplarroute::core
