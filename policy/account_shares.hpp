#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"

namespace poplarroute::policy
{

/// A waiting request, as the order among accounts sees it.
struct share_entry
{
    core::account_id account_;
    int priority_ = 0;       ///< 0 is the highest.
    bool is_late_ = false;   ///< Its objective has passed.
    core::time_point since_; ///< From when its place in the order counts.
    double cost_ = 1;        ///< In seconds of its account's rate.
};

/// Order in which the requests of client accounts get scarce capacity.
///
/// Load: accounts that together request more than there is, some of them more
/// than their rate, in bursts; urgent requests with short objectives beside
/// less urgent ones. The more urgent priority goes first, but no priority is
/// passed over more than a fixed number of times in a row. Within a priority,
/// requests on time go before late ones, and each time the account goes first
/// that was served least in proportion to its rate. Nothing is kept for an
/// account that requests nothing.
/// Source: start-time fair queueing, P. Goyal, H. Vin, H. Cheng (1996), as in
/// fair_queue, with costs in time and any number of priorities.
class account_shares
{
public:
    /// Records that an account has a request after it had none waiting with
    /// this priority.
    void began_waiting(const core::account_id& account, int priority);

    /// \return the indexes of the entries in the order of service.
    std::vector<std::size_t> order(std::span<const share_entry> entries) const;

    /// Records that an entry was served.
    /// \param waiting_priorities priorities of the entries that wait on.
    void served(
        const share_entry& entry, const std::set<int>& waiting_priorities);

    /// Forgets accounts that are neither waiting nor ahead of the others.
    void expire(std::span<const share_entry> waiting);

    /// \return the number of accounts remembered, over all priorities.
    std::size_t size() const;

private:
    struct level
    {
        /// Seconds of their rates that accounts were served.
        std::map<core::account_id, double> served_;
        double virtual_time_ = 0; ///< Served amount at the last service.
        int passed_over_ = 0;     ///< In a row, while requests waited.
    };

    std::map<int, level> levels_; ///< By priority.
};

} // namespace poplarroute::policy
