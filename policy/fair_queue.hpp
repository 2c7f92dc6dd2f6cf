#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "policy/pool_types.hpp"

namespace poplarroute::policy
{

/// Requests that wait at an owner, in an order that is fair in tokens.
///
/// Interactive requests go first; a batch request that has waited long counts
/// as interactive. Within a level the account that was served least goes
/// first, by its weight.
/// Source: start-time fair queueing, P. Goyal, H. Vin, H. Cheng (1996).
class fair_queue
{
public:
    void push(want item);

    /// \return whether the attempt was waiting; it no longer is.
    bool remove(const core::attempt_id& attempt);

    /// Takes the first request, in fair order, that can be placed.
    /// \param can_place asked once per account and level.
    /// \param now decides what has waited long enough to hold back others.
    std::optional<want> take(
        const std::function<bool(const want&)>& can_place,
        core::time_point now);

    /// Takes every request for which the test holds.
    std::vector<want> take_all(const std::function<bool(const want&)>& test);

    /// \return requests that would be served before a new one of this kind.
    std::size_t ahead_of(const want& item) const;

    std::size_t size() const
    {
        return size_;
    }

    /// Notes what a request cost beyond or below its forecast.
    void correct(
        const core::account_id& account,
        std::int64_t weight,
        std::int64_t tokens);

private:
    struct line
    {
        std::deque<want> interactive_;
        std::deque<want> batch_;
    };

    struct head
    {
        std::int64_t level_ = 0;
        std::int64_t served_ = 0;
        core::account_id account_;
        const want* item_ = nullptr;
        std::deque<want>* from_ = nullptr;
    };

    std::vector<head> heads(core::time_point now);
    want take_head(const head& chosen);
    std::int64_t least_served() const;

    std::map<core::account_id, line> lines_;
    std::map<core::account_id, std::int64_t> served_;
    /// What the account served least had been served, among those that had
    /// something waiting: where an account that was idle begins.
    std::int64_t virtual_time_ = 0;
    std::size_t size_ = 0;
};

/// \return what a request costs its account in the fair order.
std::int64_t cost_of(const want& item);

} // namespace poplarroute::policy
