#include "policy/fair_queue.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace poplarroute::policy
{

namespace
{

/// A prompt token costs an engine far less than a generated token.
constexpr std::int64_t prompt_tokens_per_output_token = 32;

/// After this wait, no other request may overtake one that does not fit yet.
constexpr core::duration no_overtaking_after{1'000};

/// A batch request counts as interactive after the time from its arrival to its
/// first-token deadline, divided by this number.
constexpr std::int64_t aging_divisor = 2;

bool has_aged(const pool_request& request, core::time_point now)
{
    const core::duration span =
        request.first_token_deadline_ - request.arrived_;
    return (now - request.arrived_).ms_ > span.ms_ / aging_divisor;
}

} // namespace

std::int64_t fair_cost(const pool_request& request)
{
    const std::int64_t tokens =
        request.output_tokens_ +
        request.prompt_tokens_ / prompt_tokens_per_output_token;
    return std::max<std::int64_t>(
        tokens / std::max<std::int64_t>(request.weight_, 1), 1);
}

void fair_queue::push(pool_request request)
{
    account_queue& queue = queues_[request.account_];
    const bool idle = queue.interactive_.empty() && queue.batch_.empty();
    std::int64_t& served = served_[request.account_];
    if (idle)
    {
        // An idle account does not accumulate credit.
        served = std::max(served, virtual_time_);
    }
    auto& priority_queue =
        request.interactive_ ? queue.interactive_ : queue.batch_;
    priority_queue.push_back(std::move(request));
    ++size_;
}

bool fair_queue::remove(const core::attempt_id& attempt)
{
    const auto taken = take_all(
        [&](const pool_request& request)
        {
            return request.attempt_ == attempt;
        });
    return !taken.empty();
}

std::vector<fair_queue::queue_head> fair_queue::queue_heads(
    core::time_point now)
{
    std::vector<queue_head> out;
    for (auto& [account, queue] : queues_)
    {
        const std::int64_t served = served_[account];
        if (!queue.interactive_.empty())
        {
            out.push_back(
                {0,
                 served,
                 account,
                 &queue.interactive_.front(),
                 &queue.interactive_});
        }
        if (!queue.batch_.empty())
        {
            const std::int64_t level =
                has_aged(queue.batch_.front(), now) ? 0 : 1;
            out.push_back(
                {level, served, account, &queue.batch_.front(), &queue.batch_});
        }
    }
    std::sort(
        out.begin(),
        out.end(),
        [](const queue_head& left, const queue_head& right)
        {
            return std::tie(left.level_, left.served_, left.account_) <
                   std::tie(right.level_, right.served_, right.account_);
        });
    return out;
}

std::int64_t fair_queue::min_served() const
{
    std::int64_t result = std::numeric_limits<std::int64_t>::max();
    for (const auto& [account, queue] : queues_)
    {
        if (!queue.interactive_.empty() || !queue.batch_.empty())
        {
            result = std::min(result, served_.at(account));
        }
    }
    return result;
}

pool_request fair_queue::take_head(const queue_head& chosen)
{
    virtual_time_ = std::max(virtual_time_, min_served());
    pool_request request = std::move(chosen.queue_->front());
    chosen.queue_->pop_front();
    --size_;
    served_[chosen.account_] += fair_cost(request);
    return request;
}

std::optional<pool_request> fair_queue::take(
    const std::function<bool(const pool_request&)>& can_place,
    core::time_point now)
{
    for (const queue_head& candidate : queue_heads(now))
    {
        if (can_place(*candidate.request_))
        {
            return take_head(candidate);
        }
        if (now - candidate.request_->arrived_ > no_overtaking_after)
        {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::vector<pool_request> fair_queue::take_all(
    const std::function<bool(const pool_request&)>& matches)
{
    std::vector<pool_request> out;
    const auto extract_matching = [&](std::deque<pool_request>& requests)
    {
        std::deque<pool_request> kept;
        for (pool_request& request : requests)
        {
            auto& into =
                matches(request) ? out.emplace_back() : kept.emplace_back();
            into = std::move(request);
        }
        requests = std::move(kept);
    };
    for (auto& [account, queue] : queues_)
    {
        extract_matching(queue.interactive_);
        extract_matching(queue.batch_);
    }
    size_ -= out.size();
    return out;
}

std::size_t fair_queue::count_ahead_of(const pool_request& request) const
{
    std::size_t count = 0;
    const auto served_of = [&](const core::account_id& account)
    {
        const auto found = served_.find(account);
        return std::max(
            found == served_.end() ? 0 : found->second, virtual_time_);
    };
    const std::int64_t own = served_of(request.account_);
    for (const auto& [account, queue] : queues_)
    {
        const std::size_t waiting =
            queue.interactive_.size() +
            (request.interactive_ ? 0 : queue.batch_.size());
        if (account == request.account_)
        {
            count += waiting;
            continue;
        }
        // Another account's requests go first until it has been served as much
        // as this account will have been, including this request.
        std::int64_t cost_budget = own - served_of(account);
        const auto own_queue = queues_.find(request.account_);
        if (own_queue != queues_.end())
        {
            for (const pool_request& before : own_queue->second.interactive_)
            {
                cost_budget += fair_cost(before);
            }
        }
        cost_budget += fair_cost(request);
        for (const pool_request& other : queue.interactive_)
        {
            if (cost_budget <= 0)
            {
                break;
            }
            cost_budget -= fair_cost(other);
            ++count;
        }
        if (!request.interactive_)
        {
            for (const pool_request& other : queue.batch_)
            {
                if (cost_budget <= 0)
                {
                    break;
                }
                cost_budget -= fair_cost(other);
                ++count;
            }
        }
    }
    return count;
}

void fair_queue::adjust_served(
    const core::account_id& account, std::int64_t weight, std::int64_t tokens)
{
    const auto found = served_.find(account);
    if (found != served_.end())
    {
        found->second += tokens / std::max<std::int64_t>(weight, 1);
    }
}

} // namespace poplarroute::policy
