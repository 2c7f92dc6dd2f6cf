#pragma once

#include <optional>
#include <string>
#include <vector>

#include "node/context.hpp"
#include "node/origin_messages.hpp"

namespace poplarroute::node
{

/// A process of an endpoint.
struct endpoint_process
{
    core::endpoint_id endpoint_;
    std::int64_t started_at_ms_ = 0; ///< Unix time of its start.
};

/// The version at which a stream that a caller takes up has to go on.
struct found_origin
{
    std::string version_;
    const char* known_by_ = ""; ///< Where it was found, for the log.
};

/// Keeps at an entry host which software version began its streams, reports
/// that to the leader, and finds out the origin of streams that callers take
/// up.
class origin_client
{
public:
    explicit origin_client(context& with);

    void start();

    /// Records the version that began a stream.
    /// \param expires_at when its caller has given up.
    void record(
        const std::string& attempt,
        const core::service_id& service,
        const std::string& version,
        core::time_point expires_at);

    /// Records the process that began a stream, whose version the list in force
    /// does not show yet.
    void record_unlisted(
        const std::string& attempt,
        const core::service_id& service,
        endpoint_process process,
        core::time_point expires_at);

    /// \return the version that began a stream of this host; nothing: unknown.
    std::optional<std::string> own(const std::string& attempt) const;

    /// Finds out the version that began a stream which a caller takes up. It
    /// asks the leader, or the other members while there is none.
    /// \param longest longest time since the stream began.
    /// \param timeout for all questions together.
    /// \return nothing when it cannot be known.
    awaitable<std::optional<found_origin>> find(
        std::string attempt,
        core::service_id service,
        core::duration longest,
        core::duration timeout);

private:
    struct unlisted_origin
    {
        std::string attempt_;
        core::service_id service_;
        endpoint_process process_;
        core::time_point expires_at_;
    };

    awaitable<void> run();
    void resolve_unlisted();
    bool has_news() const;
    awaitable<void> send_news();
    context& with_;
    policy::stream_origins origins_;
    policy::version_history versions_;
    std::vector<unlisted_origin> unlisted_;
    std::uint64_t newest_ = 0; ///< Number of records so far.

    /// What has been reported, and to which leader.
    core::host_id reported_to_;
    std::uint64_t position_ = 0;
    std::uint64_t reported_ = 0; ///< Value of newest_ that is reported.
    bool is_sending_ = false;
};

} // namespace poplarroute::node
