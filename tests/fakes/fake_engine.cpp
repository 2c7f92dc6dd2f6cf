// A fake model engine with continuous batching, limited memory that is
// allocated in pieces, serial prefill with priorities, eviction of prefill
// results, and a link of limited bandwidth. It implements the protocol of the
// engine client.

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include <cxxopts.hpp>

#include "core/digest.hpp"
#include "drivers/http_client.hpp"
#include "tests/fakes/fake_common.hpp"

namespace poplarroute::tests::fakes
{

namespace asio = drivers::asio;
using asio::awaitable;
using drivers::http_exchange;
using nlohmann::json;

namespace
{

constexpr int crash_exit_status = 7;
constexpr std::string_view crash_trigger = "CRASH-ENGINE";
constexpr std::int64_t chunk_tokens = 512;
constexpr std::int64_t cold_slowdown_factor = 3;
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::size_t max_cached_prefixes = 64;
constexpr std::size_t max_kept_events = 1'000;
constexpr std::int64_t tokens_saved_by_cached_prefix = 1'024;
constexpr std::uint64_t dropped_event_interval = 37;
constexpr core::duration snapshot_interval{50};

struct engine_options
{
    std::string listen_;
    std::int64_t pieces_ = 0;
    std::int64_t tokens_per_piece_ = 0;
    std::int64_t prefill_us_per_token_ = 0;
    std::int64_t step_us_ = 0;
    std::int64_t step_us_per_request_ = 0;
    std::int64_t link_tokens_per_ms_ = 0;
    core::duration evict_after_;
    core::duration warm_up_time_;
    core::duration report_lag_;
    bool checks_fence_ = true;
};

/// A prompt that waits for its prefill, or whose prefill result is kept.
struct prefill_job
{
    std::string attempt_;
    std::string digest_;
    std::int64_t pieces_ = 0;
    std::int64_t tokens_left_ = 0;
    std::int64_t computed_tokens_ = 0;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t computed_us_ = 0;
    int priority_ = 0;
    std::uint64_t prefix_ = 0;
    bool done_ = false;
    bool cancelled_ = false;
};

/// A sequence that is being generated.
struct sequence
{
    std::string attempt_;
    std::string digest_;
    std::int64_t pieces_ = 0;
    std::int64_t produced_tokens_ = 0;
    std::int64_t total_tokens_ = 0;
    bool started_ = false;
    bool cancelled_ = false;
};

using job_ptr = std::shared_ptr<prefill_job>;
using sequence_ptr = std::shared_ptr<sequence>;

class fake_engine
{
public:
    fake_engine(asio::io_context& io, engine_options options)
        : io_(io),
          options_(std::move(options)),
          http_(io),
          boot_(core::random_hex(8)),
          cold_start_(options_.warm_up_time_)
    {
    }

    void start()
    {
        drivers::spawn(io_, prefill_loop());
        drivers::spawn(io_, step_loop());
        drivers::spawn(io_, snapshot_loop());
    }

    awaitable<void> handle_request(http_exchange& exchange)
    {
        const std::string& target = exchange.request().target_;
        const std::string path = target.substr(0, target.find('?'));
        received_api_key_ =
            received_api_key_ || contains_api_key(exchange.request());
        if (path == "/report")
        {
            co_await send_json(exchange, 200, lagged_snapshot());
            co_return;
        }
        if (path == "/events")
        {
            const std::string after = target.substr(target.find('=') + 1);
            co_await send_json(exchange, 200, events_after(std::stoull(after)));
            co_return;
        }
        if (path == "/stats")
        {
            co_await send_json(exchange, 200, stats());
            co_return;
        }
        const json body = json::parse(exchange.request().body_, nullptr, false);
        if (!body.is_object())
        {
            json error_body{{"error", "no object"}};
            co_await send_json(exchange, 400, std::move(error_body));
        }
        else if (path == "/prefill")
        {
            co_await prefill(exchange, body);
        }
        else if (path == "/kv")
        {
            co_await export_kv(exchange, body);
        }
        else if (path == "/decode")
        {
            co_await decode(exchange, body);
        }
        else if (path == "/cancel")
        {
            cancel(body.value("attempt", ""));
            co_await send_json(exchange, 200, empty_object_);
        }
        else if (path == "/order")
        {
            co_await handle_order(exchange, body);
        }
        else if (path == "/fault")
        {
            inject_fault(body);
            co_await send_json(exchange, 200, empty_object_);
        }
        else
        {
            co_await send_json(exchange, 404, empty_object_);
        }
    }

private:
    std::int64_t used_pieces() const
    {
        std::int64_t used = 0;
        for (const auto& [attempt, job] : prefill_jobs_)
        {
            used += job->pieces_;
        }
        for (const auto& [attempt, item] : sequences_)
        {
            used += item->pieces_;
        }
        return used;
    }

