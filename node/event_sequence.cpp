#include "node/event_sequence.hpp"

#include <algorithm>
#include <limits>

namespace poplarroute::node
{

event_sequence::position event_sequence::add(
    std::optional<std::int64_t> id, bool has_data)
{
    const bool joins = is_first_of_run_ && has_events_;
    if (!id)
    {
        if (joins && has_data)
        {
            return position::gap;
        }
        has_unnumbered_ = has_unnumbered_ || has_data;
        return position::next;
    }
    if (last_ && *id <= *last_)
    {
        return position::duplicate;
    }
    // The difference of two 64-bit integers may not fit into one.
    const std::uint64_t distance = last_
                                       ? static_cast<std::uint64_t>(*id) -
                                             static_cast<std::uint64_t>(*last_)
                                       : 0;
    const auto largest =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto step =
        static_cast<std::int64_t>(std::min<std::uint64_t>(distance, largest));
    if (joins)
    {
        // The last event of a stream may count less than the others.
        if (!is_irregular_ && step_ && step > *step_)
        {
            return position::gap;
        }
    }
    else if (has_events_)
    {
        is_irregular_ = is_irregular_ || (has_steps_ && step != *step_);
        has_steps_ = true;
        step_ = step;
    }
    else
    {
        // Until there is a second event, as the first one counts.
        step_ = last_ ? step : std::max<std::int64_t>(*id, 1);
    }
    is_first_of_run_ = false;
    has_events_ = true;
    last_ = id;
    return position::next;
}

} // namespace poplarroute::node
