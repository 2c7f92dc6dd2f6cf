#include "policy/prefix_index.hpp"

#include <algorithm>

namespace poplarroute::policy
{

void prefix_index::added(
    const core::endpoint_id& endpoint, std::uint64_t prefix)
{
    const item fresh{endpoint, prefix};
    if (!known_.insert(fresh).second)
    {
        return;
    }
    order_.push_back(fresh);
    while (order_.size() > most_)
    {
        known_.erase(order_.front());
        order_.pop_front();
    }
}

void prefix_index::evicted(
    const core::endpoint_id& endpoint, std::uint64_t prefix)
{
    const item gone{endpoint, prefix};
    if (known_.erase(gone) != 0)
    {
        std::erase(order_, gone);
    }
}

void prefix_index::forget(const core::endpoint_id& endpoint)
{
    const auto is_its = [&](const item& entry)
    {
        return entry.first == endpoint;
    };
    std::erase_if(known_, is_its);
    std::erase_if(order_, is_its);
}

bool prefix_index::holds(
    const core::endpoint_id& endpoint, std::uint64_t prefix) const
{
    return known_.count({endpoint, prefix}) != 0;
}

} // namespace poplarroute::policy
