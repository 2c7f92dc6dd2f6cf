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
constexpr std::int64_t report_interval_steps = 20;
constexpr std::int64_t renewal_interval_steps = 200;
constexpr std::int64_t cold_start_ms = 4'000;
constexpr std::int64_t pieces_per_engine = 40;
constexpr std::int64_t requests_per_engine = 20;
constexpr std::int64_t takeover_wait_ms = 3'000;
constexpr std::uint64_t recovery_steps = 3'000;

/// A simulated engine. `held_` is its actual memory use, which the scheduler
/// knows only from reports.
struct simulated_engine
{
    std::string name_;
    bool prefills_ = false;
    /// Incremented at each restart.
    int boot_ = 1;
    std::int64_t started_ms_ = -1'000'000;
    std::map<attempt_id, std::int64_t> held_;
    std::deque<policy::endpoint_report> reports_;
    bool leaving_ = false;
    std::int64_t leaving_since_ms_ = 0;
    int requests_since_boot_ = 0;
};

/// A request as its entry host tracks it.
struct simulated_request
{
    policy::pool_request pool_request_;
    std::int64_t submitted_ms_ = 0;
    std::string prefill_;
    std::string decode_;
    bool granted_ = false;
    /// Decode memory is promised but not reserved yet.
    bool promised_ = false;
    bool is_decoding_ = false;
    bool waits_for_memory_ = false;
    /// Time of the next phase, or the time limit while it waits for memory.
    std::int64_t next_event_ms_ = 0;
    bool is_host_gone_ = false;
    int prefill_boot_ = 0;
    int decode_boot_ = 0;
};

class pool_run
{
public:
    pool_run(std::uint64_t seed, event_counts& counts)
        : random_(seed), counts_(counts)
    {
        for (int index = 0; index < 5; ++index)
        {
            simulated_engine engine;
            engine.name_ = "e" + std::to_string(index);
            engine.prefills_ = index < 2;
            engines_[engine.name_] = engine;
        }
        make_owner(0);
    }

