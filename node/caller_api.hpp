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

/// Error response to a caller whose request was refused or failed.
struct refusal_response
{
    int status_ = 503;
    std::string code_; ///< Stable, for programs.
    std::string message_;
    bool not_run_ = false; ///< True only if the request certainly did not run.
    std::optional<core::duration> retry_after_;
};

/// \return the refusal as JSON text.
std::string to_json_text(const refusal_response& refusal);

/// Sends a refusal to a caller.
drivers::asio::awaitable<void> refuse(
    drivers::http_exchange& exchange, refusal_response refusal);

/// A decoded chat or text completion request.
struct completion_request
{
    bool chat_ = true;
    bool stream_ = false;
    std::string model_;
    std::string prompt_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t max_tokens_ = 0;
    std::uint64_t prefix_ = 0; ///< Hash of the beginning of a long prompt.
    std::string digest_;       ///< Digest of model and prompt.
};

/// Parses the body of /v1/chat/completions or /v1/completions.
/// \param chat whether it is a chat completion.
/// \return the request, or an error whose message describes what is wrong.
core::result<completion_request> parse_completion(
    std::string_view body, bool chat);

/// Writes the response to a completion request, as a stream or at once.
class completion_writer
{
public:
    completion_writer(
        drivers::http_exchange& exchange,
        const completion_request& request,
        std::string id);

    /// Writes tokens to the stream, or collects them for the whole response.
    /// \return whether the caller still accepts them.
    drivers::asio::awaitable<bool> write_tokens(
        std::string text, std::int64_t count);

    /// Ends the response as complete.
    drivers::asio::awaitable<void> finish(std::string reason);

    /// Ends the response with an explicit error, so that the caller does not
    /// take a part of the answer for the whole.
    drivers::asio::awaitable<void> fail(refusal_response refusal);

    std::int64_t tokens_sent() const
    {
        return tokens_sent_;
    }

private:
    std::string chunk(std::string_view text, std::string_view reason) const;
    std::string full_answer(const std::string& reason) const;

    drivers::http_exchange& exchange_;
    const completion_request& request_;
    std::string id_;
    std::string answer_text_;
    std::int64_t tokens_sent_ = 0;
};

} // namespace poplarroute::node
