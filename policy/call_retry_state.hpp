#pragma once

#include "core/clock.hpp"

namespace poplarroute::policy
{

/// Result of one send of a call.
enum class send_result
{
    answered,     ///< There is an answer for the caller.
    not_run,      ///< The endpoint states that it did not run the call.
    nothing_sent, ///< No byte of the call can have reached an endpoint.
    withheld,     ///< This host did not send it, so another endpoint may do.
    may_have_run, ///< The answer was lost, or belongs to another request.
};

/// Which retries a route allows for its calls.
struct call_retry_policy
{
    bool idempotent_ = false;
    int max_endpoints_ = 1; ///< Maximum number at which one call may run.
};

/// How a call without an answer ends.
enum class call_failure
{
    not_run,   ///< It has not run and never will: the caller may repeat it.
    lost,      ///< It may have run.
    timed_out, ///< It may have run, and its deadline has passed.
};

/// Retry state of one call: whether another send is allowed, and how the call
/// ends without an answer.
///
/// Load: endpoints that are full, unreachable or unresponsive while callers
/// wait with short deadlines. "Not run" is reported only when it is certain.
class call_retry_state
{
public:
    explicit call_retry_state(call_retry_policy allowed);

    /// Records the result of a send.
    void note(send_result result);

    /// \param time_left time until the caller's deadline.
    /// \return whether the call's own rules permit a retry. The fleet's retry
    /// allowance is checked separately, see needs_retry_allowance().
    bool may_retry(core::duration time_left) const;

    /// \return whether the next send draws on the fleet's retry allowance.
    bool needs_retry_allowance() const
    {
        return delivered_sends_ > 0;
    }

    /// \param time_left time until the caller's deadline.
    /// \return the time that the next send may take, so that another endpoint
    /// can still be tried.
    core::duration patience(core::duration time_left) const;

    /// \param time_left time until the caller's deadline.
    /// \return how the call ends without an answer.
    call_failure ending(core::duration time_left) const;

private:
    call_retry_policy policy_;
    send_result last_result_ = send_result::nothing_sent;
    int delivered_sends_ = 0; ///< Sends that may have reached an endpoint.
    int possible_runs_ = 0;   ///< Of these, those that may have run.
    int unsent_sends_ = 0;    ///< Sends that did not reach an endpoint.
    int rejected_sends_ = 0;  ///< Sends that an endpoint rejected.
};

} // namespace poplarroute::policy
