#pragma once

#include <map>
#include <span>

#include "core/ids.hpp"
#include "policy/token_bucket.hpp"

namespace poplarroute::policy
{

/// Tokens on their way from another host, or held for one request.
struct gift
{
    core::host_id giver_;
    std::int64_t tokens_ = 0;
    std::int64_t giver_rate_ = 0; ///< Tokens a second that its share refills.
    core::time_point asked_at_;   ///< Before the tokens left their giver.

    /// \return what of it counts: the giver has refilled since, and the sum
    /// over hosts must not grow by that.
    std::int64_t usable(core::time_point now) const;
};

/// This host's shares of all accounts' limits, and what moves between hosts.
///
/// The sum over hosts of what can be charged never exceeds an account's
/// burst, and grows by its rate at most: a giver debits before the gift
/// travels, a lost gift is lost, and a receiver takes off what the giver can
/// have refilled on the way.
class escrow
{
public:
    /// Sets this host's share of an account's limit.
    void set_share(
        const core::account_id& account,
        rate_limit share,
        core::time_point now);

    /// Drops accounts that are gone, and their tokens.
    void keep_only(const std::map<core::account_id, rate_limit>& shares);

    /// Charges a request.
    /// \return the tokens still missing; 0 when the request is paid, and
    /// nothing was taken otherwise.
    std::int64_t charge(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Gives tokens to another host.
    /// \param needed tokens that the other host's request lacks.
    /// \param wanted tokens it would like for the next ones.
    /// \return how many it may have; they have left this host.
    std::int64_t give(
        const core::account_id& account,
        std::int64_t needed,
        std::int64_t wanted,
        core::time_point now);

    /// Pays a request from gifts and this host's share together.
    /// \param gifts what has arrived for this request.
    /// \param tokens the request's whole price.
    /// \return the tokens still missing; 0 when the request is paid, and then
    /// what is left of the gifts has gone into the share. Nothing has changed
    /// otherwise.
    std::int64_t pay_with(
        const core::account_id& account,
        std::span<const gift> gifts,
        std::int64_t tokens,
        core::time_point now);

    /// Returns tokens of a request that did not use them.
    void refund(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// \return what to ask another host for, so that it still suffices after
    /// what givers refill on the way has been taken off.
    /// \param missing tokens that the request lacks.
    std::int64_t need(
        const core::account_id& account, std::int64_t missing) const;

    /// \return what a host that is about to refuse should ask for beyond its
    /// need, so that it need not ask for each request.
    std::int64_t wish(const core::account_id& account, core::time_point now);

    /// \return tokens there now.
    std::int64_t level(const core::account_id& account, core::time_point now);

    /// \return how long until the rate alone pays for so many tokens.
    core::duration wait_for(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    rate_limit share(const core::account_id& account) const;

private:
    /// A bucket and how fast it has lately been used.
    struct entry
    {
        explicit entry(core::time_point now) : bucket_(now), measured_at_(now)
        {
        }

        token_bucket bucket_;
        std::int64_t used_ = 0;     ///< Since measured_at_.
        std::int64_t use_rate_ = 0; ///< Tokens a second, smoothed.
        core::time_point measured_at_;
    };

    entry& find(const core::account_id& account, core::time_point now);
    static void measure(entry& of, std::int64_t used, core::time_point now);

    std::map<core::account_id, entry> entries_;
};

} // namespace poplarroute::policy
