#include "policy/prefix_index.hpp"

#include <algorithm>

namespace poplarroute::policy
{

void prefix_index::added(
    const core::endpoint_id& endpoint, std::uint64_t prefix)
{
    const entry new_entry{endpoint, prefix};
    if (!entries_.insert(new_entry).second)
    {
        return;
    }
    insertion_order_.push_back(new_entry);
    while (insertion_order_.size() > max_entries_)
    {
        entries_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

void prefix_index::evicted(
    const core::endpoint_id& endpoint, std::uint64_t prefix)
{
    const entry evicted_entry{endpoint, prefix};
    if (entries_.erase(evicted_entry) != 0)
    {
        std::erase(insertion_order_, evicted_entry);
    }
}

void prefix_index::forget(const core::endpoint_id& endpoint)
{
    const auto belongs_to_endpoint = [&](const entry& candidate)
    {
        return candidate.first == endpoint;
    };
    std::erase_if(entries_, belongs_to_endpoint);
    std::erase_if(insertion_order_, belongs_to_endpoint);
}

bool prefix_index::holds(
    const core::endpoint_id& endpoint, std::uint64_t prefix) const
{
    return entries_.count({endpoint, prefix}) != 0;
}

} // namespace poplarroute::policy
