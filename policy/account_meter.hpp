#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "policy/token_bucket.hpp"

namespace poplarroute::policy
{

/// What all hosts together have used of the accounts' limits, at the one that
/// adds it up.
///
/// A level may fall below zero: hosts admit by what they were last told, and
/// what they admit beyond the limit meanwhile is paid back by refusals.
class meter_ledger
{
public:
    /// Takes over the limits. A new account starts empty: hosts tell what
    /// they hold of its level.
    void set_limits(
        const std::map<core::account_id, rate_limit>& limits,
        core::time_point now);

    /// Adds what a host has admitted.
    /// \param told_part what that host holds for its part of the level; a
    /// ledger that starts anew begins with the sum of these.
    /// \return the level after it, in tokens.
    std::int64_t settle(
        const core::account_id& account,
        const core::host_id& host,
        std::int64_t used,
        std::int64_t told_part,
        core::time_point now);

private:
    struct entry
    {
        rate_limit limit_;
        double level_ = 0;
        core::time_point filled_at_;
        core::time_point began_;
        std::set<core::host_id> told_; ///< Hosts whose part is in the level.
    };

    static void refill(entry& of, core::time_point now);

    std::map<core::account_id, entry> entries_;
};

/// One account's use that a host has not yet told the ledger's.
struct unsettled_use
{
    core::account_id account_;
    std::int64_t used_ = 0;
    std::int64_t part_ = 0; ///< This host's part of the level, as it knows.
};

/// One host's view of the accounts' levels.
///
/// It answers an account that sends several times its rate through all hosts:
/// each admits by the level last told, less its own use since then. A host
/// that hears nothing keeps to its even part of the limit.
class account_meter
{
public:
    /// \param hosts how many hosts share the limits when none is heard.
    void set_limits(
        const std::map<core::account_id, rate_limit>& limits,
        std::int64_t hosts,
        core::time_point now);

    /// Admits a request of an account, or not.
    bool admit(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Gives back what an admitted request did not use.
    void refund(const core::account_id& account, std::int64_t tokens);

    /// \return how long until so many tokens are there.
    core::duration wait_for(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Says whether it is known that no ledger is kept anywhere. A host that
    /// only hears nothing may be cut off from one that goes on, and uses half
    /// of its part.
    void set_no_ledger(bool none)
    {
        no_ledger_ = none;
    }

    /// \return what is to be told; those accounts count as told from now on.
    std::vector<unsettled_use> take_unsettled(core::time_point now);

    /// Takes the level after what was told.
    void settled(
        const core::account_id& account,
        std::int64_t level,
        core::time_point now);

    /// What was taken as told did not arrive.
    void not_settled(std::span<const unsettled_use> uses);

    /// \return the level as this host holds it.
    std::int64_t level(const core::account_id& account, core::time_point now);

private:
    struct entry
    {
        rate_limit limit_;
        double level_ = 0;
        std::int64_t unsettled_ = 0;
        core::time_point filled_at_;
        core::time_point told_at_;
        bool alone_ = false;
    };

    static double part_of(const entry& of, double hosts);
    void refill(entry& of, core::time_point now) const;

    std::map<core::account_id, entry> entries_;
    std::int64_t hosts_ = 1;
    bool no_ledger_ = false;
};

} // namespace poplarroute::policy
