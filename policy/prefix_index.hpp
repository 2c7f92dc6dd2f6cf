#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Index of the prompt prefixes that engines have in their prefix cache.
///
/// It follows cache events that arrive late and incompletely, so an entry is
/// only a hint: a wrong one costs a repeated prefill and does not change a
/// response. Prefixes are identified by their hash.
class prefix_index
{
public:
    /// Handles an engine's event that a prefix was added to its cache.
    void added(const core::endpoint_id& endpoint, std::uint64_t prefix);

    /// Handles an engine's event that a prefix was evicted from its cache.
    void evicted(const core::endpoint_id& endpoint, std::uint64_t prefix);

    /// Removes all entries of an engine, after a restart or missed events.
    void forget(const core::endpoint_id& endpoint);

    /// \return whether the engine probably has the prefix in its cache.
    bool holds(const core::endpoint_id& endpoint, std::uint64_t prefix) const;

    std::size_t size() const
    {
        return insertion_order_.size();
    }

private:
    /// Beyond this number, the oldest entries are removed.
    static constexpr std::size_t max_entries_ = 16'384;

    using entry = std::pair<core::endpoint_id, std::uint64_t>;

    std::set<entry> entries_;
    std::deque<entry> insertion_order_; ///< Oldest entry first.
};

} // namespace poplarroute::policy
