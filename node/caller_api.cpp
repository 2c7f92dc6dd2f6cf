#include "node/caller_api.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/digest.hpp"
#include "core/json_text.hpp"

namespace poplarroute::node
{

using drivers::asio::awaitable;
using nlohmann::json;

namespace
{

constexpr std::int64_t bytes_per_token = 4;
constexpr std::int64_t default_max_tokens = 256;
constexpr std::int64_t max_tokens_limit = 32'768;
constexpr std::size_t prefix_bytes = 4'096;
constexpr int status_ok = 200;
constexpr std::int64_t ms_per_second = 1'000;

std::string dump(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Concatenates the messages of a chat, each with its role.
core::result<std::string> text_of_chat(const json& document)
{
    const auto found = document.find("messages");
    if (found == document.end() || !found->is_array() || found->empty())
    {
        return core::error{
            core::errc::invalid, "messages must be a list that is not empty"};
    }
    std::string out;
    for (const json& message : *found)
    {
        const bool well_formed =
            message.is_object() && message.contains("role") &&
            message["role"].is_string() && message.contains("content") &&
            message["content"].is_string();
        if (!well_formed)
        {
            return core::error{
                core::errc::invalid,
                "each message has a role and a content, both text"};
        }
        out += message["role"].get<std::string>() + ": " +
               message["content"].get<std::string>() + "\n";
    }
    return out;
}

core::result<std::string> text_of_prompt(const json& document)
{
    const auto found = document.find("prompt");
    if (found == document.end() || !found->is_string())
    {
        return core::error{core::errc::invalid, "prompt must be a text"};
    }
    return found->get<std::string>();
}

core::result<std::int64_t> max_tokens_of(const json& document)
{
    const auto found = document.find("max_tokens");
    if (found == document.end())
    {
        return default_max_tokens;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
        found->get<std::int64_t>() > max_tokens_limit)
    {
        return core::error{
            core::errc::invalid,
            "max_tokens must be a whole number from 1 to " +
                std::to_string(max_tokens_limit)};
    }
    return found->get<std::int64_t>();
}

} // namespace

std::string to_json_text(const refusal_response& refusal)
{
    json body{
        {"code", refusal.code_},
        {"message", refusal.message_},
        {"not_run", refusal.not_run_}};
    if (refusal.retry_after_)
    {
        body["retry_after_ms"] = refusal.retry_after_->ms_;
    }
    return dump(json{{"error", std::move(body)}});
}

awaitable<void> refuse(
    drivers::http_exchange& exchange, refusal_response refusal)
{
    drivers::header_list headers{{"Content-Type", "application/json"}};
    if (refusal.retry_after_)
    {
        const std::int64_t seconds =
            (refusal.retry_after_->ms_ + ms_per_second - 1) / ms_per_second;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    std::string body = to_json_text(refusal);
    co_await exchange.send(
        refusal.status_, std::move(headers), std::move(body));
}

core::result<completion_request> parse_completion(
    std::string_view body, bool chat)
{
    const json document = core::parse_json(body).value_or(json());
    if (!document.is_object())
    {
        return core::error{
            core::errc::invalid, "the body must be a JSON object"};
    }
    completion_request out;
    out.chat_ = chat;
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string())
    {
        return core::error{core::errc::invalid, "model must be a text"};
    }
    out.model_ = model->get<std::string>();
    auto text = chat ? text_of_chat(document) : text_of_prompt(document);
    if (!core::is_ok(text))
    {
        return core::failure(text);
    }
    out.prompt_ = std::move(core::value(text));
    const auto max_tokens = max_tokens_of(document);
    if (!core::is_ok(max_tokens))
    {
        return core::failure(max_tokens);
    }
    out.max_tokens_ = core::value(max_tokens);
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean())
    {
        return core::error{core::errc::invalid, "stream must be true or false"};
    }
    out.stream_ = stream != document.end() && stream->get<bool>();
    const auto bytes = static_cast<std::int64_t>(out.prompt_.size());
    out.prompt_tokens_ = std::max<std::int64_t>(
        (bytes + bytes_per_token - 1) / bytes_per_token, 1);
    if (out.prompt_.size() >= prefix_bytes)
    {
        out.prefix_ = core::stable_hash(
            std::string_view(out.prompt_).substr(0, prefix_bytes));
    }
    out.digest_ = core::sha256_hex(out.model_ + "\n" + out.prompt_);
    return out;
}

completion_writer::completion_writer(
    drivers::http_exchange& exchange,
    const completion_request& request,
    std::string id)
    : exchange_(exchange), request_(request), id_(std::move(id))
{
}

std::string completion_writer::chunk(
    std::string_view text, std::string_view reason) const
{
    json choice{{"index", 0}};
    if (request_.chat_)
    {
        choice["delta"] =
            text.empty() ? json::object() : json{{"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    choice["finish_reason"] = reason.empty() ? json(nullptr) : json(reason);
    const json document{
        {"id", id_},
        {"object",
         request_.chat_ ? "chat.completion.chunk" : "text_completion"},
        {"model", request_.model_},
        {"choices", json::array({std::move(choice)})}};
    return "data: " + dump(document) + "\n\n";
}

awaitable<bool> completion_writer::write_tokens(
    std::string text, std::int64_t count)
{
    tokens_sent_ += count;
    if (!request_.stream_)
    {
        answer_text_ += text;
        co_return true;
    }
    if (!exchange_.opened())
    {
        drivers::header_list headers{
            {"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"},
            {"X-Request-Id", id_}};
        co_await exchange_.start_stream(status_ok, std::move(headers));
    }
    const std::string data = chunk(text, "");
    const bool accepted = co_await exchange_.write(data);
    co_return accepted;
}

std::string completion_writer::full_answer(const std::string& reason) const
{
    json choice{{"index", 0}, {"finish_reason", reason}};
    if (request_.chat_)
    {
        choice["message"] = {{"role", "assistant"}, {"content", answer_text_}};
    }
    else
    {
        choice["text"] = answer_text_;
    }
    const json document{
        {"id", id_},
        {"object", request_.chat_ ? "chat.completion" : "text_completion"},
        {"model", request_.model_},
        {"choices", json::array({std::move(choice)})},
        {"usage",
         {{"prompt_tokens", request_.prompt_tokens_},
          {"completion_tokens", tokens_sent_}}}};
    return dump(document);
}

awaitable<void> completion_writer::finish(std::string reason)
{
    if (request_.stream_)
    {
        co_await write_tokens("", 0);
        const std::string data = chunk("", reason) + "data: [DONE]\n\n";
        co_await exchange_.write(data);
        co_await exchange_.finish();
        co_return;
    }
    drivers::header_list headers{
        {"Content-Type", "application/json"}, {"X-Request-Id", id_}};
    std::string body = full_answer(reason);
    co_await exchange_.send(status_ok, std::move(headers), std::move(body));
}

awaitable<void> completion_writer::fail(refusal_response refusal)
{
    if (!exchange_.opened())
    {
        co_await refuse(exchange_, std::move(refusal));
        co_return;
    }
    refusal.not_run_ = false;
    const std::string event =
        "event: error\ndata: " + to_json_text(refusal) + "\n\n";
    co_await exchange_.write(event);
    exchange_.abort_response();
}

} // namespace poplarroute::node
