#include "policy/call_retry_state.hpp"

namespace poplarroute::policy
{

namespace
{

/// Minimum remaining time that is worth another send.
constexpr core::duration min_time_left{10};

/// Maximum numbers of sends that do not reach an endpoint, and that are
/// rejected by one.
constexpr int max_unsent_sends = 4;
constexpr int max_rejected_sends = 3;

/// While another endpoint can still be tried, a send may take the remaining
/// time divided by this.
constexpr std::int64_t send_time_divisor = 2;

} // namespace

call_retry_state::call_retry_state(call_retry_policy allowed) : policy_(allowed)
{
}

void call_retry_state::note(send_result result)
{
    last_result_ = result;
    const bool is_sent =
        result != send_result::nothing_sent && result != send_result::withheld;
    delivered_sends_ += is_sent ? 1 : 0;
    possible_runs_ += result == send_result::may_have_run ? 1 : 0;
    unsent_sends_ += result == send_result::nothing_sent ? 1 : 0;
    rejected_sends_ += result == send_result::not_run ? 1 : 0;
}

bool call_retry_state::may_retry(core::duration time_left) const
{
    if (last_result_ == send_result::answered || time_left <= min_time_left)
    {
        return false;
    }
    if (possible_runs_ > 0 &&
        (!policy_.idempotent_ || possible_runs_ >= policy_.max_endpoints_))
    {
        return false;
    }
    return unsent_sends_ < max_unsent_sends &&
           rejected_sends_ < max_rejected_sends;
}

core::duration call_retry_state::patience(core::duration time_left) const
{
    const bool may_retry_elsewhere =
        policy_.idempotent_ && policy_.max_endpoints_ > 1 &&
        possible_runs_ + 1 < policy_.max_endpoints_;
    return may_retry_elsewhere
               ? core::duration{time_left.ms_ / send_time_divisor}
               : time_left;
}

call_failure call_retry_state::ending(core::duration time_left) const
{
    if (possible_runs_ == 0)
    {
        return call_failure::not_run;
    }
    return time_left <= min_time_left ? call_failure::timed_out
                                      : call_failure::lost;
}

} // namespace poplarroute::policy
