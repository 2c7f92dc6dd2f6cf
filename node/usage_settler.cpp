#include "node/usage_settler.hpp"

#include <utility>

#include <boost/asio/redirect_error.hpp>

#include "drivers/log.hpp"
#include "node/fleet_sections.hpp"

namespace poplarroute::node
{

namespace asio = drivers::asio;

namespace
{

/// Shortest interval and timeout of the settlement of accounts' usage.
constexpr core::duration settle_interval{100};
constexpr core::duration settle_timeout{500};

/// Longest time for which a request waits for its account's level. Without it,
/// most requests are refused, so that a late level is better than none.
constexpr core::duration refresh_timeout{200};

/// Time after a failed refresh in which requests do not wait for another.
constexpr core::duration refresh_backoff{500};

} // namespace

usage_settler::usage_settler(context& with) : with_(with) {}

void usage_settler::start()
{
    with_.board_.section<meter_section>().refresh_ =
        [this](core::account_id account) -> awaitable<void>
    {
        co_await refresh(std::move(account));
    };
    drivers::spawn_loop(
        with_.io_,
        "settle_loop",
        [this]()
        {
            return settle_loop();
        });
}

awaitable<void> usage_settler::settle_loop()
{
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const group_section& group = with_.board_.section<group_section>();
    for (;;)
    {
        co_await drivers::sleep_for(settle_interval);
        drivers::flush_log();
        if (group.leader_.empty())
        {
            continue;
        }
        std::vector<policy::unsettled_usage> uses =
            meter.take_due(core::steady_now());
        if (!uses.empty())
        {
            co_await settle(std::move(uses), settle_timeout);
        }
    }
}

/// \return whether the leader replied.
awaitable<bool> usage_settler::settle(
    std::vector<policy::unsettled_usage> uses, core::duration timeout)
{
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const core::host_id leader = with_.board_.section<group_section>().leader_;
    settle_request request;
    request.host_ = with_.identity().host_;
    for (const policy::unsettled_usage& use : uses)
    {
        request.uses_.push_back({use.account_, use.used_, use.share_});
    }
    with_.metrics_.count("poplarroute_settlements_total");
    const core::result<settle_reply> reply = co_await ask<settle_reply>(
        with_.peers_, leader, method::meters_settle, request, timeout);
    if (!core::is_ok(reply))
    {
        meter.restore_unsettled(uses);
        co_return false;
    }
    const core::time_point now = core::steady_now();
    for (const account_usage_message& level : core::value(reply).levels_)
    {
        meter.settled(level.account_, level.level_, now);
    }
    co_return true;
}

/// Asks the leader for an account's level if it is too old to admit a request
/// by. All requests of the account wait for one reply.
awaitable<void> usage_settler::refresh(core::account_id account)
{
    policy::account_meter& meter = with_.board_.section<meter_section>().meter_;
    const core::time_point now = core::steady_now();
    const bool has_failed = refresh_failed_at_.ms_ > 0 &&
                            now - refresh_failed_at_ <= refresh_backoff;
    if (with_.board_.section<group_section>().leader_.empty() || has_failed ||
        !meter.needs_level(account, now))
    {
        co_return;
    }
    const auto [found, is_first] = refreshing_.try_emplace(account);
    if (!is_first)
    {
        auto timer = std::make_shared<asio::steady_timer>(with_.io_);
        found->second.push_back(timer);
        timer->expires_after(refresh_timeout.chrono());
        drivers::error_code woken;
        co_await timer->async_wait(
            asio::redirect_error(asio::use_awaitable, woken));
        co_return;
    }
    std::vector<policy::unsettled_usage> uses = meter.take(account, now);
    const bool settled = co_await settle(std::move(uses), refresh_timeout);
    if (!settled)
    {
        refresh_failed_at_ = core::steady_now();
    }
    with_.metrics_.count(
        "poplarroute_level_refreshes_total",
        {{"end", settled ? "settled" : "failed"}});
    end_refresh(account);
}

void usage_settler::end_refresh(const core::account_id& account)
{
    const auto waiting = refreshing_.extract(account);
    for (const auto& timer : waiting.mapped())
    {
        timer->cancel();
    }
}

} // namespace poplarroute::node
