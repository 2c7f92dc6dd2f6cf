// An open-loop load generator: requests arrive as a Poisson process, whether or
// not earlier ones have been answered. Prints one JSON line per request to
// standard output.

#include <cmath>
#include <iostream>
#include <random>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "core/ini.hpp"
#include "drivers/http_client.hpp"

namespace poplarroute::tests::load
{

namespace
{

namespace asio = drivers::asio;
using asio::awaitable;
using nlohmann::json;

/// One kind of requests of one account.
struct flow
{
    std::string account_;
    std::string key_;
    std::string kind_; ///< "long", "short", "book" or "look".
    double requests_per_second_ = 0;
    /// Factor on the rate in the middle third of the run.
    double burst_factor_ = 1;
};

/// Parameters of a run, read from standard input.
struct load_plan
{
    std::vector<std::string> hosts_;
    std::vector<flow> flows_;
    std::string model_;
    std::string change_path_;
    std::string read_path_;
    std::int64_t min_long_prompt_tokens_ = 0;
    std::int64_t max_long_prompt_tokens_ = 0;
    std::int64_t max_output_tokens_ = 0;
    core::duration duration_;
    std::uint64_t seed_ = 1;
};

load_plan read_load_plan(std::istream& in)
{
    const json from = json::parse(in);
    load_plan out;
    out.hosts_ = from["hosts"].get<std::vector<std::string>>();
    out.model_ = from.value("model", "");
    out.change_path_ = from.value("change_path", "");
    out.read_path_ = from.value("read_path", "");
    out.min_long_prompt_tokens_ = from.value("long_least", 4'000);
    out.max_long_prompt_tokens_ = from.value("long_most", 7'000);
    out.max_output_tokens_ = from.value("output", 120);
    out.duration_.ms_ = from["span_ms"].get<std::int64_t>();
    out.seed_ = from["seed"].get<std::uint64_t>();
    for (const json& item : from["flows"])
    {
        out.flows_.push_back(
            {item["account"].get<std::string>(),
             item["key"].get<std::string>(),
             item["kind"].get<std::string>(),
             item["per_second"].get<double>(),
             item.value("burst_factor", 1.0)});
    }
    return out;
}

class load_run
{
public:
    load_run(asio::io_context& io, load_plan from)
        : io_(io),
          plan_(std::move(from)),
          http_(io),
          started_at_(core::steady_now())
    {
    }

    void start()
    {
        std::uint64_t seed = plan_.seed_;
        for (const flow& item : plan_.flows_)
        {
            ++running_tasks_;
            drivers::spawn(io_, generate_requests(item, ++seed));
        }
    }

private:
    core::duration since_start() const
    {
        return core::steady_now() - started_at_;
    }

    double current_rate(const flow& item) const
    {
        const std::int64_t third_ms = plan_.duration_.ms_ / 3;
        const std::int64_t elapsed_ms = since_start().ms_;
        const bool is_burst =
            elapsed_ms > third_ms && elapsed_ms < 2 * third_ms;
        return item.requests_per_second_ * (is_burst ? item.burst_factor_ : 1);
    }

    awaitable<void> generate_requests(flow item, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> interval(1);
        double due_ms = 0;
        for (;;)
        {
            constexpr double ms_per_second = 1'000;
            due_ms += interval(random) * ms_per_second / current_rate(item);
            if (due_ms > static_cast<double>(plan_.duration_.ms_))
            {
                break;
            }
            const core::duration wait{
                static_cast<std::int64_t>(due_ms) - since_start().ms_};
            if (wait.ms_ > 0)
            {
                co_await drivers::sleep_for(wait);
            }
            ++running_tasks_;
            drivers::spawn(io_, send_request(item, random()));
        }
        finish_task();
    }

    void finish_task()
    {
        if (--running_tasks_ == 0)
        {
            io_.stop();
        }
    }

    std::string prompt_for(const flow& item, std::mt19937_64& random) const
    {
        constexpr std::int64_t bytes_per_token = 4;
        std::uniform_int_distribution<std::int64_t> token_count(
            item.kind_ == "long" ? plan_.min_long_prompt_tokens_ : 60,
            item.kind_ == "long" ? plan_.max_long_prompt_tokens_ : 400);
        const std::int64_t tokens = token_count(random);
        std::string out = std::to_string(random()) + " ";
        out.resize(static_cast<std::size_t>(tokens * bytes_per_token), 'x');
        return out;
    }

    drivers::http_call make_call(const flow& item, std::mt19937_64& random)
    {
        drivers::http_call call;
        call.address_ = plan_.hosts_[next_host_++ % plan_.hosts_.size()];
        call.headers_ = {{"Authorization", "Bearer " + item.key_}};
        call.timeout_ = core::duration{60'000};
        if (item.kind_ == "look")
        {
            call.target_ = plan_.read_path_;
            return call;
        }
        call.method_ = "POST";
        if (item.kind_ == "book")
        {
            const std::string id = std::to_string(random());
            call.target_ = plan_.change_path_;
            call.headers_.emplace_back("Idempotency-Key", id);
            call.body_ = json{{"id", id}}.dump();
            return call;
        }
        json body{
            {"model", plan_.model_},
            {"stream", true},
            {"max_tokens", plan_.max_output_tokens_}};
        if (item.kind_ == "long")
        {
            call.target_ = "/v1/chat/completions";
            body["messages"] = json::array(
                {{{"role", "user"}, {"content", prompt_for(item, random)}}});
        }
        else
        {
            call.target_ = "/v1/completions";
            body["prompt"] = prompt_for(item, random);
        }
        call.body_ = body.dump();
        return call;
    }

    awaitable<void> send_request(flow item, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        drivers::http_call call = make_call(item, random);
        json record{
            {"at_ms", since_start().ms_},
            {"account", item.account_},
            {"kind", item.kind_}};
        const auto began = std::chrono::steady_clock::now();
        if (item.kind_ == "book" || item.kind_ == "look")
        {
            const auto reply = co_await http_.request(std::move(call));
            record["status"] =
                core::is_ok(reply) ? core::value(reply).status_ : 0;
            if (core::is_ok(reply) && core::value(reply).status_ != 200)
            {
                record_refusal(core::value(reply).body_, record);
            }
        }
        else
        {
            co_await read_stream(std::move(call), record, began);
        }
        record["took_ms"] = ms_since(began);
        std::cout << record.dump() << '\n';
        finish_task();
    }

    static double ms_since(std::chrono::steady_clock::time_point began)
    {
        const std::chrono::duration<double, std::milli> elapsed =
            std::chrono::steady_clock::now() - began;
        return elapsed.count();
    }

    static void record_refusal(const std::string& body, json& record)
    {
        const json document = json::parse(body, nullptr, false);
        if (document.is_object() && document.contains("error"))
        {
            record["code"] = document["error"].value("code", "");
            record["not_run"] = document["error"].value("not_run", false);
        }
    }

    awaitable<void> read_stream(
        drivers::http_call call,
        json& record,
        std::chrono::steady_clock::time_point began)
    {
        auto opened = co_await http_.open(std::move(call));
        record["status"] = 0;
        if (!core::is_ok(opened))
        {
            co_return;
        }
        drivers::http_stream& stream = *core::value(opened);
        record["status"] = stream.status();
        std::string refusal;
        int tokens = 0;
        double first_token_ms = 0;
        double last_token_ms = 0;
        bool done = false;
        for (;;)
        {
            const auto line = co_await stream.next_line(core::duration{60'000});
            if (!core::is_ok(line) || !core::value(line))
            {
                break;
            }
            const std::string& text = *core::value(line);
            done = done || text.starts_with("data: [DONE]");
            if (text.find("\"content\":\"") != std::string::npos ||
                text.find("\"text\":\"w") != std::string::npos)
            {
                last_token_ms = ms_since(began);
                first_token_ms = tokens == 0 ? last_token_ms : first_token_ms;
                ++tokens;
            }
        }
        record["done"] = done;
        record["tokens"] = tokens;
        record["first_ms"] = first_token_ms;
        record["between_ms"] =
            tokens > 1 ? (last_token_ms - first_token_ms) / (tokens - 1) : 0.0;
    }

    asio::io_context& io_;
    load_plan plan_;
    drivers::http_client http_;
    core::time_point started_at_;
    std::size_t next_host_ = 0;
    std::size_t running_tasks_ = 0;
};

} // namespace

} // namespace poplarroute::tests::load

int main()
{
    namespace load = poplarroute::tests::load;
    poplarroute::drivers::asio::io_context io(1);
    load::load_run run(io, load::read_load_plan(std::cin));
    run.start();
    io.run();
    return 0;
}
