#pragma once

#include <cstdint>

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Kinds of calls that hosts make to the leader, in the order in which they are
/// dropped.
enum class call_kind
{
    part,       ///< Of a document; other members have it, too.
    settlement, ///< Repeated by the host with its next one.
    watch,      ///< Carries withdrawals.
};

/// Bounds the work that hosts cause at the leader.
///
/// Load: all hosts at once, after a restart of all, or hosts that repeat calls.
/// All kinds draw on one budget. A kind that matters less is dropped while a
/// part of the budget is left for those that matter more.
class call_bounds
{
public:
    /// \param rate budget per second, in small calls.
    void set_rate(std::int64_t rate);

    /// \return whether a call is to be answered; else it is dropped.
    bool admit(call_kind kind, core::time_point now);

private:
    double rate_ = 0; ///< 0: not bounded.
    double level_ = 0;
    core::time_point filled_at_;
};

/// \return the name of a kind, for logs and metrics.
const char* name_of(call_kind kind);

} // namespace poplarroute::policy
