#include "policy/fair_queue.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace poplarroute::policy
{

namespace
{

/// A prompt token costs an engine far less than a generated one.
constexpr std::int64_t prompt_tokens_per_output_token = 32;

/// From this wait on nobody may overtake a request that does not fit yet.
constexpr core::duration hold_back_after{1'000};

/// A batch request counts as interactive after this part of its time.
constexpr std::int64_t aged_divisor = 2;

bool is_aged(const want& item, core::time_point now)
{
    const core::duration span = item.first_token_due_ - item.arrived_;
    return (now - item.arrived_).ms_ > span.ms_ / aged_divisor;
}

} // namespace

std::int64_t cost_of(const want& item)
{
    const std::int64_t tokens =
        item.output_tokens_ +
        item.prompt_tokens_ / prompt_tokens_per_output_token;
    return std::max<std::int64_t>(
        tokens / std::max<std::int64_t>(item.weight_, 1), 1);
}

void fair_queue::push(want item)
{
    line& of = lines_[item.account_];
    const bool idle = of.interactive_.empty() && of.batch_.empty();
    std::int64_t& served = served_[item.account_];
    if (idle)
    {
        // An account that was idle has saved nothing up.
        served = std::max(served, virtual_time_);
    }
    auto& into = item.interactive_ ? of.interactive_ : of.batch_;
    into.push_back(std::move(item));
    ++size_;
}

bool fair_queue::remove(const core::attempt_id& attempt)
{
    const auto taken = take_all(
        [&](const want& item)
        {
            return item.attempt_ == attempt;
        });
    return !taken.empty();
}

std::vector<fair_queue::head> fair_queue::heads(core::time_point now)
{
    std::vector<head> out;
    for (auto& [account, of] : lines_)
    {
        const std::int64_t served = served_[account];
        if (!of.interactive_.empty())
        {
            out.push_back(
                {0,
                 served,
                 account,
                 &of.interactive_.front(),
                 &of.interactive_});
        }
        if (!of.batch_.empty())
        {
            const std::int64_t level = is_aged(of.batch_.front(), now) ? 0 : 1;
            out.push_back(
                {level, served, account, &of.batch_.front(), &of.batch_});
        }
    }
    std::sort(
        out.begin(),
        out.end(),
        [](const head& left, const head& right)
        {
            return std::tie(left.level_, left.served_, left.account_) <
                   std::tie(right.level_, right.served_, right.account_);
        });
    return out;
}

std::int64_t fair_queue::least_served() const
{
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto& [account, of] : lines_)
    {
        if (!of.interactive_.empty() || !of.batch_.empty())
        {
            least = std::min(least, served_.at(account));
        }
    }
    return least;
}

want fair_queue::take_head(const head& chosen)
{
    virtual_time_ = std::max(virtual_time_, least_served());
    want item = std::move(chosen.from_->front());
    chosen.from_->pop_front();
    --size_;
    served_[chosen.account_] += cost_of(item);
    return item;
}

std::optional<want> fair_queue::take(
    const std::function<bool(const want&)>& can_place, core::time_point now)
{
    for (const head& candidate : heads(now))
    {
        if (can_place(*candidate.item_))
        {
            return take_head(candidate);
        }
        if (now - candidate.item_->arrived_ > hold_back_after)
        {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::vector<want> fair_queue::take_all(
    const std::function<bool(const want&)>& test)
{
    std::vector<want> out;
    const auto sift = [&](std::deque<want>& from)
    {
        std::deque<want> kept;
        for (want& item : from)
        {
            auto& into = test(item) ? out.emplace_back() : kept.emplace_back();
            into = std::move(item);
        }
        from = std::move(kept);
    };
    for (auto& [account, of] : lines_)
    {
        sift(of.interactive_);
        sift(of.batch_);
    }
    size_ -= out.size();
    return out;
}

std::size_t fair_queue::ahead_of(const want& item) const
{
    std::size_t count = 0;
    const auto served_of = [&](const core::account_id& account)
    {
        const auto found = served_.find(account);
        return std::max(
            found == served_.end() ? 0 : found->second, virtual_time_);
    };
    const std::int64_t own = served_of(item.account_);
    for (const auto& [account, of] : lines_)
    {
        const std::size_t waiting =
            of.interactive_.size() + (item.interactive_ ? 0 : of.batch_.size());
        if (account == item.account_)
        {
            count += waiting;
            continue;
        }
        // Of another account only so many as cost what the own queue costs.
        std::int64_t room = own - served_of(account);
        const auto own_line = lines_.find(item.account_);
        if (own_line != lines_.end())
        {
            for (const want& before : own_line->second.interactive_)
            {
                room += cost_of(before);
            }
        }
        room += cost_of(item);
        for (const want& other : of.interactive_)
        {
            if (room <= 0)
            {
                break;
            }
            room -= cost_of(other);
            ++count;
        }
        if (!item.interactive_)
        {
            for (const want& other : of.batch_)
            {
                if (room <= 0)
                {
                    break;
                }
                room -= cost_of(other);
                ++count;
            }
        }
    }
    return count;
}

void fair_queue::correct(
    const core::account_id& account, std::int64_t weight, std::int64_t tokens)
{
    const auto found = served_.find(account);
    if (found != served_.end())
    {
        found->second += tokens / std::max<std::int64_t>(weight, 1);
    }
}

} // namespace poplarroute::policy
