#pragma once

#include <memory>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/limit_client.hpp"
#include "node/wire_codec.hpp"

namespace poplarroute::node
{

/// Sends calls to endpoints, and keeps what their answers say about further
/// calls in endpoint_section::notices_.
///
/// Every call of this process to an endpoint goes through it. A call that the
/// endpoint does not want now is not sent and fails with errc::withheld.
class endpoint_client
{
public:
    endpoint_client(context& with, const wire_codec& codec);

    /// Sends a call and reads the whole response.
    awaitable<core::result<drivers::http_response>> request(
        core::endpoint_id to,
        policy::call_purpose purpose,
        drivers::http_call call);

    /// Sends a call and reads the header of the response.
    awaitable<core::result<std::unique_ptr<drivers::http_stream>>> open(
        core::endpoint_id to,
        policy::call_purpose purpose,
        drivers::http_call call);

private:
    std::optional<core::error> find_objection(
        const core::endpoint_id& to, policy::call_purpose purpose);
    awaitable<std::optional<core::error>> prepare(
        core::endpoint_id to,
        policy::call_purpose purpose,
        drivers::http_call& call);
    void record_answer(
        const core::endpoint_id& from,
        policy::call_purpose purpose,
        core::time_point sent_at,
        int status,
        const drivers::header_list& headers);
    void record_reach(const core::endpoint_id& to, const core::error* failure);
    void record_notice(
        const core::endpoint_id& from, const policy::endpoint_notice& notice);

    context& with_;
    const wire_codec& codec_;
    limit_client limits_;
};

} // namespace poplarroute::node
