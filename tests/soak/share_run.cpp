#include "tests/soak/share_run.hpp"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "control/directory.hpp"
#include "policy/escrow.hpp"

namespace poplarroute::tests::soak
{

namespace
{

constexpr std::int64_t step_ms = 5;
constexpr std::size_t host_count = 6;
constexpr const char* account = "a";
constexpr std::int64_t millitokens_per_token = 1'000;
/// Each period begins with quiet steps, which have no faults and few charges.
constexpr std::int64_t period_steps = 4'000;
constexpr std::int64_t quiet_steps = 3'000;

/// Token bucket of the whole account, in millitokens. It observes every grant
/// at the moment at which a request is paid.
class account_bucket
{
public:
    /// Sets the largest of the limits that may be in force at once. All grants
    /// must fit it, since a host that does not know a new limit yet still uses
    /// the old one.
    void set_limit(std::int64_t rate, std::int64_t burst)
    {
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_ * millitokens_per_token);
    }

    void refill(std::int64_t elapsed_ms)
    {
        level_ = std::min(
            level_ + elapsed_ms * rate_, burst_ * millitokens_per_token);
    }

    /// \param tokens negative for tokens that were returned.
    void grant(std::int64_t tokens)
    {
        level_ = std::min(
            level_ - tokens * millitokens_per_token,
            burst_ * millitokens_per_token);
        require(
            level_ >= 0,
            "no account gets more than its rate and burst across all hosts");
    }

private:
    std::int64_t rate_ = 0;
    std::int64_t burst_ = 0;
    std::int64_t level_ = 0;
};

/// A simulated host with its shares and its copy of the directory.
struct simulated_host
{
    std::string name_;
    std::unique_ptr<policy::escrow> escrow_;
    control::directory directory_;
    bool is_confirmed_ = true;
    bool is_partitioned_ = false;
};

/// A request that collects token transfers from other hosts, as
/// escrow_controller does.
struct pending_charge
{
    std::size_t host_index_ = 0;
    std::int64_t cost_ = 0;
    std::vector<policy::token_transfer> transfers_;
    std::int64_t due_ms_ = 0;
    std::size_t asked_host_count_ = 0;
};

/// Tokens that are on their way back to their donor.
struct token_return
{
    std::size_t host_index_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t due_ms_ = 0;
};

class share_run
{
public:
    share_run(std::uint64_t seed, event_counts& counts)
        : random_(seed), counts_(counts)
    {
        for (std::size_t index = 0; index < host_count; ++index)
        {
            hosts_.push_back({"h" + std::to_string(index)});
            hosts_.back().escrow_ = std::make_unique<policy::escrow>();
        }
        submit(rate_, burst_, host_count);
        max_limit_ = {rate_, burst_};
        account_bucket_.set_limit(rate_, burst_);
        for (simulated_host& host : hosts_)
        {
            apply_latest_directory(host);
        }
    }

    void run(std::uint64_t steps)
    {
        for (std::uint64_t step = 0; step < steps; ++step)
        {
            now_ms_ += step_ms;
            account_bucket_.refill(step_ms);
            submit_charges();
            deliver();
            inject_faults();
            settle_shares_if_confirmed();
        }
        counts_["share steps"] += steps;
    }

private:
    /// \return true with a probability of 1 / count.
    bool one_in(int count)
    {
        return random_() % static_cast<std::uint64_t>(count) == 0;
    }