    std::size_t running_requests() const
    {
        return prefill_jobs_.size() + sequences_.size();
    }

    std::int64_t pieces_needed(const json& body) const
    {
        const std::int64_t tokens =
            body.value("prompt_tokens", std::int64_t(1)) +
            body.value("output_tokens", std::int64_t(1));
        return (tokens + options_.tokens_per_piece_ - 1) /
               options_.tokens_per_piece_;
    }

    std::int64_t slowdown_factor() const
    {
        return cold_start_.is_cold() ? cold_slowdown_factor : 1;
    }

    awaitable<void> prefill(http_exchange& exchange, const json& body)
    {
        const auto prompt = body.value("prompt", std::string());
        if (prompt.find(crash_trigger) != std::string::npos)
        {
            std::_Exit(crash_exit_status);
        }
        auto job = std::make_shared<prefill_job>();
        job->attempt_ = body.value("attempt", "");
        job->digest_ = core::sha256_hex(prompt);
        job->pieces_ = pieces_needed(body);
        job->prompt_tokens_ = body.value("prompt_tokens", std::int64_t(1));
        job->tokens_left_ = job->prompt_tokens_;
        job->priority_ = body.value("priority", 0);
        job->prefix_ = body.value("prefix", std::uint64_t(0));
        if (used_pieces() + job->pieces_ > options_.pieces_)
        {
            ++refused_;
            json error_body{{"error", "no memory"}};
            co_await send_json(exchange, 503, std::move(error_body));
            co_return;
        }
        if (job->prefix_ != 0 && cached_prefixes_.count(job->prefix_) != 0)
        {
            job->tokens_left_ = std::max<std::int64_t>(
                job->tokens_left_ - tokens_saved_by_cached_prefix, 1);
        }
        job->computed_tokens_ = job->tokens_left_;
        prefill_jobs_[job->attempt_] = job;
        prefill_queue_.push_back(job);
        cold_start_.crash_if_overloaded(running_requests());
        ++prefills_;
        while (!job->done_ && !job->cancelled_)
        {
            co_await drivers::sleep_for(core::duration{1});
        }
        if (job->cancelled_)
        {
            json error_body{{"error", "cancelled"}};
            co_await send_json(exchange, 410, std::move(error_body));
            co_return;
        }
        drivers::spawn(io_, evict_later(job));
        json done{
            {"attempt", job->attempt_},
            {"boot", boot_},
            {"computed_ms", job->computed_us_ / us_per_ms},
            {"computed_tokens", job->computed_tokens_}};
        co_await send_json(exchange, 200, std::move(done));
    }

    awaitable<void> evict_later(job_ptr job)
    {
        co_await drivers::sleep_for(options_.evict_after_);
        const auto found = prefill_jobs_.find(job->attempt_);
        if (found != prefill_jobs_.end() && found->second == job)
        {
            ++wasted_prefills_;
            prefill_jobs_.erase(found);
        }
    }

