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

/// The whole account's bucket, in millitokens, kept by an observer that sees
/// every grant at the moment its tokens left a host's share.
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

/// A gift on its way: it counts as granted when it left its giver.
struct gift
{
    std::size_t to_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t giver_rate_ = 0;
    std::int64_t sent_ms_ = 0;
    std::int64_t due_ms_ = 0;
    std::int64_t price_ = 0;
};

class share_run
{
public:
    share_run(std::uint64_t seed, counts& into) : random_(seed), counts_(into)
    {
        for (std::size_t at = 0; at < host_count; ++at)
        {
            hosts_.push_back({"h" + std::to_string(at)});
            hosts_.back().shares_ = std::make_unique<policy::escrow>(now());
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
        of.shares_ = std::make_unique<policy::escrow>(now());
        // It may come back with an old directory and is not confirmed: its
        // own share is nothing until the control group has spoken.
        of.confirmed_ = false;
        of.shares_->set_share(account, {0, 0}, now());
        ++counts_["restarts"];
    }

    void charge_some()
    {
        const std::size_t at = static_cast<std::size_t>(below(host_count));
        host& of = hosts_[at];
        const std::int64_t price = 1 + below(burst_ / (chance(4) ? 3 : 60));
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
        ask(at, price, missing);
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

    void ask(std::size_t to, std::int64_t price, std::int64_t missing)
    {
        const std::size_t from = static_cast<std::size_t>(below(host_count));
        host& giver = hosts_[from];
        if (from == to || giver.cut_ != hosts_[to].cut_)
        {
            return;
        }
        gift sent;
        sent.to_ = to;
        sent.price_ = price;
        sent.sent_ms_ = now_ms_;
        sent.giver_rate_ = giver.shares_->share(account).rate_;
        sent.tokens_ = giver.shares_->give(
            account, missing, hosts_[to].shares_->wish(account, now()), now());
        ++counts_["gifts"];
        whole_.grant(sent.tokens_);
        if (chance(10))
        {
            ++counts_["gifts lost"];
            return;
        }
        sent.due_ms_ = now_ms_ + below(chance(8) ? 400 : 10);
        flying_.push_back(sent);
    }

    void deliver()
    {
        std::vector<gift> later;
        std::vector<gift> due;
        for (const gift& item : flying_)
        {
            (item.due_ms_ <= now_ms_ ? due : later).push_back(item);
        }
        flying_ = std::move(later);
        for (const gift& item : due)
        {
            receive(item);
        }
    }

    void receive(const gift& item)
    {
        host& of = hosts_[item.to_];
        // The answer of a call is taken once: HTTP/2 delivers no frame twice.
        const core::duration flight{now_ms_ - item.sent_ms_ + 1};
        const std::int64_t before = of.shares_->level(account, now());
        const std::int64_t missing = of.shares_->receive(
            account,
            item.tokens_,
            item.giver_rate_,
            flight,
            item.price_,
            now());
        const std::int64_t after = of.shares_->level(account, now());
        // Of the gift, which was counted when it left, so much came back.
        whole_.grant(before - after);
        if (missing == 0)
        {
            ++counts_["charges paid with gifts"];
        }
    }

    void change_some()
    {
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
    std::vector<gift> flying_;
    std::vector<std::pair<std::size_t, std::int64_t>> unused_;
};

} // namespace

void run_share(std::uint64_t seed, std::uint64_t steps, counts& into)
{
    share_run(seed, into).run(steps);
}

} // namespace poplarroute::tests::soak
