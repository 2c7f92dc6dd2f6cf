#include "node/engine.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "node/attempt_header.hpp"

namespace poplarroute::node
{

using core::errc;
using core::error;
using nlohmann::json;

namespace
{

constexpr core::duration prefill_timeout{30'000};
constexpr core::duration decode_open_timeout{5'000};
constexpr core::duration cancel_timeout{1'000};
constexpr core::duration report_timeout{700};
constexpr core::duration order_timeout{2'000};

/// Limit on a report, or on the events since the last one.
constexpr std::size_t max_report_bytes = 1024 * 1024;

/// Tokens of one frame; a larger count cannot be right.
constexpr std::int64_t max_tokens_per_frame = 1'000'000;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

engine_refusal refusal_of(int status)
{
    switch (status)
    {
    case status_ok:
        return engine_refusal::none;
    case status_gone:
    case status_conflict:
        return engine_refusal::prefill_evicted;
    case status_unavailable:
        return engine_refusal::no_memory;
    default:
        return engine_refusal::other;
    }
}

drivers::http_call post(
    std::string address, std::string target, const json& body)
{
    drivers::http_call call;
    call.address_ = std::move(address);
    call.method_ = "POST";
    call.target_ = std::move(target);
    call.headers_ = {{"Content-Type", "application/json"}};
    call.body_ = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.max_response_bytes_ = drivers::max_protocol_response_bytes;
    return call;
}

/// Parses a JSON object and converts it with a function. Malformed input is
/// an error.
template <class Value, class Reader>
core::result<Value> read_json(const std::string& text, Reader reader)
{
    const json document = core::parse_json(text).value_or(json());
    if (!document.is_object())
    {
        return error{errc::invalid, "the engine's answer is no object"};
    }
    try
    {
        return reader(document);
    }
    catch (const json::exception& thrown)
    {
        return error{errc::invalid, thrown.what()};
    }
}

} // namespace

decode_stream::decode_stream(
    std::unique_ptr<drivers::http_stream> lines,
    core::attempt_id attempt,
    std::int64_t offset)
    : lines_(std::move(lines)),
      attempt_(std::move(attempt)),
      next_offset_(offset)
{
}

std::optional<decode_frame> decode_stream::parse_line(const std::string& line)
{
    const json document = core::parse_json(line).value_or(json());
    const bool is_own = document.is_object() &&
                        document.value("attempt", "") == to_string(attempt_);
    if (!is_own)
    {
        ++dropped_;
        return std::nullopt;
    }
    if (document.contains("end"))
    {
        return end_frame{
            document.value("tokens", std::int64_t(0)),
            document.value("end", "stop")};
    }
    token_frame frame;
    frame.offset_ = document.value("offset", std::int64_t(-1));
    frame.tokens_ = document.value("count", std::int64_t(1));
    frame.text_ = document.value("text", "");
    if (frame.offset_ < next_offset_)
    {
        ++dropped_;
        return std::nullopt;
    }
    return frame;
}

awaitable<core::result<decode_frame>> decode_stream::next(
    core::duration timeout)
{
    // Frames of other attempts are no progress.
    const core::time_point deadline = core::steady_now() + timeout;
    for (;;)
    {
        const core::duration remaining = deadline - core::steady_now();
        auto line =
            co_await lines_->next_line(std::max(remaining, core::duration{1}));
        if (!core::is_ok(line))
        {
            co_return core::failure(line);
        }
        if (!core::value(line))
        {
            co_return error{errc::broken, "the stream ended without its end"};
        }
        std::optional<decode_frame> frame;
        try
        {
            frame = parse_line(*core::value(line));
        }
        catch (const json::exception& thrown)
        {
            co_return error{errc::broken, thrown.what()};
        }
        if (!frame)
        {
            continue;
        }
        const auto* frame_tokens = std::get_if<token_frame>(&*frame);
        if (frame_tokens != nullptr &&
            (frame_tokens->offset_ != next_offset_ ||
             frame_tokens->tokens_ < 1 ||
             frame_tokens->tokens_ > max_tokens_per_frame))
        {
            co_return error{errc::broken, "tokens are missing"};
        }
        if (frame_tokens != nullptr)
        {
            next_offset_ += frame_tokens->tokens_;
        }
        const auto* end = std::get_if<end_frame>(&*frame);
        if (end != nullptr && end->tokens_ != next_offset_)
        {
            co_return error{errc::broken, "the end came too early"};
        }
        co_return std::move(*frame);
    }
}

engine_client::engine_client(drivers::http_client& http) : http_(http) {}

awaitable<core::result<prefill_result>> engine_client::prefill(
    std::string address, prefill_task task, engine_refusal& refusal)
{
    const json body{
        {"attempt", to_string(task.attempt_)},
        {"prompt", std::move(task.prompt_)},
        {"prompt_tokens", task.prompt_tokens_},
        {"output_tokens", task.output_tokens_},
        {"prefix", task.prefix_},
        {"priority", task.interactive_ ? 0 : 1}};
    drivers::http_call call = post(std::move(address), "/prefill", body);
    call.timeout_ = prefill_timeout;
    name_attempt(call, to_string(task.attempt_));
    const auto reply = co_await http_.request(std::move(call));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    refusal = refusal_of(core::value(reply).status_);
    if (refusal != engine_refusal::none)
    {
        co_return error{errc::invalid, core::value(reply).body_};
    }
    const std::string attempt = to_string(task.attempt_);
    co_return read_json<prefill_result>(
        core::value(reply).body_,
        [&](const json& document) -> core::result<prefill_result>
        {
            if (document.at("attempt").get<std::string>() != attempt)
            {
                return error{errc::broken, "the answer of another attempt"};
            }
            prefill_result result;
            result.computed_.ms_ = document.at("computed_ms").get<int>();
            result.computed_tokens_ =
                document.at("computed_tokens").get<std::int64_t>();
            return result;
        });
}

awaitable<core::result<std::unique_ptr<decode_stream>>> engine_client::decode(
    std::string address, decode_task task, engine_refusal& refusal)
{
    const json body{
        {"attempt", to_string(task.attempt_)},
        {"from", task.from_},
        {"offset", task.offset_},
        {"prompt_tokens", task.prompt_tokens_},
        {"output_tokens", task.output_tokens_},
        {"priority", task.interactive_ ? 0 : 1}};
    drivers::http_call call = post(std::move(address), "/decode", body);
    call.timeout_ = decode_open_timeout;
    name_attempt(call, to_string(task.attempt_));
    auto opened = co_await http_.open(std::move(call));
    if (!core::is_ok(opened))
    {
        co_return core::failure(opened);
    }
    refusal = refusal_of(core::value(opened)->status());
    if (refusal != engine_refusal::none)
    {
        co_return error{errc::invalid, "the engine refused"};
    }
    co_return std::make_unique<decode_stream>(
        std::move(core::value(opened)), task.attempt_, task.offset_);
}

awaitable<bool> engine_client::cancel(
    std::string address, core::attempt_id attempt)
{
    drivers::http_call call =
        post(std::move(address), "/cancel", {{"attempt", to_string(attempt)}});
    call.timeout_ = cancel_timeout;
    call.own_connection_ = true;
    const auto reply = co_await http_.request(std::move(call));
    co_return core::is_ok(reply) && core::value(reply).status_ == status_ok;
}

awaitable<core::result<policy::endpoint_report>> engine_client::report(
    std::string address, core::endpoint_id name, bool probes)
{
    drivers::http_call call;
    call.address_ = std::move(address);
    call.target_ = "/report";
    call.timeout_ = report_timeout;
    call.own_connection_ = probes;
    call.max_response_bytes_ = max_report_bytes;
    const auto reply = co_await http_.request(std::move(call));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    co_return read_json<policy::endpoint_report>(
        core::value(reply).body_,
        [&](const json& document) -> core::result<policy::endpoint_report>
        {
            policy::endpoint_report out;
            out.endpoint_ = name;
            out.boot_ = document.at("boot").get<std::string>();
            out.running_ = document.value("running", std::int64_t(0));
            for (const json& item : document.value("held", json::array()))
            {
                policy::held_memory held;
                if (core::parse(
                        item.at("attempt").get<std::string>(), held.attempt_))
                {
                    held.pieces_ = item.at("pieces").get<std::int64_t>();
                    out.held_.push_back(std::move(held));
                }
            }
            return out;
        });
}

awaitable<core::result<engine_client::cache_events>> engine_client::events(
    std::string address, std::uint64_t after)
{
    drivers::http_call call;
    call.address_ = std::move(address);
    call.target_ = "/events?after=" + std::to_string(after);
    call.timeout_ = report_timeout;
    call.max_response_bytes_ = max_report_bytes;
    const auto reply = co_await http_.request(std::move(call));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    co_return read_json<cache_events>(
        core::value(reply).body_,
        [&](const json& document) -> core::result<cache_events>
        {
            cache_events out;
            out.next_ = document.at("next").get<std::uint64_t>();
            std::uint64_t expected = after + 1;
            for (const json& item : document.at("events"))
            {
                out.gap_ =
                    out.gap_ || item.at("seq").get<std::uint64_t>() != expected;
                ++expected;
                out.events_.push_back(
                    {item.at("kind").get<std::string>() == "added",
                     item.at("prefix").get<std::uint64_t>()});
            }
            return out;
        });
}

awaitable<core::result<core::done>> engine_client::order(
    std::string address,
    std::uint64_t fence,
    std::string name,
    std::string value,
    core::time_point send_before)
{
    const json body{{"fence", fence}, {"order", name}, {"value", value}};
    drivers::http_call call = post(std::move(address), "/order", body);
    call.timeout_ = order_timeout;
    call.own_connection_ = true;
    call.send_before_ = send_before;
    const auto reply = co_await http_.request(std::move(call));
    if (!core::is_ok(reply))
    {
        co_return core::failure(reply);
    }
    if (core::value(reply).status_ != status_ok)
    {
        co_return error{errc::conflict, core::value(reply).body_};
    }
    co_return core::done();
}

} // namespace poplarroute::node
