#pragma once

#include <cstdint>
#include <optional>

namespace poplarroute::node
{

/// The ids of the events that a caller has got, for a stream that may go on at
/// another engine. Ids increase, usually by the same step.
class event_sequence
{
public:
    /// How an event relates to those before it.
    enum class position
    {
        next,
        duplicate, ///< The caller has it.
        gap,       ///< Events before it are missing.
    };

    /// \param resume_after id of the last event that the caller has from
    /// earlier responses; nothing: none.
    explicit event_sequence(std::optional<std::int64_t> resume_after)
        : last_(resume_after)
    {
    }

    /// Says that the following events come from another engine.
    void begin_run()
    {
        is_first_of_run_ = true;
    }

    /// Adds an event, unless it is a duplicate or follows a gap.
    /// \param id nothing for an event without a numeric id.
    /// \param has_data whether callers take notice of the event.
    position add(std::optional<std::int64_t> id, bool has_data);

    /// \return the id after which an engine has to go on; nothing: from the
    /// beginning.
    std::optional<std::int64_t> last() const
    {
        return last_;
    }

    /// \return whether another engine can go on after the events so far.
    bool is_resumable() const
    {
        return !has_unnumbered_;
    }

private:
    std::optional<std::int64_t> last_;
    std::optional<std::int64_t> step_; ///< Between ids of one engine.
    bool is_first_of_run_ = false;
    bool has_events_ = false;
    bool has_steps_ = false;    ///< Whether step_ was seen between two events.
    bool is_irregular_ = false; ///< The steps differ.
    bool has_unnumbered_ = false;
};

} // namespace poplarroute::node