    /// Prefills one chunk at a time, of the prompt with the highest priority
    /// (the lowest number).
    awaitable<void> prefill_loop()
    {
        for (;;)
        {
            std::erase_if(
                prefill_queue_,
                [](const job_ptr& job)
                {
                    return job->cancelled_ || job->done_;
                });
            const auto next = std::min_element(
                prefill_queue_.begin(),
                prefill_queue_.end(),
                [](const job_ptr& left, const job_ptr& right)
                {
                    return left->priority_ < right->priority_;
                });
            if (next == prefill_queue_.end())
            {
                co_await drivers::sleep_for(core::duration{1});
                continue;
            }
            const job_ptr job = *next;
            const std::int64_t tokens =
                std::min(chunk_tokens, job->tokens_left_);
            const std::int64_t us =
                tokens * options_.prefill_us_per_token_ * slowdown_factor();
            unslept_us_ += us;
            const std::int64_t whole_ms = unslept_us_ / us_per_ms;
            unslept_us_ %= us_per_ms;
            if (whole_ms > 0)
            {
                co_await drivers::sleep_for(core::duration{whole_ms});
            }
            job->computed_us_ += us;
            job->tokens_left_ -= tokens;
            job->done_ = job->tokens_left_ == 0;
            if (job->done_ && job->prefix_ != 0)
            {
                cache_prefix(job->prefix_);
            }
        }
    }

    void cache_prefix(std::uint64_t prefix)
    {
        if (!cached_prefixes_.insert(prefix).second)
        {
            return;
        }
        prefix_insertion_order_.push_back(prefix);
        add_event("added", prefix);
        if (prefix_insertion_order_.size() > max_cached_prefixes)
        {
            cached_prefixes_.erase(prefix_insertion_order_.front());
            add_event("evicted", prefix_insertion_order_.front());
            prefix_insertion_order_.pop_front();
        }
    }

    void add_event(const char* kind, std::uint64_t prefix)
    {
        ++last_event_number_;
        // Some events are dropped, so that readers see a gap in the sequence.
        if (last_event_number_ % dropped_event_interval == 0)
        {
            return;
        }
        events_.push_back(
            {{"seq", last_event_number_}, {"kind", kind}, {"prefix", prefix}});
        if (events_.size() > max_kept_events)
        {
            events_.pop_front();
        }
    }

    json events_after(std::uint64_t after) const
    {
        json out{{"boot", boot_}, {"next", last_event_number_}};
        out["events"] = json::array();
        for (const json& event : events_)
        {
            if (event["seq"].get<std::uint64_t>() > after)
            {
                out["events"].push_back(event);
            }
        }
        return out;
    }

    /// Transfers a prefill's result at the link's bandwidth.
    awaitable<void> export_kv(http_exchange& exchange, const json& body)
    {
        const auto attempt = body.value("attempt", std::string());
        const auto found = prefill_jobs_.find(attempt);
        if (found == prefill_jobs_.end() || !found->second->done_)
        {
            json error_body{{"error", "gone"}};
            co_await send_json(exchange, 410, std::move(error_body));
            co_return;
        }
        const job_ptr job = found->second;
        prefill_jobs_.erase(found);
        co_await wait_for_link(job->prompt_tokens_);
        json out{{"digest", job->digest_}};
        co_await send_json(exchange, 200, std::move(out));
    }

    awaitable<void> wait_for_link(std::int64_t tokens)
    {
        const core::time_point now = core::steady_now();
        const core::duration transfer_time{
            tokens / options_.link_tokens_per_ms_};
        link_free_at_ = std::max(link_free_at_, now) + transfer_time;
        co_await drivers::sleep_for(link_free_at_ - now);
    }

    awaitable<std::string> import_kv(std::string from, std::string attempt)
    {
        if (from == options_.listen_)
        {
            const auto found = prefill_jobs_.find(attempt);
            if (found == prefill_jobs_.end() || !found->second->done_)
            {
                co_return std::string();
            }
            std::string digest = found->second->digest_;
            prefill_jobs_.erase(found);
            co_return digest;
        }
        drivers::http_call call;
        call.address_ = std::move(from);
        call.method_ = "POST";
        call.target_ = "/kv";
        call.body_ = json{{"attempt", attempt}}.dump();
        const auto reply = co_await http_.request(std::move(call));
        if (!core::is_ok(reply) || core::value(reply).status_ != 200)
        {
            co_return std::string();
        }
        const json document =
            json::parse(core::value(reply).body_, nullptr, false);
        co_return document.value("digest", std::string());
    }

