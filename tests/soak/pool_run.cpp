#include "tests/soak/pool_run.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "policy/pool_scheduler.hpp"

namespace poplarroute::tests::soak
{

namespace
{

using core::attempt_id;

constexpr std::int64_t step_ms = 10;
constexpr std::int64_t report_lag_steps = 20;
constexpr std::int64_t report_every_steps = 20;
constexpr std::int64_t renew_every_steps = 200;
constexpr std::int64_t cold_ms = 4'000;
constexpr std::int64_t pieces_per_engine = 40;
constexpr std::int64_t requests_per_engine = 20;
constexpr std::int64_t takeover_ms = 3'000;
constexpr std::uint64_t quiet_steps = 3'000;

/// An engine that keeps the true account of its memory.
struct engine
{
    std::string name_;
    bool prefills_ = false;
    int boot_ = 1;
    std::int64_t booted_ms_ = -1'000'000;
    std::map<attempt_id, std::int64_t> held_;
    std::deque<policy::endpoint_report> reports_;
    bool leaving_ = false;
    std::int64_t left_ms_ = 0;
    int borne_since_boot_ = 0;
};

/// A request as its entry host sees it.
struct request
{
    policy::pool_request item_;
    std::int64_t asked_ms_ = 0;
    std::string prefill_;
    std::string decode_;
    bool granted_ = false;
    bool promised_ = false;
    bool decoding_ = false;
    bool waits_ = false;
    std::int64_t next_ms_ = 0;
    bool host_dead_ = false;
    int prefill_boot_ = 0;
    int decode_boot_ = 0;
};

class pool_run
{
public:
    pool_run(std::uint64_t seed, counts& into) : random_(seed), counts_(into)
    {
        for (int at = 0; at < 5; ++at)
        {
            engine made;
            made.name_ = "e" + std::to_string(at);
            made.prefills_ = at < 2;
            engines_[made.name_] = made;
        }
        make_owner(0);
    }

