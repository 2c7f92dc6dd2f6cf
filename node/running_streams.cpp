#include "node/running_streams.hpp"

#include <utility>

namespace poplarroute::node
{

std::vector<placement_message> running_placements(
    const stream_section& section, core::time_point now)
{
    std::vector<placement_message> out;
    out.reserve(section.running_.size());
    for (const auto& [id, item] : section.running_)
    {
        placement_message message = item.placement_;
        message.age_ms_ = (now - item.placed_at_).ms_;
        out.push_back(std::move(message));
    }
    return out;
}

} // namespace poplarroute::node
