#include "node/caller_api.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/digest.hpp"

namespace poplarroute::node
{

using drivers::asio::awaitable;
using nlohmann::json;

namespace
{

constexpr std::int64_t bytes_per_token = 4;
constexpr std::int64_t default_max_tokens = 256;
constexpr std::int64_t most_max_tokens = 32'768;
constexpr std::size_t prefix_bytes = 4'096;
constexpr int status_ok = 200;
constexpr std::int64_t ms_per_second = 1'000;

std::string dump(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Joins the texts of a chat, with their roles.
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
        found->get<std::int64_t>() > most_max_tokens)
    {
        return core::error{
            core::errc::invalid,
            "max_tokens must be a whole number from 1 to " +
                std::to_string(most_max_tokens)};
    }
    return found->get<std::int64_t>();
}

} // namespace

std::string to_json_text(const refusal_answer& why)
{
    json body{
        {"code", why.code_},
        {"message", why.message_},
        {"not_run", why.not_run_}};
    if (why.retry_after_)
    {
        body["retry_after_ms"] = why.retry_after_->ms_;
    }
    return dump(json{{"error", std::move(body)}});
}

awaitable<void> refuse(drivers::http_exchange& exchange, refusal_answer why)
{
    drivers::header_list headers{{"Content-Type", "application/json"}};
    if (why.retry_after_)
    {
        const std::int64_t seconds =
            (why.retry_after_->ms_ + ms_per_second - 1) / ms_per_second;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    std::string body = to_json_text(why);
    co_await exchange.send(why.status_, std::move(headers), std::move(body));
}

core::result<completion_request> parse_completion(
    std::string_view body, bool chat)
{
    const json document = json::parse(body, nullptr, false);
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
    const auto most = max_tokens_of(document);
    if (!core::is_ok(most))
    {
        return core::failure(most);
    }
    out.max_tokens_ = core::value(most);
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

std::string completion_writer::piece(
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

awaitable<bool> completion_writer::tokens(std::string text, std::int64_t count)
{
    sent_ += count;
    if (!request_.stream_)
    {
        whole_ += text;
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
    const std::string next = piece(text, "");
    const bool taken = co_await exchange_.write(next);
    co_return taken;
}

std::string completion_writer::whole_answer(const std::string& reason) const
{
    json choice{{"index", 0}, {"finish_reason", reason}};
    if (request_.chat_)
    {
        choice["message"] = {{"role", "assistant"}, {"content", whole_}};
    }
    else
    {
        choice["text"] = whole_;
    }
    const json document{
        {"id", id_},
        {"object", request_.chat_ ? "chat.completion" : "text_completion"},
        {"model", request_.model_},
        {"choices", json::array({std::move(choice)})},
        {"usage",
         {{"prompt_tokens", request_.prompt_tokens_},
          {"completion_tokens", sent_}}}};
    return dump(document);
}

awaitable<void> completion_writer::finish(std::string reason)
{
    if (request_.stream_)
    {
        co_await tokens("", 0);
        const std::string last = piece("", reason) + "data: [DONE]\n\n";
        co_await exchange_.write(last);
        co_await exchange_.finish();
        co_return;
    }
    drivers::header_list headers{
        {"Content-Type", "application/json"}, {"X-Request-Id", id_}};
    std::string body = whole_answer(reason);
    co_await exchange_.send(status_ok, std::move(headers), std::move(body));
}

awaitable<void> completion_writer::fail(refusal_answer why)
{
    if (!exchange_.opened())
    {
        co_await refuse(exchange_, std::move(why));
        co_return;
    }
    why.not_run_ = false;
    const std::string event =
        "event: error\ndata: " + to_json_text(why) + "\n\n";
    co_await exchange_.write(event);
    exchange_.abort_response();
}

} // namespace poplarroute::node
