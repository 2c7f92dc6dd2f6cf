#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "policy/token_bucket.hpp"

namespace poplarroute::policy
{

/// Fleet-wide token levels of all accounts, kept at the group's leader.
///
/// A level may become negative: hosts admit requests based on the last settled
/// level, and the overshoot is repaid by later refusals.
class meter_ledger
{
public:
    /// Updates the limits. A new account starts at zero; hosts report their
    /// shares of its level.
    void set_limits(
        const std::map<core::account_id, rate_limit>& limits,
        core::time_point now);

    /// Charges a request that is decided here, exactly.
    /// \return whether the level sufficed.
    bool charge(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Gives back what a charged request did not use.
    void refund(const core::account_id& account, std::int64_t tokens);

    /// \return how long until so many tokens are there, spread by chance.
    core::duration wait_for(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// \return why a request is refused now, for logs.
    std::string inputs(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Debits what a host has admitted.
    /// \param told_part the host's own estimate of its share of the level; a
    /// new ledger starts with the sum of these.
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
    std::minstd_rand random_;
};

/// One account's usage that a host has not yet settled with the ledger.
struct unsettled_usage
{
    core::account_id account_;
    std::int64_t used_ = 0;
    std::int64_t share_ =
        0; ///< This host's estimate of its share of the level.
};

/// One host's view of the accounts' levels.
///
/// Load: an account that sends several times its rate through all hosts. Each
/// host admits against the last settled level minus its own usage since then.
/// A host without recent settlements uses an equal share of the limit. Where
/// that share is less than one large request, most of it is granted in whole
/// requests, by chance.
class account_meter
{
public:
    account_meter() = default;

    /// \param seed differs between hosts, so that their draws do too.
    explicit account_meter(std::uint64_t seed) : random_(seed) {}

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

    /// Sets whether the group is known to have no leader, hence no ledger. A
    /// host that merely lacks settlements may be partitioned from a ledger
    /// that others still use, and then takes half of its share.
    void set_no_ledger(bool none)
    {
        no_ledger_ = none;
    }

    /// \return the usage to settle; it is marked as settled.
    std::vector<unsettled_usage> take_unsettled(core::time_point now);

    /// Applies the level that a settlement returned.
    void settled(
        const core::account_id& account,
        std::int64_t level,
        core::time_point now);

    /// Restores usage whose settlement failed.
    void restore_unsettled(std::span<const unsettled_usage> uses);

    /// \return the level as this host holds it.
    std::int64_t level(const core::account_id& account, core::time_point now);

    /// \return why a request is refused now, for logs.
    std::string inputs(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

private:
    struct entry
    {
        rate_limit limit_;
        double level_ = 0;
        std::int64_t unsettled_ = 0;
        core::time_point filled_at_;
        core::time_point told_at_;
        bool alone_ = false;
        std::int64_t largest_ = 0;      ///< Price of the largest request seen.
        core::time_point ticket_until_; ///< Alone, one such may pass till then.
    };

    bool chance(double part);
    void refill_alone(
        entry& of, double burst, double gain, core::time_point now);
    bool drawn(const entry& of, double tokens, core::time_point now);
    static double part_of(const entry& of, double hosts);
    void refill(entry& of, core::time_point now);

    std::map<core::account_id, entry> entries_;
    std::int64_t hosts_ = 1;
    bool no_ledger_ = false;
    std::mt19937_64 random_;
};

} // namespace poplarroute::policy