    awaitable<void> decode(http_exchange& exchange, const json& body)
    {
        const auto attempt = body.value("attempt", std::string());
        const auto existing = sequences_.find(attempt);
        if (existing != sequences_.end())
        {
            co_await stream(
                exchange,
                existing->second,
                body.value("offset", std::int64_t(0)));
            co_return;
        }
        auto item = std::make_shared<sequence>();
        item->attempt_ = attempt;
        item->pieces_ = pieces_needed(body);
        const bool is_local = body.value("from", "") == options_.listen_;
        const std::int64_t needed = is_local ? 0 : item->pieces_;
        if (used_pieces() + needed > options_.pieces_)
        {
            ++refused_;
            json error_body{{"error", "no memory"}};
            co_await send_json(exchange, 503, std::move(error_body));
            co_return;
        }
        sequences_[attempt] = item;
        cold_start_.crash_if_overloaded(running_requests());
        item->digest_ = co_await import_kv(body.value("from", ""), attempt);
        if (item->digest_.empty() || item->cancelled_)
        {
            sequences_.erase(attempt);
            json error_body{{"error", "prefill gone"}};
            co_await send_json(exchange, 410, std::move(error_body));
            co_return;
        }
        const std::int64_t max_tokens =
            body.value("output_tokens", std::int64_t(1));
        item->total_tokens_ = output_length(item->digest_, max_tokens);
        item->produced_tokens_ = body.value("offset", std::int64_t(0));
        item->started_ = true;
        ++decodes_;
        co_await stream(exchange, item, item->produced_tokens_);
    }

    /// The generated text depends only on SHA-256 hashes, so that the checks of
    /// histories can compute what a caller must get.
    static std::uint64_t hash_number(const std::string& text)
    {
        constexpr std::size_t digits = 12;
        constexpr int hexadecimal = 16;
        return std::stoull(text.substr(0, digits), nullptr, hexadecimal);
    }

    static std::int64_t output_length(
        const std::string& digest, std::int64_t max_tokens)
    {
        constexpr std::int64_t half_per_mille = 500;
        const auto extra_per_mille =
            static_cast<std::int64_t>(hash_number(digest) % half_per_mille);
        return std::max<std::int64_t>(
            max_tokens * (half_per_mille + extra_per_mille) /
                (2 * half_per_mille),
            1);
    }

    static std::string word_at(const std::string& digest, std::int64_t at)
    {
        constexpr std::uint64_t word_count = 10'000;
        const std::string hash =
            core::sha256_hex(digest + ":" + std::to_string(at));
        return "w" + std::to_string(hash_number(hash) % word_count) + " ";
    }

    awaitable<void> stream(
        http_exchange& exchange, sequence_ptr item, std::int64_t offset)
    {
        drivers::header_list headers{
            {"Content-Type", "application/x-ndjson"},
            {"X-Attempt-Id", attempt_of(exchange)}};
        co_await exchange.start_stream(200, std::move(headers));
        std::int64_t at = offset;
        while (at < item->total_tokens_ && !item->cancelled_)
        {
            if (at >= item->produced_tokens_ || is_stalled())
            {
                co_await drivers::sleep_for(core::duration{1});
                continue;
            }
            std::string lines;
            if (wrong_frames_left_ > 0)
            {
                --wrong_frames_left_;
                lines +=
                    json{
                        {"attempt", "other.1.1"},
                        {"offset", at},
                        {"text", "WRONG"}}
                        .dump() +
                    "\n";
            }
            for (; at < item->produced_tokens_; ++at)
            {
                lines +=
                    json{
                        {"attempt", item->attempt_},
                        {"offset", at},
                        {"text", word_at(item->digest_, at)}}
                        .dump() +
                    "\n";
            }
            const bool is_written = co_await exchange.write(lines);
            if (!is_written)
            {
                co_return;
            }
        }
        if (item->cancelled_)
        {
            exchange.abort_response();
            co_return;
        }
        const json end{
            {"attempt", item->attempt_},
            {"end", "stop"},
            {"tokens", item->total_tokens_}};
        const std::string last_line = end.dump() + "\n";
        const bool is_written = co_await exchange.write(last_line);
        if (is_written)
        {
            sequences_.erase(item->attempt_);
        }
        co_await exchange.finish();
    }

