#include "policy/call_retry_state.hpp"

namespace poplarroute::policy
{

namespace
{

/// Less time than this is not worth a send.
constexpr core::duration least_left{10};

/// Endpoints tried that could not be reached, or rejected the call.
constexpr int most_unsent = 4;
constexpr int most_rejected = 3;

/// The first of several possible sends may take this part of the time left.
constexpr std::int64_t first_send_part = 2;

} // namespace

call_retry_state::call_retry_state(call_retry_policy rules) : rules_(rules) {}

void call_retry_state::note(send_result verdict)
{
    last_ = verdict;
    arrivals_ += verdict == send_result::nothing_sent ? 0 : 1;
    maybe_runs_ += verdict == send_result::may_have_run ? 1 : 0;
    unsent_ += verdict == send_result::nothing_sent ? 1 : 0;
    rejected_ += verdict == send_result::not_run ? 1 : 0;
}

bool call_retry_state::may_retry(core::duration left) const
{
    if (last_ == send_result::answered || left <= least_left)
    {
        return false;
    }
    if (maybe_runs_ > 0 &&
        (!rules_.idempotent_ || maybe_runs_ >= rules_.most_endpoints_))
    {
        return false;
    }
    return unsent_ < most_unsent && rejected_ < most_rejected;
}

core::duration call_retry_state::patience(core::duration left) const
{
    const bool another = rules_.idempotent_ && rules_.most_endpoints_ > 1 &&
                         maybe_runs_ + 1 < rules_.most_endpoints_;
    return another ? core::duration{left.ms_ / first_send_part} : left;
}

call_failure call_retry_state::ending(core::duration left) const
{
    if (maybe_runs_ == 0)
    {
        return call_failure::not_run;
    }
    return left <= least_left ? call_failure::timed_out : call_failure::lost;
}

} // namespace poplarroute::policy
