// A stand-in for a model engine: continuous batching, limited memory in
// pieces, a serial prefill with priorities, results that are evicted, and a
// link of limited rate. It speaks the adapter's protocol.

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

constexpr int crash_status = 7;
constexpr std::string_view crash_text = "CRASH-ENGINE";
constexpr std::int64_t chunk_tokens = 512;
constexpr std::int64_t cold_factor = 3;
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::size_t prefixes_kept = 64;
constexpr std::size_t events_kept = 1'000;
constexpr std::int64_t prefix_tokens = 1'024;
constexpr std::uint64_t gap_every = 37;
constexpr core::duration snapshot_every{50};

struct engine_options
{
    std::string listen_;
    std::int64_t pieces_ = 0;
    std::int64_t tokens_per_piece_ = 0;
    std::int64_t prefill_us_per_token_ = 0;
    std::int64_t step_us_ = 0;
    std::int64_t step_us_per_request_ = 0;
    std::int64_t link_tokens_per_ms_ = 0;
    core::duration evict_;
    core::duration cold_;
    core::duration report_lag_;
    bool checks_fence_ = true;
};

/// A prompt that waits for or has its prefill.
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

/// A sequence that is generated.
struct sequence
{
    std::string attempt_;
    std::string digest_;
    std::int64_t pieces_ = 0;
    std::int64_t produced_ = 0;
    std::int64_t total_ = 0;
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
          cold_(options_.cold_)
    {
    }

    void start()
    {
        drivers::spawn(io_, prefill_loop());
        drivers::spawn(io_, step_loop());
        drivers::spawn(io_, snapshot_loop());
    }

    awaitable<void> answer(http_exchange& exchange)
    {
        const std::string& target = exchange.request().target_;
        const std::string path = target.substr(0, target.find('?'));
        saw_key_ = saw_key_ || shows_key(exchange.request());
        if (path == "/report")
        {
            co_await send_json(exchange, 200, reported());
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
            json why{{"error", "no object"}};
            co_await send_json(exchange, 400, std::move(why));
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
            co_await send_json(exchange, 200, nothing_);
        }
        else if (path == "/order")
        {
            co_await order(exchange, body);
        }
        else if (path == "/fault")
        {
            fault(body);
            co_await send_json(exchange, 200, nothing_);
        }
        else
        {
            co_await send_json(exchange, 404, nothing_);
        }
    }

private:
    std::int64_t used_pieces() const
    {
        std::int64_t used = 0;
        for (const auto& [attempt, job] : jobs_)
        {
            used += job->pieces_;
        }
        for (const auto& [attempt, item] : sequences_)
        {
            used += item->pieces_;
        }
        return used;
    }

    std::size_t running() const
    {
        return jobs_.size() + sequences_.size();
    }

    std::int64_t pieces_for(const json& body) const
    {
        const std::int64_t tokens =
            body.value("prompt_tokens", std::int64_t(1)) +
            body.value("output_tokens", std::int64_t(1));
        return (tokens + options_.tokens_per_piece_ - 1) /
               options_.tokens_per_piece_;
    }

    std::int64_t slowness() const
    {
        return cold_.cold() ? cold_factor : 1;
    }