    /// Generates one token for every sequence in each step (continuous
    /// batching).
    awaitable<void> step_loop()
    {
        for (;;)
        {
            std::int64_t active_sequences = 0;
            for (auto& [attempt, item] : sequences_)
            {
                active_sequences += item->started_ && item->produced_tokens_ <
                                                          item->total_tokens_;
            }
            if (active_sequences == 0 || is_stalled())
            {
                co_await drivers::sleep_for(core::duration{1});
                continue;
            }
            const std::int64_t us =
                (options_.step_us_ +
                 active_sequences * options_.step_us_per_request_) *
                slowdown_factor();
            co_await drivers::sleep_for(core::duration{us / us_per_ms});
            for (auto& [attempt, item] : sequences_)
            {
                if (item->started_ &&
                    item->produced_tokens_ < item->total_tokens_)
                {
                    ++item->produced_tokens_;
                    ++generated_tokens_;
                }
            }
        }
    }

    void cancel(const std::string& attempt)
    {
        const auto job = prefill_jobs_.find(attempt);
        if (job != prefill_jobs_.end())
        {
            wasted_prefills_ += job->second->done_ ? 1 : 0;
            job->second->cancelled_ = true;
            prefill_jobs_.erase(job);
        }
        const auto item = sequences_.find(attempt);
        if (item != sequences_.end())
        {
            item->second->cancelled_ = true;
            sequences_.erase(item);
        }
    }

    awaitable<void> handle_order(http_exchange& exchange, const json& body)
    {
        const auto fence = body.value("fence", std::uint64_t(0));
        if (options_.checks_fence_ && fence <= fence_)
        {
            json error_body{{"error", "old fence"}, {"fence", fence_}};
            co_await send_json(exchange, 409, std::move(error_body));
            co_return;
        }
        fence_ = std::max(fence_, fence);
        json done{{"fence", fence_}};
        co_await send_json(exchange, 200, std::move(done));
    }

