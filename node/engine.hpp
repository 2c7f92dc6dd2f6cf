#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.hpp"
#include "core/result.hpp"
#include "drivers/http_client.hpp"
#include "policy/pool_types.hpp"

namespace poplarroute::node
{

using drivers::asio::awaitable;

/// Parameters of a prefill at an engine.
struct prefill_task
{
    core::attempt_id attempt_;
    std::string prompt_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    std::uint64_t prefix_ = 0;
    bool interactive_ = true;
};

/// What an engine reports of a finished prefill.
struct prefill_result
{
    core::duration computed_; ///< Computing time without queueing.
    /// Prompt tokens that were not found in the prefix cache.
    std::int64_t computed_tokens_ = 0;
};

/// Parameters of a decode at an engine.
struct decode_task
{
    core::attempt_id attempt_;
    std::string from_; ///< Address of the engine that holds the KV cache.
    std::int64_t offset_ = 0; ///< Position in the answer at which to start.
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    bool interactive_ = true;
};

/// Consecutive tokens of an answer.
struct token_frame
{
    std::int64_t offset_ = 0; ///< Position of the first token in the answer.
    std::int64_t tokens_ = 1;
    std::string text_;
};

/// Marks the end of a complete answer.
struct end_frame
{
    std::int64_t tokens_ = 0; ///< Number of tokens in the whole answer.
    std::string reason_;      ///< Finish reason.
};

using decode_frame = std::variant<token_frame, end_frame>;

/// Why an engine refused a task.
enum class engine_refusal
{
    none,
    no_memory,       ///< Nothing ran; another engine may have free memory.
    prefill_evicted, ///< The prefill's KV cache has been evicted.
    other,
};

/// Reads an engine's answer stream and drops the frames of other attempts.
class decode_stream
{
public:
    decode_stream(
        std::unique_ptr<drivers::http_stream> lines,
        core::attempt_id attempt,
        std::int64_t offset);

    /// Reads the next frame in order.
    /// \param timeout maximum time to wait for the frame.
    /// \return the frame, or an error of kind broken or timeout.
    awaitable<core::result<decode_frame>> next(core::duration timeout);

    /// \return the number of dropped frames: those of another attempt and
    /// repeated ones.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::optional<decode_frame> parse_line(const std::string& line);

    std::unique_ptr<drivers::http_stream> lines_;
    core::attempt_id attempt_;
    std::int64_t next_offset_;
    std::uint64_t dropped_ = 0;
};

/// HTTP client of the engines' protocol. It contains no policy.
class engine_client
{
public:
    explicit engine_client(drivers::http_client& http);

    /// Prefills a prompt.
    /// \param refusal set to the engine's reason if the engine refused.
    awaitable<core::result<prefill_result>> prefill(
        std::string address, prefill_task task, engine_refusal& refusal);

    /// Starts a decode.
    /// \param refusal set to the engine's reason if the engine refused.
    awaitable<core::result<std::unique_ptr<decode_stream>>> decode(
        std::string address, decode_task task, engine_refusal& refusal);

    /// Cancels an attempt and frees its memory at the engine. Idempotent.
    /// \return whether the engine confirmed that it holds no memory of it.
    awaitable<bool> cancel(std::string address, core::attempt_id attempt);

    /// Reads an endpoint's report of its memory and running requests.
    /// \param probes whether to open a connection for it, which shows that the
    /// process lives and that the report is no late copy of an earlier one.
    awaitable<core::result<policy::endpoint_report>> report(
        std::string address, core::endpoint_id name, bool probes = false);

    /// Sends an endpoint an order, such as to load a model or change its role.
    /// \param fence fencing token; an endpoint that checks it refuses an
    /// order with a lower one.
    /// \return done, or a conflict when a later order arrived first.
    awaitable<core::result<core::done>> order(
        std::string address,
        std::uint64_t fence,
        std::string name,
        std::string value,
        core::time_point send_before);

    /// One change of an engine's prefix cache.
    struct cache_event
    {
        bool added_ = true;
        std::uint64_t prefix_ = 0;
    };

    /// Changes of an engine's prefix cache since an event number.
    struct cache_events
    {
        std::uint64_t next_ = 0; ///< Event number to continue from.
        bool gap_ = false;       ///< Earlier events were missed.
        std::vector<cache_event> events_;
    };

    /// Reads the prefix cache events after an event number.
    awaitable<core::result<cache_events>> events(
        std::string address, std::uint64_t after);

private:
    drivers::http_client& http_;
};

} // namespace poplarroute::node
