#include "node/escrow_controller.hpp"

#include <algorithm>

#include "core/digest.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration refresh_every{100};
constexpr core::duration give_deadline{400};
constexpr core::duration dry_for{150};
constexpr core::duration wait_step{50};

/// Askers go through their zone's holders and then the others, one by one.
constexpr std::size_t most_asked = 8;

} // namespace

escrow_controller::escrow_controller(context& with) : with_(with) {}

policy::escrow& escrow_controller::shares()
{
    return *with_.board_.section<escrow_section>().shares_;
}

void escrow_controller::start()
{
    take_shares();
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            take_shares();
        });
    with_.calls_.add_typed<give_request, give_reply>(
        method::give_tokens,
        caller_kind::host,
        [this](drivers::peer_identity, give_request request)
            -> awaitable<core::result<give_reply>>
        {
            give_reply reply;
            reply.tokens_ = shares().donate(
                request.account_,
                request.needed_,
                request.wanted_,
                core::steady_now());
            reply.rate_ = shares().share(request.account_).rate_;
            co_return reply;
        });
    with_.calls_.add_typed<give_back_request, empty_reply>(
        method::give_back,
        caller_kind::host,
        [this](drivers::peer_identity, give_back_request request)
            -> awaitable<core::result<empty_reply>>
        {
            refund(request.account_, request.tokens_);
            co_return empty_reply();
        });
    drivers::spawn(with_.io_, refresh_loop());
}

awaitable<void> escrow_controller::refresh_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(refresh_every);
        if (with_.directory().confirmed_ != took_confirmed_)
        {
            take_shares();
        }
    }
}

void escrow_controller::take_shares()
{
    const core::time_point now = core::steady_now();
    const directory_section& section = with_.directory();
    took_confirmed_ = section.confirmed_;
    std::map<core::account_id, policy::rate_limit> all;
    for (const auto& [name, account] : section.fleet_.settings().accounts_)
    {
        // Until the control group has said that the version held is current,
        // an older one may still give this host more than its share.
        control::limit share;
        if (section.confirmed_ && !with_.lifecycle().draining_)
        {
            share = section.fleet_.share_of(with_.identity().host_, name);
        }
        all[name] = {share.rate_, share.burst_};
        shares().set_share(name, all[name], now);
    }
    shares().keep_only(all);
}

std::vector<core::host_id> escrow_controller::givers(
    const core::account_id& account) const
{
    std::vector<core::host_id> near;
    std::vector<core::host_id> far;
    const control::directory& fleet = with_.directory().fleet_;
    if (fleet.epochs().empty())
    {
        return near;
    }
    const auto& peers = with_.membership().members_->peers();
    for (const core::host_id& host : fleet.epochs().back().holders_of(account))
    {
        const auto found = peers.find(host);
        if (found == peers.end() ||
            found->second.state_ != control::liveness::alive)
        {
            continue;
        }
        const bool own_zone = found->second.zone_ == with_.identity().zone_;
        (own_zone ? near : far).push_back(host);
    }
    // Different hosts begin with different givers.
    const std::string salt = account + with_.identity().host_;
    std::sort(
        far.begin(),
        far.end(),
        [&](const core::host_id& left, const core::host_id& right)
        {
            return core::stable_hash(salt + left) <
                   core::stable_hash(salt + right);
        });
    near.insert(near.end(), far.begin(), far.end());
    const auto last = generous_.find(account);
    if (last != generous_.end())
    {
        const auto found = std::find(near.begin(), near.end(), last->second);
        if (found != near.end())
        {
            std::rotate(near.begin(), found, found + 1);
        }
    }
    near.resize(std::min(near.size(), most_asked));
    return near;
}