    void run(std::uint64_t steps)
    {
        for (std::uint64_t at = 0; at < steps + quiet_steps; ++at)
        {
            quiet_ = at >= steps;
            one_step();
        }
        for (const auto& [name, of] : engines_)
        {
            require(
                of.held_.empty(),
                "no engine memory stays held by requests that are gone");
        }
        require(requests_.empty(), "every request comes to an end");
        counts_["pool steps"] += steps + quiet_steps;
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

    void make_owner(std::int64_t wait_ms)
    {
        owner_ = std::make_unique<policy::pool_scheduler>(
            policy::reserve_ahead(), now() + core::duration{wait_ms});
        set_endpoints();
    }

    void set_endpoints()
    {
        std::vector<policy::endpoint_config> facts;
        for (const auto& [name, of] : engines_)
        {
            policy::endpoint_config item;
            item.name_ = name;
            item.kind_ = of.prefills_ ? policy::work_kind::prefill_only
                                      : policy::work_kind::decode_only;
            item.pieces_ = pieces_per_engine;
            item.requests_ = requests_per_engine;
            item.leaving_ = of.leaving_;
            facts.push_back(item);
        }
        perform(owner_->set_endpoints(facts, now()));
    }

    void one_step()
    {
        now_ms_ += step_ms;
        ++step_;
        if (!quiet_)
        {
            make_faults();
            ask_some();
        }
        report();
        move_requests();
        if (step_ % renew_every_steps == 0)
        {
            renew();
        }
        for (const attempt_id& attempt : transferred_)
        {
            perform(owner_->transferred(attempt, now()));
        }
        transferred_.clear();
        perform(owner_->tick(now()));
        check_waiting();
    }

    void ask_some()
    {
        if (!chance(6))
        {
            return;
        }
        request made;
        made.item_.attempt_ = {
            "h" + std::to_string(below(3)), incarnation_, ++next_attempt_};
        made.item_.account_ = "a" + std::to_string(below(4));
        made.item_.interactive_ = chance(2);
        made.item_.alone_ = chance(60);
        made.item_.prompt_tokens_ = 50 + below(2'500);
        made.item_.output_tokens_ = 20 + below(200);
        made.item_.pieces_ = 1 + below(4);
        made.item_.arrived_ = now();
        made.item_.first_token_deadline_ =
            now() + core::duration{made.item_.interactive_ ? 1'500 : 8'000};
        made.asked_ms_ = now_ms_;
        const attempt_id attempt = made.item_.attempt_;
        requests_[attempt] = made;
        ++counts_["requests asked"];
        perform(owner_->ask(requests_[attempt].item_, now()));
    }

    void perform(const std::vector<policy::pool_action>& actions)
    {
        for (const policy::pool_action& action : actions)
        {
            std::visit(
                [&](const auto& typed)
                {
                    on(typed);
                },
                action);
        }
    }

    void on(const policy::grant& given)
    {
        const auto found = requests_.find(given.attempt_);
        if (found == requests_.end())
        {
            return;
        }
        request& of = found->second;
        of.granted_ = true;
        of.promised_ = given.promised_;
        of.prefill_ = given.prefill_;
        of.decode_ = given.decode_;
        counts_["promises"] += given.promised_ ? 1 : 0;
        ++counts_["grants"];
        for (const std::string& name : {of.prefill_, of.decode_})
        {
            require(
                !engines_[name].leaving_,
                "a leaving endpoint gets no new work");
        }
        of.prefill_boot_ = engines_[of.prefill_].boot_;
        of.decode_boot_ = engines_[of.decode_].boot_;
        take(engines_[of.prefill_], of);
        of.next_ms_ = now_ms_ + of.item_.prompt_tokens_ / 20 + 5;
    }

    void on(const policy::refusal& no)
    {
        ++counts_["refusals"];
        requests_.erase(no.attempt_);
    }

    void on(const policy::confirmation& free)
    {
        const auto found = requests_.find(free.attempt_);
        if (found != requests_.end())
        {
            found->second.waits_ = false;
            found->second.promised_ = false;
            start_decode(found->second);
        }
    }

    void on(const policy::orphan& left)
    {
        ++counts_["orphans cancelled"];
        engines_[left.endpoint_].held_.erase(left.attempt_);
    }

    /// What the engine and its owner think, for a message.
    std::string describe(const engine& of) const
    {
        std::string out = of.name_ +
                          " age_ms=" + std::to_string(now_ms_ - of.booted_ms_) +
                          " holds";
        for (const auto& [attempt, pieces] : of.held_)
        {
            const bool lives = requests_.count(attempt) != 0;
            out += " " + to_string(attempt) + ":" + std::to_string(pieces) +
                   (lives ? "" : "(gone)");
        }
        for (const policy::endpoint_status& seen : owner_->status(now()))
        {
            if (seen.name_ == of.name_)
            {
                out +=
                    "; owner sees used=" + std::to_string(seen.used_pieces_) +
                    " running=" + std::to_string(seen.running_) +
                    " window=" + std::to_string(seen.window_);
            }
        }
        return out;
    }

    void take(engine& of, const request& who)
    {
        of.held_[who.item_.attempt_] = who.item_.pieces_;
        std::int64_t used = 0;
        for (const auto& [attempt, pieces] : of.held_)
        {
            used += pieces;
        }
        require(
            used <= pieces_per_engine,
            "an engine's memory is not given out twice: " + describe(of));
        const std::int64_t age = now_ms_ - of.booted_ms_;
        const std::int64_t borne = 2 + 2 * (age / 1'000);
        if (age < cold_ms)
        {
            require(
                static_cast<std::int64_t>(of.held_.size()) <= borne,
                "an endpoint in cold start gets no more than it can bear: " +
                    describe(of));
            ++counts_["grants in cold start"];
        }
    }

    void start_decode(request& of)
    {
        engines_[of.prefill_].held_.erase(of.item_.attempt_);
        if (engines_[of.decode_].boot_ == of.decode_boot_)
        {
            take(engines_[of.decode_], of);
        }
        of.decoding_ = true;
        transferred_.push_back(of.item_.attempt_);
        of.next_ms_ = now_ms_ + 10 * (1 + below(of.item_.output_tokens_));
    }

    /// \return whether an engine this request uses has restarted meanwhile.
    std::string lost_engine(const request& of)
    {
        if (!of.decoding_ && engines_[of.prefill_].boot_ != of.prefill_boot_)
        {
            return of.prefill_;
        }
        const bool lost = engines_[of.decode_].boot_ != of.decode_boot_;
        return lost ? of.decode_ : std::string();
    }

    void move_requests()
    {
        std::vector<attempt_id> due;
        for (const auto& [attempt, of] : requests_)
        {
            if (of.granted_ && !of.host_dead_)
            {
                due.push_back(attempt);
            }
        }
        for (const attempt_id& attempt : due)
        {
            const auto found = requests_.find(attempt);
            if (found != requests_.end())
            {
                move(found->second);
            }
        }
    }

    void move(request& of)
    {
        const std::string lost = lost_engine(of);
        if (!lost.empty())
        {
            finish(of, lost);
            return;
        }
        if (of.waits_ && now_ms_ > of.next_ms_)
        {
            ++counts_["promises broken"];
            finish(of, "");
            return;
        }
        if (of.waits_ || now_ms_ < of.next_ms_)
        {
            return;
        }
        if (of.decoding_)
        {
            ++counts_["requests completed"];
            finish(of, "");
            return;
        }
        if (!of.promised_)
        {
            start_decode(of);
            return;
        }
        of.waits_ = true;
        of.next_ms_ = now_ms_ + 600;
        perform(owner_->place_decode(of.item_.attempt_, now()));
    }

    void finish(request& of, const std::string& lost)
    {
        policy::ending how;
        how.attempt_ = of.item_.attempt_;
        how.completed_ = lost.empty() && of.decoding_;
        how.endpoint_lost_ = !lost.empty();
        how.lost_endpoint_ = lost;
        const attempt_id attempt = of.item_.attempt_;
        requests_.erase(attempt);
        // The entry host cancels at the engines first; a cancel may be lost.
        how.freed_ = quiet_ || !chance(20);
        if (how.freed_)
        {
            for (auto& [name, on] : engines_)
            {
                on.held_.erase(attempt);
            }
        }
        else
        {
            ++counts_["cancels lost"];
        }
        if (!quiet_ && chance(25))
        {
            ++counts_["endings lost"];
            return;
        }
        perform(owner_->end(how, now()));
    }

    void renew()
    {
        for (const auto& [attempt, of] : requests_)
        {
            if (of.granted_ && !of.host_dead_)
            {
                // Memory that is only promised is not held: a new owner must
                // not take it for given.
                owner_->renew(
                    attempt,
                    of.promised_ ? std::string() : of.decode_,
                    of.item_.pieces_,
                    now());
            }
        }
    }

    void report()
    {
        for (auto& [name, of] : engines_)
        {
            policy::endpoint_report fresh;
            fresh.endpoint_ = name;
            fresh.boot_ = std::to_string(of.boot_);
            for (const auto& [attempt, pieces] : of.held_)
            {
                fresh.held_.push_back({attempt, pieces});
            }
            of.reports_.push_back(std::move(fresh));
            while (of.reports_.size() > report_lag_steps)
            {
                of.reports_.pop_front();
            }
            if (step_ % report_every_steps == 0 && (quiet_ || !chance(10)))
            {
                perform(owner_->report(of.reports_.front(), now()));
            }
        }
    }

    void make_faults()
    {
        if (chance(700))
        {
            auto found = engines_.begin();
            std::advance(found, below(5));
            engine& of = found->second;
            ++of.boot_;
            of.booted_ms_ = now_ms_;
            of.held_.clear();
            of.reports_.clear();
            // The owner's kept connection to it is reset.
            owner_->on_connection_lost(of.name_);
            ++counts_["engine restarts"];
        }
        if (chance(900))
        {
            auto found = engines_.begin();
            std::advance(found, below(5));
            found->second.leaving_ = !found->second.leaving_;
            set_endpoints();
            ++counts_["endpoints leaving or back"];
        }
        if (chance(1'500))
        {
            kill_host();
        }
        if (chance(1'500))
        {
            // The owner stalled: another host, or itself, begins again.
            for (auto item = requests_.begin(); item != requests_.end();)
            {
                item = item->second.granted_ ? std::next(item)
                                             : requests_.erase(item);
            }
            make_owner(takeover_ms);
            renew();
            ++counts_["owners replaced"];
        }
    }

    void kill_host()
    {
        const std::string host = "h" + std::to_string(below(3));
        for (auto item = requests_.begin(); item != requests_.end();)
        {
            item = item->first.host_ == host ? requests_.erase(item)
                                             : std::next(item);
        }
        perform(owner_->host_gone(host, incarnation_, now()));
        ++incarnation_;
        ++counts_["entry hosts killed"];
    }

    void check_waiting()
    {
        for (const auto& [attempt, of] : requests_)
        {
            const bool late =
                !of.granted_ &&
                now_ms_ > of.item_.first_token_deadline_.ms_ + 5 * step_ms;
            require(!late, "a request is granted or refused in time");
        }
    }

    std::mt19937_64 random_;
    counts& counts_;
    std::int64_t now_ms_ = 1;
    std::int64_t step_ = 0;
    bool quiet_ = false;
    std::map<std::string, engine> engines_;
    std::map<attempt_id, request> requests_;
    std::unique_ptr<policy::pool_scheduler> owner_;
    std::vector<attempt_id> transferred_;
    std::uint64_t next_attempt_ = 0;
    std::uint64_t incarnation_ = 1;
};

} // namespace

void run_pool(std::uint64_t seed, std::uint64_t steps, counts& into)
{
    pool_run(seed, into).run(steps);
}

} // namespace poplarroute::tests::soak
