#pragma once

#include <cstdint>
#include <map>
#include <optional>
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

    /// Charges a request that is decided at the leader, against the exact
    /// level.
    /// \return whether the level sufficed.
    bool charge(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Returns the tokens that a charged request did not use.
    void refund(const core::account_id& account, std::int64_t tokens);

    /// \return how long until this many tokens are available, with random
    /// jitter.
    core::duration wait_for(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// \return the values that decide whether a request is admitted, for logs.
    std::string inputs(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// \return the accounts whose level is below half of their burst; nothing
    /// while hosts still report their shares to a new ledger. Hosts may charge
    /// the others without asking for their levels.
    std::optional<std::vector<core::account_id>> scarce_accounts(
        core::time_point now);

    /// Debits the tokens that a host has admitted.
    /// \param reported_share the host's own estimate of its share of the level;
    /// a new ledger starts with the sum of these.
    /// \return the resulting level, in tokens.
    std::int64_t settle(
        const core::account_id& account,
        const core::host_id& host,
        std::int64_t used,
        std::int64_t reported_share,
        core::time_point now);

private:
    struct entry
    {
        rate_limit limit_;
        double level_ = 0;
        core::time_point filled_at_;
        core::time_point created_at_;
        std::set<core::host_id> reported_hosts_; ///< Shares already added.
    };

    static void refill(entry& item, core::time_point now);

    std::map<core::account_id, entry> entries_;
    /// When this ledger was created; nothing: it has no accounts yet.
    std::optional<core::time_point> created_at_;
    std::minstd_rand random_;
};

/// One account's usage that a host has not yet settled with the ledger.
struct unsettled_usage
{
    core::account_id account_;
    std::int64_t used_ = 0;  ///< Tokens.
    std::int64_t share_ = 0; ///< Host's estimate of its share of the level.
    /// Part of used_ that was admitted without a level; see admit_unasked().
    std::int64_t unasked_ = 0;
};

/// One host's view of the accounts' levels.
///
/// Load: an account that sends several times its rate through all hosts. Each
/// host admits against the last settled level minus its own usage since then.
/// A host without recent settlements uses an equal share of the limit. Where
/// that share is less than one large request, most of it is granted at random,
/// as tickets for one whole request each.
class account_meter
{
public:
    account_meter() = default;

    /// \param seed seeds the random admissions; it must differ between hosts.
    explicit account_meter(std::uint64_t seed) : random_(seed) {}

    /// Lets the accounts of the first limits start without tokens: a host that
    /// has restarted does not know what it used before.
    void start_empty()
    {
        starts_empty_ = true;
    }

    /// \param hosts number of hosts that share the limits when there are no
    /// settlements; nothing when unknown. The host then has no share.
    void set_limits(
        const std::map<core::account_id, rate_limit>& limits,
        std::optional<std::int64_t> hosts,
        core::time_point now);

    /// Charges a request against the level as this host knows it.
    /// \return whether the request is admitted.
    bool admit(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Returns the tokens that an admitted request did not use.
    void refund(const core::account_id& account, std::int64_t tokens);

    /// \return how long until this many tokens are available, with random
    /// jitter.
    core::duration wait_for(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Applies what the leader states of all accounts.
    /// \param scarce the accounts whose level is low. Each other account has
    /// half of its burst left, of which this host may use a part unasked.
    void set_scarce(
        std::span<const core::account_id> scarce, core::time_point now);

    /// Reports the shares of all accounts with the next settlement, to a new
    /// ledger.
    void begin_ledger();

    /// \return whether a request may be charged by admit_unasked(): its account
    /// is far from its limit, and what this host uses unasked is within its
    /// part. Where that part is less than one request, it is drawn at random.
    bool needs_no_level(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Charges a request without a recent level of its account.
    /// \return whether it is admitted; else admit() decides, after a
    /// settlement where needs_level() says so.
    bool admit_unasked(
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

    /// Takes the usage to settle, which then counts as settled.
    std::vector<unsettled_usage> take_unsettled(core::time_point now);

    /// Takes the usage of the accounts whose settlement is due, while a leader
    /// is known. Accounts without recent use are left out once they have been
    /// settled, and get no share of their limit until their level is asked for.
    std::vector<unsettled_usage> take_due(core::time_point now);

    /// Takes one account's usage, before a request is charged to it.
    std::vector<unsettled_usage> take(
        const core::account_id& account, core::time_point now);

    /// \return whether an account's level is too old to admit a request by.
    bool needs_level(
        const core::account_id& account, core::time_point now) const;

    /// Records a use of an account that is charged elsewhere.
    void record_use(const core::account_id& account, core::time_point now);

    /// Applies the level that a settlement returned.
    void settled(
        const core::account_id& account,
        std::int64_t level,
        core::time_point now);

    /// Restores usage whose settlement failed.
    void restore_unsettled(std::span<const unsettled_usage> usages);

    /// \return the level as this host knows it, in tokens.
    std::int64_t level(const core::account_id& account, core::time_point now);

    /// \return the values that decide whether a request is admitted, for logs.
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
        core::time_point settled_at_;
        core::time_point used_at_;       ///< 0: not used yet.
        bool was_settled_ = false;       ///< Whether a ledger has told a level.
        bool isolated_ = false;          ///< Without recent settlements.
        std::int64_t largest_price_ = 0; ///< Of all requests so far, in tokens.
        /// Until then, an isolated host may admit one large request.
        core::time_point ticket_expires_at_;
        /// Until then, the account counts as far from its limit.
        core::time_point plenty_until_;
        double unasked_left_ = 0;       ///< Tokens that may be used unasked.
        std::int64_t unasked_used_ = 0; ///< Not yet settled.
        core::time_point taken_at_;     ///< When usage was taken last.
        bool reports_share_ = false;    ///< See begin_ledger().
    };

    bool is_settlement_due(const entry& item, core::time_point now) const;
    bool is_unasked_use_due(const entry& item, core::time_point now) const;
    unsettled_usage take_usage(
        const core::account_id& account, entry& item, core::time_point now);
    bool draw_with_probability(double probability);
    void refill_isolated(
        entry& item, double burst, double gain, core::time_point now);
    bool passes_random_admission(
        const entry& item, double tokens, core::time_point now);
    double own_fraction() const;
    double share_of(const entry& item) const;
    void refill(entry& item, core::time_point now);

    std::map<core::account_id, entry> entries_;
    std::optional<std::int64_t> hosts_;
    bool starts_empty_ = false;
    bool has_limits_ = false;
    bool no_ledger_ = false;
    std::mt19937_64 random_;
};

} // namespace poplarroute::policy