    awaitable<void> prefill(http_exchange& exchange, const json& body)
    {
        const auto prompt = body.value("prompt", std::string());
        if (prompt.find(crash_text) != std::string::npos)
        {
            std::_Exit(crash_status);
        }
        auto job = std::make_shared<prefill_job>();
        job->attempt_ = body.value("attempt", "");
        job->digest_ = core::sha256_hex(prompt);
        job->pieces_ = pieces_for(body);
        job->prompt_tokens_ = body.value("prompt_tokens", std::int64_t(1));
        job->tokens_left_ = job->prompt_tokens_;
        job->priority_ = body.value("priority", 0);
        job->prefix_ = body.value("prefix", std::uint64_t(0));
        if (used_pieces() + job->pieces_ > options_.pieces_)
        {
            ++refused_;
            json why{{"error", "no memory"}};
            co_await send_json(exchange, 503, std::move(why));
            co_return;
        }
        if (job->prefix_ != 0 && prefixes_.count(job->prefix_) != 0)
        {
            job->tokens_left_ =
                std::max<std::int64_t>(job->tokens_left_ - prefix_tokens, 1);
        }
        job->computed_tokens_ = job->tokens_left_;
        jobs_[job->attempt_] = job;
        queue_.push_back(job);
        cold_.check(running());
        ++prefills_;
        while (!job->done_ && !job->cancelled_)
        {
            co_await drivers::sleep_for(core::duration{1});
        }
        if (job->cancelled_)
        {
            json why{{"error", "cancelled"}};
            co_await send_json(exchange, 410, std::move(why));
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
        co_await drivers::sleep_for(options_.evict_);
        const auto found = jobs_.find(job->attempt_);
        if (found != jobs_.end() && found->second == job)
        {
            ++wasted_;
            jobs_.erase(found);
        }
    }

    /// Works on one chunk at a time, of the most urgent prompt.
    awaitable<void> prefill_loop()
    {
        for (;;)
        {
            std::erase_if(
                queue_,
                [](const job_ptr& job)
                {
                    return job->cancelled_ || job->done_;
                });
            const auto next = std::min_element(
                queue_.begin(),
                queue_.end(),
                [](const job_ptr& left, const job_ptr& right)
                {
                    return left->priority_ < right->priority_;
                });
            if (next == queue_.end())
            {
                co_await drivers::sleep_for(core::duration{1});
                continue;
            }
            const job_ptr job = *next;
            const std::int64_t tokens =
                std::min(chunk_tokens, job->tokens_left_);
            const std::int64_t us =
                tokens * options_.prefill_us_per_token_ * slowness();
            debt_us_ += us;
            const std::int64_t whole = debt_us_ / us_per_ms;
            debt_us_ %= us_per_ms;
            if (whole > 0)
            {
                co_await drivers::sleep_for(core::duration{whole});
            }
            job->computed_us_ += us;
            job->tokens_left_ -= tokens;
            job->done_ = job->tokens_left_ == 0;
            if (job->done_ && job->prefix_ != 0)
            {
                keep_prefix(job->prefix_);
            }
        }
    }

    void keep_prefix(std::uint64_t prefix)
    {
        if (!prefixes_.insert(prefix).second)
        {
            return;
        }
        prefix_order_.push_back(prefix);
        add_event("added", prefix);
        if (prefix_order_.size() > prefixes_kept)
        {
            prefixes_.erase(prefix_order_.front());
            add_event("evicted", prefix_order_.front());
            prefix_order_.pop_front();
        }
    }

    void add_event(const char* kind, std::uint64_t prefix)
    {
        ++event_seq_;
        // Some events never get out: readers see a gap.
        if (event_seq_ % gap_every == 0)
        {
            return;
        }
        events_.push_back(
            {{"seq", event_seq_}, {"kind", kind}, {"prefix", prefix}});
        if (events_.size() > events_kept)
        {
            events_.pop_front();
        }
    }

    json events_after(std::uint64_t after) const
    {
        json out{{"boot", boot_}, {"next", event_seq_}};
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

    /// Hands a prefill's result over, at the link's rate.
    awaitable<void> export_kv(http_exchange& exchange, const json& body)
    {
        const auto attempt = body.value("attempt", std::string());
        const auto found = jobs_.find(attempt);
        if (found == jobs_.end() || !found->second->done_)
        {
            json why{{"error", "gone"}};
            co_await send_json(exchange, 410, std::move(why));
            co_return;
        }
        const job_ptr job = found->second;
        jobs_.erase(found);
        co_await use_link(job->prompt_tokens_);
        json out{{"digest", job->digest_}};
        co_await send_json(exchange, 200, std::move(out));
    }

    awaitable<void> use_link(std::int64_t tokens)
    {
        const core::time_point now = core::steady_now();
        const core::duration span{tokens / options_.link_tokens_per_ms_};
        link_free_ = std::max(link_free_, now) + span;
        co_await drivers::sleep_for(link_free_ - now);
    }

    awaitable<std::string> import_kv(std::string from, std::string attempt)
    {
        if (from == options_.listen_)
        {
            const auto found = jobs_.find(attempt);
            if (found == jobs_.end() || !found->second->done_)
            {
                co_return std::string();
            }
            std::string digest = found->second->digest_;
            jobs_.erase(found);
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
        const auto known = sequences_.find(attempt);
        if (known != sequences_.end())
        {
            co_await stream(
                exchange, known->second, body.value("offset", std::int64_t(0)));
            co_return;
        }
        auto item = std::make_shared<sequence>();
        item->attempt_ = attempt;
        item->pieces_ = pieces_for(body);
        const bool local = body.value("from", "") == options_.listen_;
        const std::int64_t needed = local ? 0 : item->pieces_;
        if (used_pieces() + needed > options_.pieces_)
        {
            ++refused_;
            json why{{"error", "no memory"}};
            co_await send_json(exchange, 503, std::move(why));
            co_return;
        }
        sequences_[attempt] = item;
        cold_.check(running());
        item->digest_ = co_await import_kv(body.value("from", ""), attempt);
        if (item->digest_.empty() || item->cancelled_)
        {
            sequences_.erase(attempt);
            json why{{"error", "prefill gone"}};
            co_await send_json(exchange, 410, std::move(why));
            co_return;
        }
        const std::int64_t most = body.value("output_tokens", std::int64_t(1));
        item->total_ = length_of(item->digest_, most);
        item->produced_ = body.value("offset", std::int64_t(0));
        item->started_ = true;
        ++decodes_;
        co_await stream(exchange, item, item->produced_);
    }

    /// The answers follow from SHA-256 alone, so that the checks of histories
    /// can work out what a caller must get.
    static std::uint64_t pick(const std::string& text)
    {
        constexpr std::size_t digits = 12;
        constexpr int hexadecimal = 16;
        return std::stoull(text.substr(0, digits), nullptr, hexadecimal);
    }

    static std::int64_t length_of(const std::string& digest, std::int64_t most)
    {
        constexpr std::int64_t halves = 500;
        const auto part = static_cast<std::int64_t>(pick(digest) % halves);
        return std::max<std::int64_t>(most * (halves + part) / (2 * halves), 1);
    }

    static std::string word(const std::string& digest, std::int64_t at)
    {
        constexpr std::uint64_t words = 10'000;
        const std::string hash =
            core::sha256_hex(digest + ":" + std::to_string(at));
        return "w" + std::to_string(pick(hash) % words) + " ";
    }

    awaitable<void> stream(
        http_exchange& exchange, sequence_ptr item, std::int64_t offset)
    {
        drivers::header_list headers{{"Content-Type", "application/x-ndjson"}};
        co_await exchange.start_stream(200, std::move(headers));
        std::int64_t at = offset;
        while (at < item->total_ && !item->cancelled_)
        {
            if (at >= item->produced_ || stalled())
            {
                co_await drivers::sleep_for(core::duration{1});
                continue;
            }
            std::string lines;
            if (crossed_ > 0)
            {
                --crossed_;
                lines +=
                    json{
                        {"attempt", "other.1.1"},
                        {"offset", at},
                        {"text", "WRONG"}}
                        .dump() +
                    "\n";
            }
            for (; at < item->produced_; ++at)
            {
                lines +=
                    json{
                        {"attempt", item->attempt_},
                        {"offset", at},
                        {"text", word(item->digest_, at)}}
                        .dump() +
                    "\n";
            }
            const bool taken = co_await exchange.write(lines);
            if (!taken)
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
            {"tokens", item->total_}};
        const std::string last = end.dump() + "\n";
        const bool taken = co_await exchange.write(last);
        if (taken)
        {
            sequences_.erase(item->attempt_);
        }
        co_await exchange.finish();
    }

    /// One token for every sequence a step: continuous batching.
    awaitable<void> step_loop()
    {
        for (;;)
        {
            std::int64_t active = 0;
            for (auto& [attempt, item] : sequences_)
            {
                active += item->started_ && item->produced_ < item->total_;
            }
            if (active == 0 || stalled())
            {
                co_await drivers::sleep_for(core::duration{1});
                continue;
            }
            const std::int64_t us =
                (options_.step_us_ + active * options_.step_us_per_request_) *
                slowness();
            co_await drivers::sleep_for(core::duration{us / us_per_ms});
            for (auto& [attempt, item] : sequences_)
            {
                if (item->started_ && item->produced_ < item->total_)
                {
                    ++item->produced_;
                    ++tokens_;
                }
            }
        }
    }

    void cancel(const std::string& attempt)
    {
        const auto job = jobs_.find(attempt);
        if (job != jobs_.end())
        {
            wasted_ += job->second->done_ ? 1 : 0;
            job->second->cancelled_ = true;
            jobs_.erase(job);
        }
        const auto item = sequences_.find(attempt);
        if (item != sequences_.end())
        {
            item->second->cancelled_ = true;
            sequences_.erase(item);
        }
    }

    awaitable<void> order(http_exchange& exchange, const json& body)
    {
        const auto fence = body.value("fence", std::uint64_t(0));
        if (options_.checks_fence_ && fence <= fence_)
        {
            json why{{"error", "old fence"}, {"fence", fence_}};
            co_await send_json(exchange, 409, std::move(why));
            co_return;
        }
        fence_ = std::max(fence_, fence);
        json done{{"fence", fence_}};
        co_await send_json(exchange, 200, std::move(done));
    }

    void fault(const json& body)
    {
        const auto kind = body.value("kind", std::string());
        if (kind == "die")
        {
            std::_Exit(crash_status);
        }
        if (kind == "stall")
        {
            stalled_until_ =
                core::steady_now() + core::duration{body.value("ms", 1'000)};
        }
        if (kind == "cold")
        {
            cold_.begin();
        }
        if (kind == "cross")
        {
            crossed_ += body.value("count", 1);
        }
    }

    bool stalled() const
    {
        return core::steady_now() < stalled_until_;
    }

    json snapshot() const
    {
        json out{{"boot", boot_}, {"running", running()}};
        out["held"] = json::array();
        for (const auto& [attempt, job] : jobs_)
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
        const auto kept = static_cast<std::size_t>(
            options_.report_lag_.ms_ / snapshot_every.ms_ + 1);
        for (;;)
        {
            snapshots_.push_back(snapshot());
            while (snapshots_.size() > kept)
            {
                snapshots_.pop_front();
            }
            co_await drivers::sleep_for(snapshot_every);
        }
    }

    json reported() const
    {
        return snapshots_.empty() ? snapshot() : snapshots_.front();
    }

    json stats() const
    {
        return {
            {"boot", boot_},
            {"prefills", prefills_},
            {"wasted", wasted_},
            {"decodes", decodes_},
            {"refused", refused_},
            {"tokens", tokens_},
            {"held_now", running()},
            {"used_pieces", used_pieces()},
            {"saw_key", saw_key_}};
    }

    asio::io_context& io_;
    engine_options options_;
    drivers::http_client http_;
    std::string boot_;
    cold_start cold_;
    std::map<std::string, job_ptr> jobs_;
    std::deque<job_ptr> queue_;
    std::map<std::string, sequence_ptr> sequences_;
    std::set<std::uint64_t> prefixes_;
    std::deque<std::uint64_t> prefix_order_;
    std::deque<json> events_;
    std::uint64_t event_seq_ = 0;
    std::deque<json> snapshots_;
    core::time_point link_free_;
    core::time_point stalled_until_;
    int crossed_ = 0;
    std::int64_t debt_us_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t prefills_ = 0;
    std::uint64_t wasted_ = 0;
    std::uint64_t decodes_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t tokens_ = 0;
    bool saw_key_ = false;
    json nothing_ = json::object();
};

engine_options read_options(int argc, char** argv)
{
    using cxxopts::value;
    cxxopts::Options options("fake_engine", "A stand-in for a model engine.");
    options.add_options()("listen", "ip:port", value<std::string>())(
        "pieces", "memory", value<std::int64_t>()->default_value("40"))(
        "tokens-per-piece",
        "tokens",
        value<std::int64_t>()->default_value("4096"))(
        "prefill-us",
        "per prompt token",
        value<std::int64_t>()->default_value("50"))(
        "step-us", "per step", value<std::int64_t>()->default_value("20000"))(
        "step-us-per-request",
        "per step and request",
        value<std::int64_t>()->default_value("1000"))(
        "link", "tokens a ms", value<std::int64_t>()->default_value("200"))(
        "evict-ms", "result's life", value<int>()->default_value("800"))(
        "cold-ms", "cold start", value<int>()->default_value("0"))(
        "lag-ms", "of reports", value<int>()->default_value("200"))(
        "ignore-fence", "takes any order");
    const auto given = options.parse(argc, argv);
    engine_options out;
    out.listen_ = given["listen"].as<std::string>();
    out.pieces_ = given["pieces"].as<std::int64_t>();
    out.tokens_per_piece_ = given["tokens-per-piece"].as<std::int64_t>();
    out.prefill_us_per_token_ = given["prefill-us"].as<std::int64_t>();
    out.step_us_ = given["step-us"].as<std::int64_t>();
    out.step_us_per_request_ = given["step-us-per-request"].as<std::int64_t>();
    out.link_tokens_per_ms_ = given["link"].as<std::int64_t>();
    out.evict_.ms_ = given["evict-ms"].as<int>();
    out.cold_.ms_ = given["cold-ms"].as<int>();
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
            return engine.answer(exchange);
        });
    engine.start();
    server.start();
    io.run();
    return 0;
}
