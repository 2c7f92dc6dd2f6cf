#include "node/escrow_controller.hpp"

#include <algorithm>

#include "core/digest.hpp"
#include "drivers/log.hpp"

namespace poplarroute::node
{

namespace
{

constexpr core::duration refresh_interval{100};
constexpr core::duration transfer_timeout{400};
constexpr core::duration failed_transfer_delay{150};
constexpr core::duration retry_interval{50};

/// Maximum number of share holders that one charge requests transfers from, one
/// after another: those in this host's availability zone first, then the
/// others.
constexpr std::size_t max_donors = 8;

} // namespace

escrow_controller::escrow_controller(context& with) : with_(with) {}

policy::escrow& escrow_controller::shares()
{
    return *with_.board_.section<escrow_section>().shares_;
}

void escrow_controller::start()
{
    apply_shares();
    with_.directory().on_change_.emplace_back(
        [this]()
        {
            apply_shares();
        });
    with_.calls_.add_typed<token_transfer_request, token_transfer_reply>(
        method::transfer_tokens,
        allowed_callers::host,
        [this](drivers::peer_identity, token_transfer_request request)
            -> awaitable<core::result<token_transfer_reply>>
        {
            token_transfer_reply reply;
            reply.tokens_ = shares().donate(
                request.account_,
                request.needed_,
                request.wanted_,
                core::steady_now());
            reply.rate_ = shares().share(request.account_).rate_;
            co_return reply;
        });
    with_.calls_.add_typed<token_return_request, empty_reply>(
        method::give_back,
        allowed_callers::host,
        [this](drivers::peer_identity, token_return_request request)
            -> awaitable<core::result<empty_reply>>
        {
            refund(request.account_, request.tokens_);
            co_return empty_reply();
        });
    drivers::spawn_loop(
        with_.io_,
        "refresh_loop",
        [this]()
        {
            return refresh_loop();
        });
}

awaitable<void> escrow_controller::refresh_loop()
{
    for (;;)
    {
        co_await drivers::sleep_for(refresh_interval);
        if (with_.directory().confirmed_ != applied_confirmed_)
        {
            apply_shares();
        }
    }
}

void escrow_controller::apply_shares()
{
    const core::time_point now = core::steady_now();
    const directory_section& section = with_.directory();
    applied_confirmed_ = section.confirmed_;
    std::map<core::account_id, policy::rate_limit> limits;
    for (const auto& [name, account] : section.fleet_.settings().accounts_)
    {
        // Until the control group has confirmed that the local version is
        // current, it may be an older one that gives this host more than its
        // share.
        control::limit share;
        if (section.confirmed_ && !with_.lifecycle().draining_)
        {
            share = section.fleet_.share_of(with_.identity().host_, name);
        }
        limits[name] = {share.rate_, share.burst_};
        shares().set_share(name, limits[name], now);
    }
    shares().keep_only(limits);
}

std::vector<core::host_id> escrow_controller::donors(
    const core::account_id& account) const
{
    std::vector<core::host_id> candidates;
    std::vector<core::host_id> other_zones;
    const control::directory& fleet = with_.directory().fleet_;
    if (fleet.epochs().empty())
    {
        return candidates;
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
        (own_zone ? candidates : other_zones).push_back(host);
    }
    // The salt makes different hosts start with different donors.
    const std::string salt = account + with_.identity().host_;
    std::sort(
        other_zones.begin(),
        other_zones.end(),
        [&](const core::host_id& left, const core::host_id& right)
        {
            return core::stable_hash(salt + left) <
                   core::stable_hash(salt + right);
        });
    candidates.insert(candidates.end(), other_zones.begin(), other_zones.end());
    const auto last = last_donor_.find(account);
    if (last != last_donor_.end())
    {
        const auto found =
            std::find(candidates.begin(), candidates.end(), last->second);
        if (found != candidates.end())
        {
            std::rotate(candidates.begin(), found, found + 1);
        }
    }
    candidates.resize(std::min(candidates.size(), max_donors));
    return candidates;
}

awaitable<policy::token_transfer> escrow_controller::request_transfer(
    core::host_id host, token_transfer_request request)
{
    policy::token_transfer transfer{host, 0, 0, core::steady_now()};
    const auto address = with_.address_of(host);
    if (!address)
    {
        co_return transfer;
    }
    const auto reply = co_await ask<token_transfer_reply>(
        with_.peers_,
        *address,
        method::transfer_tokens,
        request,
        transfer_timeout);
    if (core::is_ok(reply))
    {
        transfer.tokens_ = core::value(reply).tokens_;
        transfer.donor_rate_ = core::value(reply).rate_;
    }
    co_return transfer;
}

awaitable<bool> escrow_controller::charge_with_transfers(
    core::account_id account, std::int64_t tokens, std::int64_t missing)
{
    std::vector<policy::token_transfer> transfers;
    for (const core::host_id& host : donors(account))
    {
        const token_transfer_request request{
            account,
            shares().amount_to_request(account, missing),
            shares().wish(account, core::steady_now())};
        const policy::token_transfer transfer =
            co_await request_transfer(host, request);
        if (transfer.tokens_ == 0)
        {
            continue;
        }
        with_.metrics_.count(
            "poplarroute_tokens_moved_total",
            {{"account", account}},
            static_cast<double>(transfer.tokens_));
        transfers.push_back(transfer);
        missing = shares().pay_with_transfers(
            account, transfers, tokens, core::steady_now());
        if (missing == 0)
        {
            last_donor_[account] = host;
            co_return true;
        }
    }
    std::int64_t gathered = 0;
    for (const policy::token_transfer& item : transfers)
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
         {"givers", transfers.size()}});
    // The tokens do not suffice for this request, and their donors may need
    // them.
    last_donor_.erase(account);
    return_tokens(account, transfers);
    co_return false;
}

void escrow_controller::return_tokens(
    const core::account_id& account,
    const std::vector<policy::token_transfer>& transfers)
{
    for (const policy::token_transfer& item : transfers)
    {
        const auto address = with_.address_of(item.donor_);
        const std::int64_t unused = item.usable(core::steady_now());
        if (address && unused > 0)
        {
            drivers::spawn_task(
                with_.io_,
                "send_returned_tokens",
                send_returned_tokens(*address, {account, unused}));
        }
    }
}

awaitable<void> escrow_controller::send_returned_tokens(
    std::string address, token_return_request request)
{
    // Tokens that are lost on the way stay lost: they are never sent twice.
    co_await ask<empty_reply>(
        with_.peers_,
        std::move(address),
        method::give_back,
        std::move(request),
        transfer_timeout);
}

awaitable<charge_outcome> escrow_controller::charge(
    core::account_id account, std::int64_t tokens, core::duration max_wait)
{
    const core::time_point deadline = core::steady_now() + max_wait;
    for (;;)
    {
        core::time_point now = core::steady_now();
        std::int64_t missing = shares().charge(account, tokens, now);
        if (missing > 0 && now >= no_transfers_until_[account])
        {
            const bool paid =
                co_await charge_with_transfers(account, tokens, missing);
            now = core::steady_now();
            missing = paid ? 0 : missing;
            if (!paid)
            {
                no_transfers_until_[account] = now + failed_transfer_delay;
            }
        }
        if (missing == 0)
        {
            co_return charge_outcome{true, {}};
        }
        if (now + retry_interval >= deadline)
        {
            co_return charge_outcome{
                false, shares().wait_for(account, tokens, now)};
        }
        co_await drivers::sleep_for(retry_interval);
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
