#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "node/catalog_messages.hpp"
#include "node/context.hpp"
#include "policy/account_meter.hpp"

namespace poplarroute::node
{

/// This host's view of the accounts' token levels.
struct meter_section
{
    policy::account_meter meter_;
    /// Brings an account's level up to date if it is too old to admit a request
    /// by. Written by usage_settler; empty at processes without one.
    std::function<awaitable<void>(core::account_id)> refresh_;
};

/// Settles an entry host's usage of accounts with the leader: at intervals what
/// the meter says is due, and on demand the level of an account that is about
/// to be charged and whose level is old.
class usage_settler
{
public:
    explicit usage_settler(context& with);

    void start();

private:
    awaitable<void> settle_loop();
    awaitable<bool> settle(
        std::vector<policy::unsettled_usage> uses, core::duration timeout);
    awaitable<void> refresh(core::account_id account);
    void end_refresh(const core::account_id& account);

    context& with_;
    /// Accounts whose level has been asked for, with the requests that wait for
    /// it.
    std::map<
        core::account_id,
        std::vector<std::shared_ptr<drivers::asio::steady_timer>>>
        refreshing_;
    core::time_point refresh_failed_at_;
};

} // namespace poplarroute::node