    void inject_fault(const json& body)
    {
        const auto kind = body.value("kind", std::string());
        if (kind == "die")
        {
            std::_Exit(crash_exit_status);
        }
        if (kind == "stall")
        {
            stalled_until_ =
                core::steady_now() + core::duration{body.value("ms", 1'000)};
        }
        if (kind == "cold")
        {
            cold_start_.restart();
        }
        if (kind == "cross")
        {
            wrong_frames_left_ += body.value("count", 1);
        }
    }

    bool is_stalled() const
    {
        return core::steady_now() < stalled_until_;
    }

    json snapshot() const
    {
        json out{{"boot", boot_}, {"running", running_requests()}};
        out["held"] = json::array();
        for (const auto& [attempt, job] : prefill_jobs_)
        {
            out["held"].push_back(
                {{"attempt", attempt}, {"pieces", job->pieces_}});
        }
        for (const auto& [attempt, item] : sequences_)
        {
            out["held"].push_back(
                {{"attempt", attempt}, {"pieces", item->pieces_}});
        }
        return out;
    }

    awaitable<void> snapshot_loop()
    {
        const auto max_snapshots = static_cast<std::size_t>(
            options_.report_lag_.ms_ / snapshot_interval.ms_ + 1);
        for (;;)
        {
            snapshots_.push_back(snapshot());
            while (snapshots_.size() > max_snapshots)
            {
                snapshots_.pop_front();
            }
            co_await drivers::sleep_for(snapshot_interval);
        }
    }

    json lagged_snapshot() const
    {
        return snapshots_.empty() ? snapshot() : snapshots_.front();
    }

    json stats() const
    {
        return {
            {"boot", boot_},
            {"prefills", prefills_},
            {"wasted", wasted_prefills_},
            {"decodes", decodes_},
            {"refused", refused_},
            {"tokens", generated_tokens_},
            {"held_now", running_requests()},
            {"used_pieces", used_pieces()},
            {"saw_key", received_api_key_}};
    }

    asio::io_context& io_;
    engine_options options_;
    drivers::http_client http_;
    std::string boot_;
    cold_start cold_start_;
    std::map<std::string, job_ptr> prefill_jobs_;
    std::deque<job_ptr> prefill_queue_;
    std::map<std::string, sequence_ptr> sequences_;
    std::set<std::uint64_t> cached_prefixes_;
    std::deque<std::uint64_t> prefix_insertion_order_;
    std::deque<json> events_;
    std::uint64_t last_event_number_ = 0;
    std::deque<json> snapshots_;
    core::time_point link_free_at_;
    core::time_point stalled_until_;
    int wrong_frames_left_ = 0;
    std::int64_t unslept_us_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t prefills_ = 0;
    std::uint64_t wasted_prefills_ = 0;
    std::uint64_t decodes_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t generated_tokens_ = 0;
    bool received_api_key_ = false;
    json empty_object_ = json::object();
};

engine_options read_options(int argc, char** argv)
{
    using cxxopts::value;
    cxxopts::Options options("fake_engine", "A fake model engine.");
    options.add_options()(
        "listen", "address to listen on, ip:port", value<std::string>())(
        "pieces",
        "memory in pieces",
        value<std::int64_t>()->default_value("40"))(
        "tokens-per-piece",
        "tokens in a piece of memory",
        value<std::int64_t>()->default_value("4096"))(
        "prefill-us",
        "prefill time per prompt token in us",
        value<std::int64_t>()->default_value("50"))(
        "step-us",
        "time per decode step in us",
        value<std::int64_t>()->default_value("20000"))(
        "step-us-per-request",
        "time per decode step and request in us",
        value<std::int64_t>()->default_value("1000"))(
        "link",
        "link bandwidth in tokens per ms",
        value<std::int64_t>()->default_value("200"))(
        "evict-ms",
        "time until a prefill result is evicted, in ms",
        value<int>()->default_value("800"))(
        "cold-ms", "warm-up time in ms", value<int>()->default_value("0"))(
        "lag-ms", "lag of reports in ms", value<int>()->default_value("200"))(
        "ignore-fence", "accept orders with any fencing number");
    const auto given = options.parse(argc, argv);
    engine_options out;
    out.listen_ = given["listen"].as<std::string>();
    out.pieces_ = given["pieces"].as<std::int64_t>();
    out.tokens_per_piece_ = given["tokens-per-piece"].as<std::int64_t>();
    out.prefill_us_per_token_ = given["prefill-us"].as<std::int64_t>();
    out.step_us_ = given["step-us"].as<std::int64_t>();
    out.step_us_per_request_ = given["step-us-per-request"].as<std::int64_t>();
    out.link_tokens_per_ms_ = given["link"].as<std::int64_t>();
    out.evict_after_.ms_ = given["evict-ms"].as<int>();
    out.warm_up_time_.ms_ = given["cold-ms"].as<int>();
    out.report_lag_.ms_ = given["lag-ms"].as<int>();
    out.checks_fence_ = given.count("ignore-fence") == 0;
    return out;
}

} // namespace

} // namespace poplarroute::tests::fakes

int main(int argc, char** argv)
{
    namespace fakes = poplarroute::tests::fakes;
    namespace drivers = poplarroute::drivers;
    const fakes::engine_options options = fakes::read_options(argc, argv);
    drivers::asio::io_context io(1);
    fakes::fake_engine engine(io, options);
    drivers::http_server server(
        io,
        options.listen_,
        drivers::http_limits(),
        [&](drivers::http_exchange& exchange)
        {
            return engine.handle_request(exchange);
        });
    engine.start();
    server.start();
    io.run();
    return 0;
}
