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

/// What a prefill is asked for.
struct prefill_order
{
    core::attempt_id attempt_;
    std::string prompt_;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    std::uint64_t prefix_ = 0;
    bool interactive_ = true;
};

struct prefill_done
{
    core::duration computed_;          ///< Without queueing.
    std::int64_t computed_tokens_ = 0; ///< Not found in the prefix cache.
};

/// What a decode is asked for.
struct decode_order
{
    core::attempt_id attempt_;
    std::string from_; ///< Address of the engine that holds the prefill.
    std::int64_t offset_ = 0;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t output_tokens_ = 0;
    bool interactive_ = true;
};

/// A piece of an answer.
struct token_frame
{
    std::int64_t offset_ = 0; ///< Of its first token in the whole answer.
    std::int64_t tokens_ = 1;
    std::string text_;
};

/// The proper end of an answer.
struct end_frame
{
    std::int64_t tokens_ = 0; ///< Of the whole answer.
    std::string reason_;
};

using decode_frame = std::variant<token_frame, end_frame>;

/// How an engine said no.
enum class engine_refusal
{
    none,
    no_memory,    ///< Nothing ran; another engine may have room.
    prefill_gone, ///< The prefill's result has been evicted.
    other,
};

/// An engine's answer stream. Frames of another attempt never get out of it.
class decode_stream
{
public:
    decode_stream(
        std::unique_ptr<drivers::http_stream> lines,
        core::attempt_id attempt,
        std::int64_t offset);

    /// Reads the next frame in order.
    /// \param timeout how long it may take.
    /// \return the frame, or an error of kind broken or timeout.
    awaitable<core::result<decode_frame>> next(core::duration timeout);

    /// \return frames that belonged to another attempt or came twice.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::optional<decode_frame> read(const std::string& line);

    std::unique_ptr<drivers::http_stream> lines_;
    core::attempt_id attempt_;
    std::int64_t next_offset_;
    std::uint64_t dropped_ = 0;
};

/// The engines' protocol. Thin: it knows no policy.
class engine_adapter
{
public:
    explicit engine_adapter(drivers::http_client& http);

    /// \param refusal receives why the engine itself said no, if it did.
    awaitable<core::result<prefill_done>> prefill(
        std::string address, prefill_order order, engine_refusal& refusal);

    awaitable<core::result<std::unique_ptr<decode_stream>>> decode(
        std::string address, decode_order order, engine_refusal& refusal);

    /// Frees what the engine holds of an attempt. Idempotent.
    /// \return whether it is certain that the engine holds nothing of it.
    awaitable<bool> cancel(std::string address, core::attempt_id attempt);

    awaitable<core::result<policy::endpoint_report>> report(
        std::string address, core::endpoint_id name);

    /// Gives an endpoint an order, such as to load a model or change its role.
    /// \param fence an endpoint that checks it refuses a lower one.
    /// \return done, or a conflict when a later order came first.
    awaitable<core::result<core::done>> order(
        std::string address,
        std::uint64_t fence,
        std::string name,
        std::string value);

    /// One change of an engine's prefix cache.
    struct cache_event
    {
        bool added_ = true;
        std::uint64_t prefix_ = 0;
    };

    struct cache_events
    {
        std::uint64_t next_ = 0;
        bool gap_ = false; ///< Events before these were missed.
        std::vector<cache_event> events_;
    };

    awaitable<core::result<cache_events>> events(
        std::string address, std::uint64_t after);

private:
    drivers::http_client& http_;
};

} // namespace poplarroute::node
