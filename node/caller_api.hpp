#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "core/result.hpp"
#include "drivers/http_server.hpp"

namespace poplarroute::node
{

/// Why a caller gets no answer, in a form that programs can act on.
struct refusal_answer
{
    int status_ = 503;
    std::string code_; ///< Stable.
    std::string message_;
    bool not_run_ = false; ///< True only when certain.
    std::optional<core::duration> retry_after_;
};

/// \return the refusal as the JSON that callers get.
std::string to_json_text(const refusal_answer& why);

/// Answers a caller with a refusal.
drivers::asio::awaitable<void> refuse(
    drivers::http_exchange& exchange, refusal_answer why);

/// A completion request in the shape that model clients use.
struct completion_request
{
    bool chat_ = true;
    bool stream_ = false;
    std::string model_;
    std::string prompt_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t max_tokens_ = 0;
    std::uint64_t prefix_ = 0; ///< Hash of the beginning of a long prompt.
    std::string digest_;       ///< Of the whole request.
};

/// Reads the body of /v1/chat/completions or /v1/completions.
/// \param chat which of the two.
/// \return the request, or a sentence on what is wrong with it.
core::result<completion_request> parse_completion(
    std::string_view body, bool chat);

/// Writes a completion's answer, streamed or whole.
class completion_writer
{
public:
    completion_writer(
        drivers::http_exchange& exchange,
        const completion_request& request,
        std::string id);

    /// Passes tokens on.
    /// \return whether the caller still takes them.
    drivers::asio::awaitable<bool> tokens(std::string text, std::int64_t count);

    /// Ends the answer as complete.
    drivers::asio::awaitable<void> finish(std::string reason);

    /// Ends the answer as an explicit error, never as a short success.
    drivers::asio::awaitable<void> fail(refusal_answer why);

    std::int64_t sent() const
    {
        return sent_;
    }

private:
    std::string piece(std::string_view text, std::string_view reason) const;
    std::string whole_answer(const std::string& reason) const;

    drivers::http_exchange& exchange_;
    const completion_request& request_;
    std::string id_;
    std::string whole_;
    std::int64_t sent_ = 0;
};

} // namespace poplarroute::node
