#pragma once

#include <algorithm>
#include <cstdint>

namespace poplarroute::policy
{

/// Keeps retries to a part of the first tries, so that they cannot multiply
/// an outage's load.
/// Source: B. Beyer et al., "Site Reliability Engineering" (2016), ch. 21.
class retry_budget
{
public:
    /// Notes a first try, which pays in for a part of a retry.
    void first_try()
    {
        balance_ = std::min(balance_ + paid_in_, most_);
    }

    /// \return whether a retry may go out; it is paid for then.
    bool take()
    {
        if (balance_ < price_)
        {
            return false;
        }
        balance_ -= price_;
        return true;
    }

private:
    static constexpr std::int64_t paid_in_ = 20;
    static constexpr std::int64_t price_ = 100;
    static constexpr std::int64_t most_ = 2'000;

    std::int64_t balance_ = most_;
};

} // namespace poplarroute::policy
