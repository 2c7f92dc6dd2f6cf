#pragma once

#include <cstddef>

namespace poplarroute::core
{

/// Increments a counter for the lifetime of the object.
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
