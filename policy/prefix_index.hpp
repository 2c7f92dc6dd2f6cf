#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "core/ids.hpp"

namespace poplarroute::policy
{

/// Which engines are thought to hold the prefill of a prompt's beginning.
///
/// It follows cache events that come late and with gaps, so it is a hint: a
/// wrong one costs a prefill, never an answer.
class prefix_index
{
public:
    void added(const core::endpoint_id& endpoint, std::uint64_t prefix);
    void evicted(const core::endpoint_id& endpoint, std::uint64_t prefix);

    /// Forgets an engine: it restarted, or events of it were missed.
    void forget(const core::endpoint_id& endpoint);

    bool holds(const core::endpoint_id& endpoint, std::uint64_t prefix) const;

    std::size_t size() const
    {
        return order_.size();
    }

private:
    static constexpr std::size_t most_ = 16'384;

    using item = std::pair<core::endpoint_id, std::uint64_t>;

    std::set<item> known_;
    std::deque<item> order_;
};

} // namespace poplarroute::policy
