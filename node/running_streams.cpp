#include "node/running_streams.hpp"

#include <utility>

namespace poplarroute::node
{

std::vector<place_message> running_places(
    const stream_section& section, core::time_point now)
{
    std::vector<place_message> out;
    out.reserve(section.running_.size());
    for (const auto& [id, item] : section.running_)
    {
        place_message told = item.place_;
        told.age_ms_ = (now - item.placed_at_).ms_;
        out.push_back(std::move(told));
    }
    return out;
}

} // namespace poplarroute::node
