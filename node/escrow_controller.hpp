#pragma once

#include <map>
#include <set>
#include <vector>

#include "node/context.hpp"
#include "node/messages.hpp"

namespace poplarroute::node
{

/// How a charge ended.
struct charge_outcome
{
    bool paid_ = false;
    core::duration retry_after_; ///< When not paid.
};

/// Charges requests to this host's shares, and asks other hosts for tokens
/// before it refuses one.
class escrow_controller
{
public:
    explicit escrow_controller(context& with);

    void start();

    /// Charges a request.
    /// \param patience how long tokens may be waited for.
    awaitable<charge_outcome> charge(
        core::account_id account, std::int64_t tokens, core::duration patience);

    /// Returns what a request did not use.
    void refund(const core::account_id& account, std::int64_t tokens);

    nlohmann::json status() const;

private:
    awaitable<void> refresh_loop();
    void take_shares();
    awaitable<policy::token_transfer> ask_one(
        core::host_id host, give_request request);
    awaitable<bool> pay_with_others(
        core::account_id account, std::int64_t tokens, std::int64_t missing);
    void give_back(
        const core::account_id& account,
        const std::vector<policy::token_transfer>& gifts);
    awaitable<void> send_back(std::string address, give_back_request request);
    std::vector<core::host_id> givers(const core::account_id& account) const;
    policy::escrow& shares();

    context& with_;
    bool took_confirmed_ = false;
    std::map<core::account_id, core::time_point> dry_until_;
    std::map<core::account_id, core::host_id> generous_;
};

} // namespace poplarroute::node