    std::int64_t random_below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(bound));
    }

    core::time_point now() const
    {
        return {now_ms_};
    }

    /// Commits a configuration as the control group does.
    void submit(std::int64_t rate, std::int64_t burst, std::size_t hosts)
    {
        std::string text =
            "[organisation]\nname = S\n[availability_zone z]\nregion = r\n"
            "[account a]\nrate = " +
            std::to_string(rate) + "\nburst = " + std::to_string(burst) + "\n";
        for (std::size_t index = 0; index < hosts; ++index)
        {
            text += "[host h" + std::to_string(index) +
                    "]\navailability_zone = z\npeer = 127.0.0.1:" +
                    std::to_string(index + 1) + "\n";
        }
        control::submit_configuration command;
        command.base_ = committed_.configuration_version();
        command.text_ = text;
        const auto reply = committed_.apply(command);
        require(
            reply.verdict_ == control::verdict::accepted,
            "a configuration is accepted: " + reply.message_);
        max_limit_.rate_ = std::max(max_limit_.rate_, rate);
        max_limit_.burst_ = std::max(max_limit_.burst_, burst);
        rate_ = rate;
        burst_ = burst;
        // While old and new limits may both be in use, the larger one applies.
        account_bucket_.set_limit(max_limit_.rate_, max_limit_.burst_);
        ++counts_["limits changed"];
    }

    void apply_latest_directory(simulated_host& host)
    {
        host.directory_ = committed_;
        host.is_confirmed_ = true;
        const control::limit host_share =
            host.directory_.share_of(host.name_, account);
        host.escrow_->set_share(
            account, {host_share.rate_, host_share.burst_}, now());
    }

    void restart(simulated_host& host)
    {
        host.escrow_ = std::make_unique<policy::escrow>();
        // The host may come back with an old directory and is not confirmed:
        // its own share is zero until the control group confirms its version.
        host.is_confirmed_ = false;
        host.escrow_->set_share(account, {0, 0}, now());
        ++counts_["restarts"];
    }

    bool is_quiet() const
    {
        return now_ms_ / step_ms % period_steps < quiet_steps;
    }

    void submit_charges()
    {
        // In quiet periods the buckets fill up; a burst that then takes nearly
        // all tokens reveals any token too many.
        const bool is_quiet_now = is_quiet();
        if (is_quiet_now && !one_in(1'000))
        {
            return;
        }
        const std::size_t index =
            static_cast<std::size_t>(random_below(host_count));
        simulated_host& host = hosts_[index];
        const std::int64_t cost =
            is_quiet_now ? burst_ - random_below(burst_ / 20)
                         : 1 + random_below(burst_ / (one_in(4) ? 3 : 60));
        const std::int64_t missing = host.escrow_->charge(account, cost, now());
        if (missing == 0)
        {
            account_bucket_.grant(cost);
            ++counts_["charges paid"];
            if (one_in(4))
            {
                // Half of the cost is refunded later. Until then the account's
                // bucket counts it as granted, which is the stricter check.
                pending_refunds_.push_back({index, cost / 2});
            }
            return;
        }
        pending_charges_.push_back({index, cost, {}, now_ms_, 0});
        if (!pending_refunds_.empty() && one_in(3))
        {
            const auto [host_index, tokens] = pending_refunds_.back();
            pending_refunds_.pop_back();
            refund_charge(host_index, tokens);
        }
    }

    void refund_charge(std::size_t index, std::int64_t tokens)
    {
        hosts_[index].escrow_->refund(account, tokens, now());
        account_bucket_.grant(-tokens);
        ++counts_["refunds"];
    }

    /// Asks the next host for tokens; its reply is delayed or lost.
    void request_transfer(pending_charge& pending)
    {
        const std::size_t donor_index =
            (pending.host_index_ + ++pending.asked_host_count_) % host_count;
        simulated_host& donor_host = hosts_[donor_index];
        pending.due_ms_ =
            now_ms_ + random_below(is_quiet() || one_in(8) ? 400 : 10);
        if (donor_host.is_partitioned_ !=
            hosts_[pending.host_index_].is_partitioned_)
        {
            return;
        }
        policy::token_transfer received{donor_host.name_, 0, 0, now()};
        received.donor_rate_ = donor_host.escrow_->share(account).rate_;
        received.tokens_ = donor_host.escrow_->donate(
            account,
            pending.cost_,
            hosts_[pending.host_index_].escrow_->wish(account, now()),
            now());
        ++counts_["transfers"];

        if (one_in(10))
        {
            ++counts_["transfers lost"];
            return;
        }
        pending.transfers_.push_back(received);
    }

    void deliver()
    {
        std::vector<pending_charge> unfinished_charges;
        for (pending_charge& pending : pending_charges_)
        {
            if (pending.due_ms_ > now_ms_ || !continue_charge(pending))
            {
                unfinished_charges.push_back(pending);
            }
        }
        pending_charges_ = std::move(unfinished_charges);
        std::erase_if(
            token_returns_,
            [&](const token_return& item)
            {
                if (item.due_ms_ > now_ms_)
                {
                    return false;
                }
                return_tokens(item);
                return true;
            });
    }

    /// \return whether the request is over.
    bool continue_charge(pending_charge& pending)
    {
        policy::escrow& escrow = *hosts_[pending.host_index_].escrow_;
        if (escrow.pay_with_transfers(
                account, pending.transfers_, pending.cost_, now()) == 0)
        {
            account_bucket_.grant(pending.cost_);
            spend_remaining();
            ++counts_["charges paid with transfers"];
            return true;
        }
        if (pending.asked_host_count_ < host_count - 1)
        {
            request_transfer(pending);
            return false;
        }
        for (const policy::token_transfer& item : pending.transfers_)
        {
            const auto donor_index =
                static_cast<std::size_t>(item.donor_.back() - '0');
            token_returns_.push_back(
                {donor_index, item.usable(now()), now_ms_ + random_below(20)});
        }
        ++counts_["collections given up"];
        return true;
    }

    /// In quiet periods, spends all tokens that are left at once, which reveals
    /// any token too many.
    void spend_remaining()
    {
        if (!is_quiet())
        {
            return;
        }
        for (simulated_host& host : hosts_)
        {
            const std::int64_t available = host.escrow_->level(account, now());
            if (available > 0 &&
                host.escrow_->charge(account, available, now()) == 0)
            {
                account_bucket_.grant(available);
            }
        }
        ++counts_["full bursts spent"];
    }

    void return_tokens(const token_return& item)
    {
        hosts_[item.host_index_].escrow_->refund(account, item.tokens_, now());
    }

    void inject_faults()
    {
        if (is_quiet())
        {
            for (simulated_host& host : hosts_)
            {
                host.is_partitioned_ = false;
                if (host.directory_.version() != committed_.version())
                {
                    apply_latest_directory(host);
                }
            }
            return;
        }
        if (one_in(500))
        {
            submit(
                100 + random_below(2'000),
                1'000 + random_below(20'000),
                1 + static_cast<std::size_t>(random_below(host_count)));
        }
        if (one_in(300))
        {
            restart(hosts_[static_cast<std::size_t>(random_below(host_count))]);
        }
        if (one_in(400))
        {
            simulated_host& host =
                hosts_[static_cast<std::size_t>(random_below(host_count))];
            host.is_partitioned_ = !host.is_partitioned_;
            ++counts_["share partitions"];
        }
        if (one_in(10))
        {
            simulated_host& host =
                hosts_[static_cast<std::size_t>(random_below(host_count))];
            if (!host.is_partitioned_)
            {
                apply_latest_directory(host);
            }
        }
    }

    /// Settles the shares once every host has confirmed the latest version, as
    /// the leader does.
    void settle_shares_if_confirmed()
    {
        if (committed_.epochs().size() < 2)
        {
            return;
        }
        const std::uint64_t version = committed_.epochs().back().version_;
        for (const simulated_host& host : hosts_)
        {
            if (!host.is_confirmed_ || host.directory_.version() < version)
            {
                return;
            }
        }
        control::settle_shares command;
        command.version_ = version;
        committed_.apply(command);
        max_limit_ = {rate_, burst_};
        account_bucket_.set_limit(rate_, burst_);
        ++counts_["shares settled"];
    }

    struct account_limit
    {
        std::int64_t rate_ = 0;
        std::int64_t burst_ = 0;
    };

    std::mt19937_64 random_;
    event_counts& counts_;
    std::int64_t now_ms_ = 1;
    std::vector<simulated_host> hosts_;
    control::directory committed_;
    account_bucket account_bucket_;
    std::int64_t rate_ = 1'000;
    std::int64_t burst_ = 10'000;
    account_limit max_limit_;
    std::vector<pending_charge> pending_charges_;
    std::vector<token_return> token_returns_;
    std::vector<std::pair<std::size_t, std::int64_t>> pending_refunds_;
};

} // namespace

void run_share(std::uint64_t seed, std::uint64_t steps, event_counts& counts)
{
    share_run(seed, counts).run(steps);
}

} // namespace poplarroute::tests::soak
