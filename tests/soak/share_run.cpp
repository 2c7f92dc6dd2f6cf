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
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t cycle_steps = 4'000;
constexpr std::int64_t quiet_steps = 3'000;

/// The whole account's bucket, in millitokens, kept by an observer that sees
/// every grant at the moment a request is paid.
class observer
{
public:
    /// The limits that may be in force at once: any grant must fit the
    /// largest, since an old limit may still be used where a new one is not
    /// yet known.
    void set_limit(std::int64_t rate, std::int64_t burst)
    {
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_ * milli);
    }

    void pass(std::int64_t ms)
    {
        level_ = std::min(level_ + ms * rate_, burst_ * milli);
    }

    /// \param tokens less than nothing for tokens that came back.
    void grant(std::int64_t tokens)
    {
        level_ = std::min(level_ - tokens * milli, burst_ * milli);
        require(
            level_ >= 0,
            "no account gets more than its rate and burst across all hosts");
    }

private:
    std::int64_t rate_ = 0;
    std::int64_t burst_ = 0;
    std::int64_t level_ = 0;
};

struct host
{
    std::string name_;
    std::unique_ptr<policy::escrow> shares_;
    control::directory fleet_;
    bool confirmed_ = true;
    bool cut_ = false;
};

/// A request that gathers gifts at a host, as escrow_controller does.
struct gathering
{
    std::size_t to_ = 0;
    std::int64_t price_ = 0;
    std::vector<policy::token_transfer> gifts_;
    std::int64_t due_ms_ = 0;
    std::size_t asked_ = 0;
};

/// Tokens on their way back to their giver.
struct returning
{
    std::size_t to_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t due_ms_ = 0;
};

class share_run
{
public:
    share_run(std::uint64_t seed, counts& into) : random_(seed), counts_(into)
    {
        for (std::size_t at = 0; at < host_count; ++at)
        {
            hosts_.push_back({"h" + std::to_string(at)});
            hosts_.back().shares_ = std::make_unique<policy::escrow>();
        }
        submit(rate_, burst_, host_count);
        largest_ = {rate_, burst_};
        whole_.set_limit(rate_, burst_);
        for (host& of : hosts_)
        {
            follow(of);
        }
    }

    void run(std::uint64_t steps)
    {
        for (std::uint64_t at = 0; at < steps; ++at)
        {
            now_ms_ += step_ms;
            whole_.pass(step_ms);
            charge_some();
            deliver();
            change_some();
            settle();
        }
        counts_["share steps"] += steps;
    }

private:
    bool chance(int in)
    {
        return random_() % static_cast<std::uint64_t>(in) == 0;
    }

