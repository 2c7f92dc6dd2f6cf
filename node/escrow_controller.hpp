#pragma once

#include <map>
#include <set>
#include <vector>

#include "node/context.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

/// Result of charging a request.
struct charge_outcome
{
    bool paid_ = false;
    core::duration retry_after_; ///< When to retry a charge that was not paid.
};

/// Charges requests to this host's shares of the accounts' limits. Before it
/// refuses a charge, it requests transfers of tokens from other hosts.
class escrow_controller
{
public:
    explicit escrow_controller(context& with);

    void start();

    /// Charges a request.
    /// \param max_wait how long to wait for tokens.
    awaitable<charge_outcome> charge(
        core::account_id account, std::int64_t tokens, core::duration max_wait);

    /// Returns tokens that a request did not use to this host's share.
    void refund(const core::account_id& account, std::int64_t tokens);

    nlohmann::json status() const;

private:
    awaitable<void> refresh_loop();
    void apply_shares();
    awaitable<policy::token_transfer> request_transfer(
        core::host_id host, token_transfer_request request);
    awaitable<bool> charge_with_transfers(
        core::account_id account, std::int64_t tokens, std::int64_t missing);
    void return_tokens(
        const core::account_id& account,
        const std::vector<policy::token_transfer>& transfers);
    awaitable<void> send_returned_tokens(
        std::string address, token_return_request request);
    std::vector<core::host_id> donors(const core::account_id& account) const;
    policy::escrow& shares();

    context& with_;
    bool applied_confirmed_ = false;
    std::map<core::account_id, core::time_point> no_transfers_until_;
    std::map<core::account_id, core::host_id> last_donor_;
};

} // namespace poplarroute::node
