#pragma once

#include <optional>
#include <string>

#include "node/ingress_call.hpp"

namespace poplarroute::node
{

/// Keeps a stream to the software version that began it: within one answer,
/// and when its caller takes it up.
class stream_origin_guard
{
public:
    stream_origin_guard(
        ingress_context& ingress,
        const ingress_call& call,
        ingress_result& result);

    /// \return whether the caller has events of the stream, so that only the
    /// version that began it may go on.
    bool has_begun() const
    {
        return has_begun_;
    }

    /// \return the version that began it; nothing: it has not begun, or the
    /// version is unknown.
    const std::optional<std::string>& version() const
    {
        return version_;
    }

    /// \return whether an engine may go on with the stream, or begin it.
    bool allows(const listed_endpoint& engine) const
    {
        return !has_begun_ || engine.version_ == version_;
    }

    /// \return whether any engine may go on with the stream, or begin it.
    bool allows_any() const
    {
        return !has_begun_ || version_;
    }

    /// Finds out which version began a stream that the caller takes up.
    /// \return false when it cannot be known; then no engine may go on.
    awaitable<bool> find();

    /// \return the condition that the process behind a connection is the listed
    /// one: software of another version may run since. Nothing if the list does
    /// not tell processes apart.
    std::optional<drivers::peer_check> make_peer_check(
        const listed_endpoint& engine) const;

    /// Notes which process has opened the stream.
    void note_process(
        const listed_endpoint& engine, const drivers::http_stream& stream);

    /// Records the first event of an engine, before it goes to the caller:
    /// which version began the stream, or that it goes on.
    void record_first_event();

    /// Counts a stream that went on at an engine, or could not.
    void count(const char* result) const;

private:
    /// \return the attempt that brought the first event of the stream.
    const std::string& attempt() const;

    ingress_context& ingress_;
    const ingress_call& call_;
    ingress_result& result_;
    bool has_begun_;
    std::optional<std::string> version_; ///< That began the stream.

    /// The process that answers now, and its version if that is certain.
    endpoint_process process_;
    std::optional<std::string> process_version_;
};

} // namespace poplarroute::node
