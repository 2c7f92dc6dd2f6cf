#include "policy/account_shares.hpp"

#include <algorithm>
#include <tuple>

namespace poplarroute::policy
{

namespace
{

/// Number of times in a row that more urgent requests go before a less urgent
/// priority that waits. A lower bound costs urgent streams with short
/// objectives more than the others gain: at 11, two in a hundred.
constexpr int max_passed_over = 24;

/// Entries of one priority in their order, and the next of them to be served.
struct priority_queue
{
    std::vector<std::size_t> indexes_;
    std::size_t next_ = 0;
    int passed_over_ = 0;
};

} // namespace

void account_shares::began_waiting(
    const core::account_id& account, int priority)
{
    level& at = levels_[priority];
    double& served = at.served_[account];
    served = std::max(served, at.virtual_time_);
}

std::vector<std::size_t> account_shares::order(
    std::span<const share_entry> entries) const
{
    std::map<int, priority_queue> queues;
    for (std::size_t index = 0; index < entries.size(); ++index)
    {
        queues[entries[index].priority_].indexes_.push_back(index);
    }
    for (auto& [priority, queue] : queues)
    {
        std::stable_sort(
            queue.indexes_.begin(),
            queue.indexes_.end(),
            [entries](std::size_t left, std::size_t right)
            {
                return std::tie(entries[left].is_late_, entries[left].since_) <
                       std::tie(entries[right].is_late_, entries[right].since_);
            });
        const auto found = levels_.find(priority);
        std::map<core::account_id, double> served;
        if (found != levels_.end())
        {
            served = found->second.served_;
            queue.passed_over_ = found->second.passed_over_;
        }
        std::vector<double> starts(entries.size());
        for (const std::size_t index : queue.indexes_)
        {
            double& account_served = served[entries[index].account_];
            starts[index] = account_served;
            account_served += entries[index].cost_;
        }
        std::stable_sort(
            queue.indexes_.begin(),
            queue.indexes_.end(),
            [&](std::size_t left, std::size_t right)
            {
                return std::tie(entries[left].is_late_, starts[left]) <
                       std::tie(entries[right].is_late_, starts[right]);
            });
    }
    std::vector<std::size_t> out;
    out.reserve(entries.size());
    while (out.size() < entries.size())
    {
        priority_queue* chosen = nullptr;
        for (auto& [priority, queue] : queues)
        {
            if (queue.next_ == queue.indexes_.size())
            {
                continue;
            }
            const bool goes_first = chosen == nullptr ||
                                    (queue.passed_over_ >= max_passed_over &&
                                     queue.passed_over_ > chosen->passed_over_);
            chosen = goes_first ? &queue : chosen;
        }
        for (auto& [priority, queue] : queues)
        {
            queue.passed_over_ += &queue != chosen ? 1 : 0;
        }
        chosen->passed_over_ = 0;
        out.push_back(chosen->indexes_[chosen->next_++]);
    }
    return out;
}

void account_shares::served(
    const share_entry& entry, const std::set<int>& waiting_priorities)
{
    level& at = levels_[entry.priority_];
    double& amount = at.served_[entry.account_];
    at.virtual_time_ = std::max(at.virtual_time_, amount);
    amount += entry.cost_;
    for (auto& [priority, other] : levels_)
    {
        const bool is_passed_over = priority != entry.priority_ &&
                                    waiting_priorities.count(priority) != 0;
        other.passed_over_ = is_passed_over ? other.passed_over_ + 1 : 0;
    }
}

void account_shares::expire(std::span<const share_entry> waiting)
{
    for (auto& [priority, at] : levels_)
    {
        std::erase_if(
            at.served_,
            [&, priority = priority, &at = at](const auto& item)
            {
                const bool waits = std::any_of(
                    waiting.begin(),
                    waiting.end(),
                    [&](const share_entry& entry)
                    {
                        return entry.priority_ == priority &&
                               entry.account_ == item.first;
                    });
                return !waits && item.second <= at.virtual_time_;
            });
    }
}

std::size_t account_shares::size() const
{
    std::size_t out = 0;
    for (const auto& [priority, at] : levels_)
    {
        out += at.served_.size();
    }
    return out;
}

} // namespace poplarroute::policy
