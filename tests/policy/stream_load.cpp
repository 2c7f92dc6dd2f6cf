#include "stream_load.hpp"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>

namespace poplarroute::policy
{

namespace
{

using core::duration;
using core::time_point;

constexpr duration step{10};
constexpr time_point load_begins_at{10'000};
constexpr double prefill_tokens_per_ms = 45;
constexpr double decode_tokens_per_ms = 1.1;
constexpr duration first_event_after_prefill{20};
constexpr duration usual_first_event_time{220};
constexpr duration longest_queue_time{4'000};
constexpr std::int64_t slow_period_interval = 7'000;
constexpr std::int64_t slow_period = 600;
constexpr double slow_pace = 2.5;

struct caller
{
    std::size_t class_ = 0;
    std::string digest_;
    time_point asked_at_;
    std::int64_t prompt_ = 0;
    std::int64_t output_ = 0;
    int requests_ = 0;
};

struct running
{
    std::string id_;
    caller caller_;
    core::endpoint_id reader_;
    core::endpoint_id decoder_;
    double prompt_left_ = 0;
    double output_left_ = 0;
    time_point prefill_sent_at_;
    time_point prefilled_at_;
    bool is_prefilled_ = false;
};

class load_run
{
public:
    explicit load_run(const stream_load& load)
        : load_(load), results_(load.classes_.size())
    {
        std::vector<engine_info> listed;
        add_engines(load.prefill_engines_, true, listed);
        add_engines(load.decode_engines_, false, listed);
        scheduler_.set_engines(listed);
    }

    std::vector<class_result> run()
    {
        for (; now_ < load_begins_at + load_.length_; now_ = now_ + step)
        {
            ask();
            decide();
            advance();
        }
        return std::move(results_);
    }

private:
    struct engine_model
    {
        double speed_ = 1;
        std::int64_t offset_ = 0;
    };

    void add_engines(
        int count, bool reads_prompts, std::vector<engine_info>& listed)
    {
        for (int index = 0; index < count; ++index)
        {
            engine_info info;
            info.name_ = (reads_prompts ? "p" : "d") + std::to_string(index);
            info.zone_ = "z";
            info.reads_prompts_ = reads_prompts;
            info.slots_ = load_.slots_;
            info.memory_tokens_ = load_.memory_tokens_;
            const double position =
                count == 1 ? 0 : index / static_cast<double>(count - 1);
            models_[info.name_] = {
                load_.slowest_ + position * (load_.fastest_ - load_.slowest_),
                static_cast<std::int64_t>(random_() % slow_period_interval)};
            listed.push_back(std::move(info));
        }
    }

    double pace(const core::endpoint_id& name) const
    {
        const bool is_slow =
            load_.slow_periods_ &&
            (now_.ms_ + models_.at(name).offset_) % slow_period_interval <
                slow_period;
        return is_slow ? slow_pace : 1;
    }

    double progress(const core::endpoint_id& name) const
    {
        return models_.at(name).speed_ / pace(name) *
               static_cast<double>(step.ms_);
    }

    void ask()
    {
        for (std::size_t index = 0; index < load_.classes_.size(); ++index)
        {
            const stream_class& of = load_.classes_[index];
            const bool is_burst = now_.ms_ / 1'000 % 5 == 0;
            const double multiple = is_burst ? of.burst_ : (5 - of.burst_) / 4;
            const double chance = of.streams_per_second_ * multiple *
                                  static_cast<double>(step.ms_) / 1'000;
            if (now_ < of.begins_at_ || fraction_(random_) >= chance)
            {
                continue;
            }
            caller one;
            one.class_ = index;
            one.digest_ = "c" + std::to_string(++callers_);
            one.asked_at_ = now_;
            one.prompt_ = 1'000 + static_cast<std::int64_t>(random_() % 5'000);
            one.output_ = 500 + static_cast<std::int64_t>(random_() % 3'000);
            ++results_[index].asked_;
            const duration way{static_cast<std::int64_t>(
                fraction_(random_) * static_cast<double>(of.longest_way_.ms_))};
            returns_.emplace(now_ + way, std::move(one));
        }
        while (!returns_.empty() && returns_.begin()->first <= now_)
        {
            request(std::move(returns_.begin()->second));
            returns_.erase(returns_.begin());
        }
    }

    void request(caller one)
    {
        const stream_class& of = load_.classes_[one.class_];
        stream_request out;
        out.id_ = one.digest_ + "." + std::to_string(++one.requests_);
        out.digest_ = one.digest_;
        out.host_ = "h";
        out.zone_ = "z";
        out.prompt_tokens_ = one.prompt_;
        out.most_output_ = 4'000;
        out.priority_ = of.priority_;
        if (load_.reports_accounts_)
        {
            set_account(out, of);
        }
        const duration way =
            one.requests_ == 1 ? now_ - one.asked_at_ : duration();
        out.first_event_deadline_ =
            now_ + of.objective_ - usual_first_event_time - way;
        out.queue_deadline_ = now_ + longest_queue_time;
        waiting_.emplace(out.id_, one);
        scheduler_.ask(std::move(out), now_);
    }

    static void set_account(stream_request& out, const stream_class& of);

    void decide()
    {
        for (const stream_decision& item : scheduler_.decide(now_))
        {
            if (const auto* placed = std::get_if<stream_placement>(&item))
            {
                place(*placed);
            }
            else
            {
                refuse(std::get<stream_refusal>(item));
            }
        }
    }

    void place(const stream_placement& placed)
    {
        const caller one = waiting_.at(placed.id_);
        waiting_.erase(placed.id_);
        running out;
        out.id_ = placed.id_;
        out.caller_ = one;
        out.reader_ = placed.reader_.empty() ? placed.decoder_ : placed.reader_;
        out.decoder_ = placed.decoder_;
        out.prompt_left_ = static_cast<double>(one.prompt_);
        out.output_left_ = static_cast<double>(one.output_);
        out.prefill_sent_at_ = now_;
        results_[one.class_].waits_ms_.push_back(placed.waited_.ms_);
        running_.push_back(std::move(out));
    }

    void refuse(const stream_refusal& refused)
    {
        const caller one = waiting_.at(refused.id_);
        waiting_.erase(refused.id_);
        const stream_class& of = load_.classes_[one.class_];
        ++results_[one.class_].refusals_;
        if (fraction_(returns_random_) >= of.returning_)
        {
            ++results_[one.class_].refused_;
            return;
        }
        const duration wait{static_cast<std::int64_t>(
            of.return_fraction_ *
            static_cast<double>(refused.retry_after_.ms_))};
        returns_.emplace(now_ + wait, one);
    }

    void advance()
    {
        std::set<core::endpoint_id> prefilling;
        for (running& item : running_)
        {
            if (item.is_prefilled_)
            {
                item.output_left_ -=
                    progress(item.decoder_) * decode_tokens_per_ms;
            }
            else if (prefilling.insert(item.reader_).second)
            {
                item.prompt_left_ -=
                    progress(item.reader_) * prefill_tokens_per_ms;
                if (item.prompt_left_ <= 0)
                {
                    end_prefill(item);
                }
            }
        }
        std::vector<running> kept;
        for (running& item : running_)
        {
            if (item.output_left_ <= 0)
            {
                end_stream(item);
            }
            else
            {
                kept.push_back(std::move(item));
            }
        }
        running_ = std::move(kept);
    }

    void end_prefill(running& item)
    {
        item.is_prefilled_ = true;
        item.prefilled_at_ = now_;
        scheduler_.prefill_finished(item.id_);
        report_pace(item.reader_);
        report_pace(item.decoder_);
        class_result& result = results_[item.caller_.class_];
        const duration first_event =
            now_ + first_event_after_prefill - item.caller_.asked_at_;
        const bool is_late =
            first_event > load_.classes_[item.caller_.class_].objective_;
        ++(is_late ? result.late_ : result.on_time_);
    }

    void report_pace(const core::endpoint_id& name)
    {
        if (load_.reports_speed_ && load_.slow_periods_)
        {
            scheduler_.record_pace(
                name, static_cast<std::int64_t>(pace(name) * 100), now_);
        }
    }

    void end_stream(const running& item)
    {
        stream_result out;
        out.id_ = item.id_;
        out.complete_ = true;
        out.prompt_tokens_ = item.caller_.prompt_;
        out.output_tokens_ = item.caller_.output_;
        out.read_ = item.prefilled_at_ - item.prefill_sent_at_;
        out.decode_ = now_ - item.prefilled_at_;
        if (!load_.reports_speed_)
        {
            out.read_ = {static_cast<std::int64_t>(
                static_cast<double>(out.prompt_tokens_) /
                prefill_tokens_per_ms)};
            out.decode_ = {static_cast<std::int64_t>(
                static_cast<double>(out.output_tokens_) /
                decode_tokens_per_ms)};
        }
        results_[item.caller_.class_].output_ += item.caller_.output_;
        scheduler_.finished(out, now_);
    }

    const stream_load& load_;
    std::vector<class_result> results_;
    stream_scheduler scheduler_;
    std::mt19937 random_{20261204}; ///< For arrivals, whatever is decided.
    std::mt19937 returns_random_{20261204};
    std::uniform_real_distribution<double> fraction_{0, 1};
    std::map<core::endpoint_id, engine_model> models_;
    std::map<std::string, caller> waiting_;
    std::multimap<time_point, caller> returns_;
    std::vector<running> running_;
    time_point now_ = load_begins_at;
    int callers_ = 0;
};

void load_run::set_account(stream_request& out, const stream_class& of)
{
    out.account_ = of.account_;
    out.share_cost_ = 1 / static_cast<double>(of.rate_);
}

} // namespace

std::int64_t class_result::wait_quantile(double fraction) const
{
    if (waits_ms_.empty())
    {
        return 0;
    }
    std::vector<std::int64_t> sorted = waits_ms_;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(
        fraction * static_cast<double>(sorted.size() - 1))];
}

std::vector<class_result> apply(const stream_load& load)
{
    return load_run(load).run();
}

void print(const std::string& name, const class_result& result)
{
    std::cout << name << ": " << result.on_time_ << " on time, " << result.late_
              << " late, " << result.refused_ << " refused of " << result.asked_
              << " (served " << result.served() << "), wait p50 "
              << result.wait_quantile(0.5) << " ms, p99 "
              << result.wait_quantile(0.99) << " ms\n";
}

} // namespace poplarroute::policy