    std::int64_t below(std::int64_t most)
    {
        return static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(most));
    }

    core::time_point now() const
    {
        return {now_ms_};
    }

    /// Commits a configuration in the control group.
    void submit(std::int64_t rate, std::int64_t burst, std::size_t hosts)
    {
        std::string text =
            "[organisation]\nname = S\n[availability_zone z]\nregion = r\n"
            "[account a]\nrate = " +
            std::to_string(rate) + "\nburst = " + std::to_string(burst) + "\n";
        for (std::size_t at = 0; at < hosts; ++at)
        {
            text += "[host h" + std::to_string(at) +
                    "]\navailability_zone = z\npeer = 127.0.0.1:" +
                    std::to_string(at + 1) + "\n";
        }
        control::submit_configuration order;
        order.base_ = truth_.configuration_version();
        order.text_ = text;
        const auto reply = truth_.apply(order);
        require(
            reply.verdict_ == control::verdict::accepted,
            "a configuration is accepted: " + reply.message_);
        largest_.rate_ = std::max(largest_.rate_, rate);
        largest_.burst_ = std::max(largest_.burst_, burst);
        rate_ = rate;
        burst_ = burst;
        // While old and new limits may both be in use, the larger one binds.
        whole_.set_limit(largest_.rate_, largest_.burst_);
        ++counts_["limits changed"];
    }

    void follow(host& of)
    {
        of.fleet_ = truth_;
        of.confirmed_ = true;
        const control::limit share = of.fleet_.share_of(of.name_, account);
        of.shares_->set_share(account, {share.rate_, share.burst_}, now());
    }

    void restart(host& of)
    {
        of.shares_ = std::make_unique<policy::escrow>();
        // It may come back with an old directory and is not confirmed: its
        // own share is nothing until the control group has spoken.
        of.confirmed_ = false;
        of.shares_->set_share(account, {0, 0}, now());
        ++counts_["restarts"];
    }

    bool is_quiet() const
    {
        return now_ms_ / step_ms % cycle_steps < quiet_steps;
    }

    void charge_some()
    {
        // In quiet times the buckets fill to the brim; then a burst that takes
        // nearly all of it shows any token too many.
        const bool quiet = is_quiet();
        if (quiet && !chance(1'000))
        {
            return;
        }
        const std::size_t at = static_cast<std::size_t>(below(host_count));
        host& of = hosts_[at];
        const std::int64_t price =
            quiet ? burst_ - below(burst_ / 20)
                  : 1 + below(burst_ / (chance(4) ? 3 : 60));
        const std::int64_t missing = of.shares_->charge(account, price, now());
        if (missing == 0)
        {
            whole_.grant(price);
            ++counts_["charges paid"];
            if (chance(4))
            {
                // A refund gives back what the observer saw as granted; the
                // observer keeps it as granted, which is the stricter view.
                unused_.push_back({at, price / 2});
            }
            return;
        }
        gathering_.push_back({at, price, {}, now_ms_, 0});
        if (!unused_.empty() && chance(3))
        {
            const auto [whom, tokens] = unused_.back();
            unused_.pop_back();
            refunded(whom, tokens);
        }
    }

    void refunded(std::size_t at, std::int64_t tokens)
    {
        hosts_[at].shares_->refund(account, tokens, now());
        whole_.grant(-tokens);
        ++counts_["refunds"];
    }

    /// Asks the next host for tokens; the answer arrives later or never.
    void ask_next(gathering& of)
    {
        const std::size_t from = (of.to_ + ++of.asked_) % host_count;
        host& giver = hosts_[from];
        of.due_ms_ = now_ms_ + below(is_quiet() || chance(8) ? 400 : 10);
        if (giver.cut_ != hosts_[of.to_].cut_)
        {
            return;
        }
        policy::token_transfer sent{giver.name_, 0, 0, now()};
        sent.donor_rate_ = giver.shares_->share(account).rate_;
        sent.tokens_ = giver.shares_->donate(
            account,
            of.price_,
            hosts_[of.to_].shares_->wish(account, now()),
            now());
        ++counts_["gifts"];

        if (chance(10))
        {
            ++counts_["gifts lost"];
            return;
        }
        of.gifts_.push_back(sent);
    }

    void deliver()
    {
        std::vector<gathering> still;
        for (gathering& of : gathering_)
        {
            if (of.due_ms_ > now_ms_ || !go_on(of))
            {
                still.push_back(of);
            }
        }
        gathering_ = std::move(still);
        std::erase_if(
            returning_,
            [&](const returning& item)
            {
                if (item.due_ms_ > now_ms_)
                {
                    return false;
                }
                put_back(item);
                return true;
            });
    }

    /// \return whether the request is over.
    bool go_on(gathering& of)
    {
        policy::escrow& shares = *hosts_[of.to_].shares_;
        if (shares.pay_with_transfers(account, of.gifts_, of.price_, now()) ==
            0)
        {
            whole_.grant(of.price_);
            spend_all();
            ++counts_["charges paid with gifts"];
            return true;
        }
        if (of.asked_ < host_count - 1)
        {
            ask_next(of);
            return false;
        }
        for (const policy::token_transfer& item : of.gifts_)
        {
            const auto giver =
                static_cast<std::size_t>(item.donor_.back() - '0');
            returning_.push_back(
                {giver, item.usable(now()), now_ms_ + below(20)});
        }
        ++counts_["gatherings given up"];
        return true;
    }

    /// Spends at once whatever is left, so that a token too many shows.
    void spend_all()
    {
        if (!is_quiet())
        {
            return;
        }
        for (host& of : hosts_)
        {
            const std::int64_t left = of.shares_->level(account, now());
            if (left > 0 && of.shares_->charge(account, left, now()) == 0)
            {
                whole_.grant(left);
            }
        }
        ++counts_["whole bursts spent"];
    }

    void put_back(const returning& item)
    {
        hosts_[item.to_].shares_->refund(account, item.tokens_, now());
    }

    void change_some()
    {
        if (is_quiet())
        {
            for (host& of : hosts_)
            {
                of.cut_ = false;
                if (of.fleet_.version() != truth_.version())
                {
                    follow(of);
                }
            }
            return;
        }
        if (chance(500))
        {
            submit(
                100 + below(2'000),
                1'000 + below(20'000),
                1 + static_cast<std::size_t>(below(host_count)));
        }
        if (chance(300))
        {
            restart(hosts_[static_cast<std::size_t>(below(host_count))]);
        }
        if (chance(400))
        {
            host& of = hosts_[static_cast<std::size_t>(below(host_count))];
            of.cut_ = !of.cut_;
            ++counts_["share cuts"];
        }
        if (chance(10))
        {
            host& of = hosts_[static_cast<std::size_t>(below(host_count))];
            if (!of.cut_)
            {
                follow(of);
            }
        }
    }

    /// The leader's duty: once every holder has confirmed, shares settle.
    void settle()
    {
        if (truth_.epochs().size() < 2)
        {
            return;
        }
        const std::uint64_t version = truth_.epochs().back().version_;
        for (const host& of : hosts_)
        {
            if (!of.confirmed_ || of.fleet_.version() < version)
            {
                return;
            }
        }
        control::settle_shares order;
        order.version_ = version;
        truth_.apply(order);
        largest_ = {rate_, burst_};
        whole_.set_limit(rate_, burst_);
        ++counts_["shares settled"];
    }

    struct limits
    {
        std::int64_t rate_ = 0;
        std::int64_t burst_ = 0;
    };

    std::mt19937_64 random_;
    counts& counts_;
    std::int64_t now_ms_ = 1;
    std::vector<host> hosts_;
    control::directory truth_;
    observer whole_;
    std::int64_t rate_ = 1'000;
    std::int64_t burst_ = 10'000;
    limits largest_;
    std::vector<gathering> gathering_;
    std::vector<returning> returning_;
    std::vector<std::pair<std::size_t, std::int64_t>> unused_;
};

} // namespace

void run_share(std::uint64_t seed, std::uint64_t steps, counts& into)
{
    share_run(seed, into).run(steps);
}

} // namespace poplarroute::tests::soak