awaitable<policy::token_transfer> escrow_controller::ask_one(
    core::host_id host, give_request request)
{
    policy::token_transfer got{host, 0, 0, core::steady_now()};
    const auto address = with_.address_of(host);
    if (!address)
    {
        co_return got;
    }
    const auto reply = co_await ask<give_reply>(
        with_.peers_, *address, method::give_tokens, request, give_deadline);
    if (core::is_ok(reply))
    {
        got.tokens_ = core::value(reply).tokens_;
        got.donor_rate_ = core::value(reply).rate_;
    }
    co_return got;
}

awaitable<bool> escrow_controller::pay_with_others(
    core::account_id account, std::int64_t tokens, std::int64_t missing)
{
    std::vector<policy::token_transfer> gifts;
    for (const core::host_id& host : givers(account))
    {
        const give_request request{
            account,
            shares().amount_to_request(account, missing),
            shares().wish(account, core::steady_now())};
        const policy::token_transfer got = co_await ask_one(host, request);
        if (got.tokens_ == 0)
        {
            continue;
        }
        with_.metrics_.count(
            "poplarroute_tokens_moved_total",
            {{"account", account}},
            static_cast<double>(got.tokens_));
        gifts.push_back(got);
        missing = shares().pay_with_transfers(
            account, gifts, tokens, core::steady_now());
        if (missing == 0)
        {
            generous_[account] = host;
            co_return true;
        }
    }
    std::int64_t gathered = 0;
    for (const policy::token_transfer& item : gifts)
    {
        gathered += item.tokens_;
    }
    drivers::log_event(
        drivers::log_level::debug,
        "tokens_missing",
        {{"account", account},
         {"price", tokens},
         {"missing", missing},
         {"own", shares().level(account, core::steady_now())},
         {"gathered", gathered},
         {"givers", gifts.size()}});
    // Held tokens would only keep another request from being paid.
    generous_.erase(account);
    give_back(account, gifts);
    co_return false;
}

void escrow_controller::give_back(
    const core::account_id& account,
    const std::vector<policy::token_transfer>& gifts)
{
    for (const policy::token_transfer& item : gifts)
    {
        const auto address = with_.address_of(item.donor_);
        const std::int64_t rest = item.usable(core::steady_now());
        if (address && rest > 0)
        {
            drivers::spawn(with_.io_, send_back(*address, {account, rest}));
        }
    }
}

awaitable<void> escrow_controller::send_back(
    std::string address, give_back_request request)
{
    // Lost tokens are lost: they are never sent twice.
    co_await ask<empty_reply>(
        with_.peers_,
        std::move(address),
        method::give_back,
        std::move(request),
        give_deadline);
}

awaitable<charge_outcome> escrow_controller::charge(
    core::account_id account, std::int64_t tokens, core::duration patience)
{
    const core::time_point until = core::steady_now() + patience;
    for (;;)
    {
        core::time_point now = core::steady_now();
        std::int64_t missing = shares().charge(account, tokens, now);
        if (missing > 0 && now >= dry_until_[account])
        {
            const bool paid =
                co_await pay_with_others(account, tokens, missing);
            now = core::steady_now();
            missing = paid ? 0 : missing;
            if (!paid)
            {
                dry_until_[account] = now + dry_for;
            }
        }
        if (missing == 0)
        {
            co_return charge_outcome{true, {}};
        }
        if (now + wait_step >= until)
        {
            co_return charge_outcome{
                false, shares().wait_for(account, tokens, now)};
        }
        co_await drivers::sleep_for(wait_step);
    }
}

void escrow_controller::refund(
    const core::account_id& account, std::int64_t tokens)
{
    shares().refund(account, tokens, core::steady_now());
}

nlohmann::json escrow_controller::status() const
{
    nlohmann::json out = nlohmann::json::object();
    const auto& shares = *with_.board_.section<escrow_section>().shares_;
    for (const auto& [name, account] :
         with_.directory().fleet_.settings().accounts_)
    {
        const policy::rate_limit share = shares.share(name);
        out[name] = {{"rate", share.rate_}, {"burst", share.burst_}};
    }
    return out;
}

} // namespace poplarroute::node
