#pragma once

#include <algorithm>
#include <cstdint>

namespace poplarroute::policy
{

/// Limits retries to a fraction of the first attempts, so that they cannot
/// multiply the load in an outage.
/// Source: B. Beyer et al., "Site Reliability Engineering" (2016), ch. 21.
class retry_budget
{
public:
    /// Records a first attempt, which adds a fraction of a retry to the budget.
    void first_try()
    {
        balance_ = std::min(balance_ + deposit_, max_balance_);
    }

    /// Takes a retry from the budget if it suffices.
    /// \return whether it was taken.
    bool take()
    {
        if (balance_ < retry_cost_)
        {
            return false;
        }
        balance_ -= retry_cost_;
        return true;
    }

private:
    // In hundredths of a retry.
    static constexpr std::int64_t deposit_ = 20;
    static constexpr std::int64_t retry_cost_ = 100;
    static constexpr std::int64_t max_balance_ = 2'000;

    std::int64_t balance_ = max_balance_;
};

} // namespace poplarroute::policy
