#pragma once

#include <optional>

#include "node/context.hpp"
#include "policy/endpoint_limits.hpp"

namespace poplarroute::node
{

/// Whether a request may be sent to an endpoint.
struct send_permit
{
    bool granted_ = false;
    std::optional<core::time_point> until_; ///< Nothing: for any time.
};

/// Takes requests to limited endpoints from what all hosts share: from the
/// leader, or without one from this host's own share.
class limit_client
{
public:
    explicit limit_client(context& with);

    /// Takes one request to an endpoint.
    awaitable<send_permit> take(core::endpoint_id to);

    /// Records what an answer says, and reports to the leader when an endpoint
    /// begins or ends to be limited.
    void record(
        const core::endpoint_id& from,
        const policy::limit_statement& statement);

private:
    send_permit take_own_share(const core::endpoint_id& to);

    context& with_;
    core::time_point ask_failed_at_; ///< 0: the leader has answered since.
};

} // namespace poplarroute::node
