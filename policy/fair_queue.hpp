#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "policy/pool_types.hpp"

namespace poplarroute::policy
{

/// Requests that wait at a pool's owner, in an order that is fair in tokens.
///
/// Interactive requests go first; a batch request that has waited long counts
/// as interactive. Within a priority level, the account goes first that was
/// served least in proportion to its weight.
/// Source: start-time fair queueing, P. Goyal, H. Vin, H. Cheng (1996).
class fair_queue
{
public:
    void push(pool_request request);

    /// Removes an attempt's request.
    /// \return whether it was waiting.
    bool remove(const core::attempt_id& attempt);

    /// Takes the first request, in fair order, that can be placed.
    /// \param can_place called at most once per account and priority level.
    /// \param now decides which requests have waited so long that no other may
    /// overtake them.
    std::optional<pool_request> take(
        const std::function<bool(const pool_request&)>& can_place,
        core::time_point now);

    /// Takes all requests that match.
    std::vector<pool_request> take_all(
        const std::function<bool(const pool_request&)>& matches);

    /// \return number of waiting requests that would be served before a new
    /// request like this one.
    std::size_t count_ahead_of(const pool_request& request) const;

    std::size_t size() const
    {
        return size_;
    }

    /// Corrects an account's served amount after a request.
    /// \param tokens generated tokens above or, if negative, below those that
    /// were counted when the request was taken.
    void adjust_served(
        const core::account_id& account,
        std::int64_t weight,
        std::int64_t tokens);

private:
    /// The waiting requests of one account.
    struct account_queue
    {
        std::deque<pool_request> interactive_;
        std::deque<pool_request> batch_;
    };

    /// The first request of an account's interactive or batch queue.
    struct queue_head
    {
        std::int64_t level_ = 0;  ///< Priority level; 0 goes first.
        std::int64_t served_ = 0; ///< Served amount of its account.
        core::account_id account_;
        const pool_request* request_ = nullptr;
        std::deque<pool_request>* queue_ = nullptr;
    };

    std::vector<queue_head> queue_heads(core::time_point now);
    pool_request take_head(const queue_head& chosen);
    std::int64_t min_served() const;

    std::map<core::account_id, account_queue> queues_;
    std::map<core::account_id, std::int64_t>
        served_; ///< In units of fair_cost().
    /// Minimum served amount of the accounts that had waiting requests when
    /// take() last removed one; an account that was idle starts from it.
    std::int64_t virtual_time_ = 0;
    std::size_t size_ = 0;
};

/// \return a request's cost in the fair order: its prompt and output tokens,
/// expressed in output tokens and divided by its account's weight.
std::int64_t fair_cost(const pool_request& request);

} // namespace poplarroute::policy
