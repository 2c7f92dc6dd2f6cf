#pragma once

#include <map>
#include <span>

#include "core/ids.hpp"
#include "policy/token_bucket.hpp"

namespace poplarroute::policy
{

/// Rate limit tokens received from another host for one request.
struct token_transfer
{
    core::host_id donor_;
    std::int64_t tokens_ = 0;
    /// Refill rate of the donor's share, tokens a second.
    std::int64_t donor_rate_ = 0;
    core::time_point requested_at_; ///< Not later than the donor's debit.

    /// \return the tokens that may be used: those that the donor's share can
    /// have refilled since the request are subtracted, so that a transfer does
    /// not raise the sum over all hosts.
    std::int64_t usable(core::time_point now) const;
};

/// This host's shares of all accounts' rate limits, and the token transfers
/// between hosts.
///
/// The tokens that can be charged at all hosts together never exceed an
/// account's burst and grow by its rate at most: a donor debits its share
/// before it sends a transfer, the tokens of a lost transfer are not restored,
/// and a recipient subtracts what the donor can have refilled in the meantime.
class escrow
{
public:
    /// Sets this host's share of an account's limit.
    void set_share(
        const core::account_id& account,
        rate_limit share,
        core::time_point now);

    /// Removes all accounts that have no share, with their tokens.
    void keep_only(const std::map<core::account_id, rate_limit>& shares);

    /// Charges a request to this host's share.
    /// \return 0 if the request is paid; otherwise the number of tokens
    /// missing, and nothing was charged.
    std::int64_t charge(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// Debits tokens for a transfer to another host.
    /// \param needed tokens that the recipient's request lacks.
    /// \param wanted further tokens that it asks for, for its next requests.
    /// \return the number of tokens to transfer, which this host has debited.
    std::int64_t donate(
        const core::account_id& account,
        std::int64_t needed,
        std::int64_t wanted,
        core::time_point now);

    /// Pays a request from transfers and this host's share together.
    /// \param transfers the transfers received for this request.
    /// \param tokens the request's whole price.
    /// \return 0 if the request is paid; what is left of the transfers is then
    /// added to the share. Otherwise the number of tokens missing, and nothing
    /// has changed.
    std::int64_t pay_with_transfers(
        const core::account_id& account,
        std::span<const token_transfer> transfers,
        std::int64_t tokens,
        core::time_point now);

    /// Returns charged tokens that a request did not use.
    void refund(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// \param missing tokens that the request lacks.
    /// \return the tokens to request from another host, so that the missing
    /// number remains after the donors' refill has been subtracted.
    std::int64_t amount_to_request(
        const core::account_id& account, std::int64_t missing) const;

    /// \return the tokens that a host short of them should request beyond its
    /// need, so that not every request of the account needs a transfer.
    std::int64_t wish(const core::account_id& account, core::time_point now);

    /// \return tokens that can be charged at this host now.
    std::int64_t level(const core::account_id& account, core::time_point now);

    /// \return how long until the share's own refill covers this many tokens.
    core::duration wait_for(
        const core::account_id& account,
        std::int64_t tokens,
        core::time_point now);

    /// \return this host's share of an account's limit; zero if it has none.
    rate_limit share(const core::account_id& account) const;

private:
    /// An account's bucket and its recent usage.
    struct account_state
    {
        explicit account_state(core::time_point now)
            : bucket_(now), measured_at_(now)
        {
        }

        token_bucket bucket_;
        std::int64_t used_ = 0;       ///< Tokens used since measured_at_.
        std::int64_t usage_rate_ = 0; ///< Tokens a second, smoothed.
        core::time_point measured_at_;
    };

    account_state& find_or_add(
        const core::account_id& account, core::time_point now);
    static void measure_usage(
        account_state& state, std::int64_t used, core::time_point now);

    std::map<core::account_id, account_state> accounts_;
};

} // namespace poplarroute::policy