    void run(std::uint64_t steps)
    {
        for (std::uint64_t step = 0; step < steps + recovery_steps; ++step)
        {
            faults_ended_ = step >= steps;
            advance_step();
        }
        for (const auto& [name, engine] : engines_)
        {
            require(
                engine.held_.empty(),
                "no engine memory stays held after its request has ended");
        }
        require(requests_.empty(), "every request comes to an end");
        counts_["pool steps"] += steps + recovery_steps;
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

    void make_owner(std::int64_t wait_ms)
    {
        owner_ = std::make_unique<policy::pool_scheduler>(
            policy::reserve_ahead(), now() + core::duration{wait_ms});
        set_endpoints();
    }

    void set_endpoints()
    {
        std::vector<policy::endpoint_config> facts;
        for (const auto& [name, engine] : engines_)
        {
            policy::endpoint_config item;
            item.name_ = name;
            item.kind_ = engine.prefills_ ? policy::work_kind::prefill_only
                                          : policy::work_kind::decode_only;
            item.pieces_ = pieces_per_engine;
            item.requests_ = requests_per_engine;
            item.leaving_ = engine.leaving_;
            facts.push_back(item);
        }
        perform(owner_->set_endpoints(facts, now()));
    }

    void advance_step()
    {
        now_ms_ += step_ms;
        ++step_;
        if (!faults_ended_)
        {
            inject_faults();
            submit_requests();
        }
        report();
        advance_requests();
        if (step_ % renewal_interval_steps == 0)
        {
            renew();
        }
        for (const attempt_id& attempt : transferred_)
        {
            perform(owner_->transferred(attempt, now()));
        }
        transferred_.clear();
        perform(owner_->tick(now()));
        check_deadlines();
    }

    void submit_requests()
    {
        if (!one_in(6))
        {
            return;
        }
        simulated_request request;
        request.pool_request_.attempt_ = {
            "h" + std::to_string(random_below(3)),
            incarnation_,
            ++next_attempt_};
        request.pool_request_.account_ = "a" + std::to_string(random_below(4));
        request.pool_request_.interactive_ = one_in(2);
        request.pool_request_.alone_ = one_in(60);
        request.pool_request_.prompt_tokens_ = 50 + random_below(2'500);
        request.pool_request_.output_tokens_ = 20 + random_below(200);
        request.pool_request_.pieces_ = 1 + random_below(4);
        request.pool_request_.arrived_ = now();
        request.pool_request_.first_token_deadline_ =
            now() +
            core::duration{request.pool_request_.interactive_ ? 1'500 : 8'000};
        request.submitted_ms_ = now_ms_;
        const attempt_id attempt = request.pool_request_.attempt_;
        requests_[attempt] = request;
        ++counts_["requests submitted"];
        perform(owner_->ask(requests_[attempt].pool_request_, now()));
    }

    void perform(const std::vector<policy::pool_action>& actions)
    {
        for (const policy::pool_action& action : actions)
        {
            std::visit(
                [&](const auto& event)
                {
                    on(event);
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
        simulated_request& request = found->second;
        request.granted_ = true;
        request.promised_ = given.promised_;
        request.prefill_ = given.prefill_;
        request.decode_ = given.decode_;
        counts_["promised decode memory"] += given.promised_ ? 1 : 0;
        ++counts_["grants"];
        for (const std::string& name : {request.prefill_, request.decode_})
        {
            require(
                !engines_[name].leaving_,
                "a leaving endpoint gets no new work");
        }
        request.prefill_boot_ = engines_[request.prefill_].boot_;
        request.decode_boot_ = engines_[request.decode_].boot_;
        allocate(engines_[request.prefill_], request);
        request.next_event_ms_ =
            now_ms_ + request.pool_request_.prompt_tokens_ / 20 + 5;
    }

    void on(const policy::refusal& denied)
    {
        ++counts_["refusals"];
        requests_.erase(denied.attempt_);
    }

    void on(const policy::confirmation& confirmed)
    {
        const auto found = requests_.find(confirmed.attempt_);
        if (found != requests_.end())
        {
            found->second.waits_for_memory_ = false;
            found->second.promised_ = false;
            start_decode(found->second);
        }
    }

    void on(const policy::orphan& orphaned)
    {
        ++counts_["orphans cancelled"];
        engines_[orphaned.endpoint_].held_.erase(orphaned.attempt_);
    }

    /// Describes an engine and its state as the owner sees it, for an error
    /// message.
    std::string describe(const simulated_engine& engine) const
    {
        std::string out = engine.name_ + " age_ms=" +
                          std::to_string(now_ms_ - engine.started_ms_) +
                          " holds";
        for (const auto& [attempt, pieces] : engine.held_)
        {
            const bool is_running = requests_.count(attempt) != 0;
            out += " " + to_string(attempt) + ":" + std::to_string(pieces) +
                   (is_running ? "" : "(gone)");
        }
        for (const policy::endpoint_status& seen : owner_->status(now()))
        {
            if (seen.name_ == engine.name_)
            {
                out +=
                    "; owner sees used=" + std::to_string(seen.used_pieces_) +
                    " running=" + std::to_string(seen.running_) +
                    " window=" + std::to_string(seen.window_);
            }
        }
        return out;
    }

    /// Allocates a request's memory at an engine; checks memory and cold start.
    void allocate(simulated_engine& engine, const simulated_request& request)
    {
        engine.held_[request.pool_request_.attempt_] =
            request.pool_request_.pieces_;
        std::int64_t used = 0;
        for (const auto& [attempt, pieces] : engine.held_)
        {
            used += pieces;
        }
        require(
            used <= pieces_per_engine,
            "an engine's memory is not allocated twice: " + describe(engine));
        const std::int64_t age_ms = now_ms_ - engine.started_ms_;
        const std::int64_t max_requests = 2 + 2 * (age_ms / 1'000);
        if (age_ms < cold_start_ms)
        {
            require(
                static_cast<std::int64_t>(engine.held_.size()) <= max_requests,
                "an endpoint in cold start is not overloaded: " +
                    describe(engine));
            ++counts_["grants in cold start"];
        }
    }

    void start_decode(simulated_request& request)
    {
        engines_[request.prefill_].held_.erase(request.pool_request_.attempt_);
        if (engines_[request.decode_].boot_ == request.decode_boot_)
        {
            allocate(engines_[request.decode_], request);
        }
        request.is_decoding_ = true;
        transferred_.push_back(request.pool_request_.attempt_);
        request.next_event_ms_ =
            now_ms_ +
            10 * (1 + random_below(request.pool_request_.output_tokens_));
    }

    /// \return the name of an engine that the request uses and that has
    /// restarted since, or an empty string.
    std::string find_restarted_engine(const simulated_request& request)
    {
        if (!request.is_decoding_ &&
            engines_[request.prefill_].boot_ != request.prefill_boot_)
        {
            return request.prefill_;
        }
        const bool lost =
            engines_[request.decode_].boot_ != request.decode_boot_;
        return lost ? request.decode_ : std::string();
    }

    void advance_requests()
    {
        std::vector<attempt_id> due;
        for (const auto& [attempt, request] : requests_)
        {
            if (request.granted_ && !request.is_host_gone_)
            {
                due.push_back(attempt);
            }
        }
        for (const attempt_id& attempt : due)
        {
            const auto found = requests_.find(attempt);
            if (found != requests_.end())
            {
                advance(found->second);
            }
        }
    }

    void advance(simulated_request& request)
    {
        const std::string lost_engine = find_restarted_engine(request);
        if (!lost_engine.empty())
        {
            finish(request, lost_engine);
            return;
        }
        if (request.waits_for_memory_ && now_ms_ > request.next_event_ms_)
        {
            ++counts_["promises not kept in time"];
            finish(request, "");
            return;
        }
        if (request.waits_for_memory_ || now_ms_ < request.next_event_ms_)
        {
            return;
        }
        if (request.is_decoding_)
        {
            ++counts_["requests completed"];
            finish(request, "");
            return;
        }
        if (!request.promised_)
        {
            start_decode(request);
            return;
        }
        request.waits_for_memory_ = true;
        request.next_event_ms_ = now_ms_ + 600;
        perform(owner_->place_decode(request.pool_request_.attempt_, now()));
    }

    void finish(simulated_request& request, const std::string& lost_engine)
    {
        policy::ending outcome;
        outcome.attempt_ = request.pool_request_.attempt_;
        outcome.completed_ = lost_engine.empty() && request.is_decoding_;
        outcome.endpoint_lost_ = !lost_engine.empty();
        outcome.lost_endpoint_ = lost_engine;
        const attempt_id attempt = request.pool_request_.attempt_;
        requests_.erase(attempt);
        // The entry host cancels at the engines first; a cancellation may be
        // lost.
        outcome.freed_ = faults_ended_ || !one_in(20);
        if (outcome.freed_)
        {
            for (auto& [name, engine] : engines_)
            {
                engine.held_.erase(attempt);
            }
        }
        else
        {
            ++counts_["cancellations lost"];
        }
        if (!faults_ended_ && one_in(25))
        {
            ++counts_["end messages lost"];
            return;
        }
        perform(owner_->end(outcome, now()));
    }

    void renew()
    {
        for (const auto& [attempt, request] : requests_)
        {
            if (request.granted_ && !request.is_host_gone_)
            {
                // Memory that is only promised is not held yet, so a new
                // owner must not count it as granted.
                owner_->renew(
                    attempt,
                    request.promised_ ? std::string() : request.decode_,
                    request.pool_request_.pieces_,
                    now());
            }
        }
    }

    void report()
    {
        for (auto& [name, engine] : engines_)
        {
            policy::endpoint_report current_report;
            current_report.endpoint_ = name;
            current_report.boot_ = std::to_string(engine.boot_);
            for (const auto& [attempt, pieces] : engine.held_)
            {
                current_report.held_.push_back({attempt, pieces});
            }
            engine.reports_.push_back(std::move(current_report));
            while (engine.reports_.size() > report_lag_steps)
            {
                engine.reports_.pop_front();
            }
            if (step_ % report_interval_steps == 0 &&
                (faults_ended_ || !one_in(10)))
            {
                perform(owner_->report(engine.reports_.front(), now()));
            }
        }
    }

    void inject_faults()
    {
        if (one_in(700))
        {
            auto found = engines_.begin();
            std::advance(found, random_below(5));
            simulated_engine& engine = found->second;
            ++engine.boot_;
            engine.started_ms_ = now_ms_;
            engine.held_.clear();
            engine.reports_.clear();
            // The owner's idle connection to the engine is reset.
            owner_->on_connection_lost(engine.name_);
            ++counts_["engine restarts"];
        }
        if (one_in(900))
        {
            auto found = engines_.begin();
            std::advance(found, random_below(5));
            found->second.leaving_ = !found->second.leaving_;
            set_endpoints();
            ++counts_["endpoints set leaving or back"];
        }
        if (one_in(1'500))
        {
            kill_host();
        }
        if (one_in(1'500))
        {
            // The owner stalled: another host, or the same one, takes over with
            // empty state.
            for (auto item = requests_.begin(); item != requests_.end();)
            {
                item = item->second.granted_ ? std::next(item)
                                             : requests_.erase(item);
            }
            make_owner(takeover_wait_ms);
            renew();
            ++counts_["owners replaced"];
        }
    }

    void kill_host()
    {
        const std::string host = "h" + std::to_string(random_below(3));
        for (auto item = requests_.begin(); item != requests_.end();)
        {
            item = item->first.host_ == host ? requests_.erase(item)
                                             : std::next(item);
        }
        perform(owner_->host_gone(host, incarnation_, now()));
        ++incarnation_;
        ++counts_["entry hosts killed"];
    }

    void check_deadlines()
    {
        for (const auto& [attempt, request] : requests_)
        {
            const bool is_late =
                !request.granted_ &&
                now_ms_ > request.pool_request_.first_token_deadline_.ms_ +
                              5 * step_ms;
            require(!is_late, "a request is granted or refused in time");
        }
    }

    std::mt19937_64 random_;
    event_counts& counts_;
    std::int64_t now_ms_ = 1;
    std::int64_t step_ = 0;
    bool faults_ended_ = false;
    std::map<std::string, simulated_engine> engines_;
    std::map<attempt_id, simulated_request> requests_;
    std::unique_ptr<policy::pool_scheduler> owner_;
    std::vector<attempt_id> transferred_;
    std::uint64_t next_attempt_ = 0;
    std::uint64_t incarnation_ = 1;
};

} // namespace

void run_pool(std::uint64_t seed, std::uint64_t steps, event_counts& counts)
{
    pool_run(seed, counts).run(steps);
}

} // namespace poplarroute::tests::soak
