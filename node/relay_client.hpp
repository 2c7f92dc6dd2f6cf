#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node/context.hpp"
#include "node/relay_messages.hpp"
#include "node/wire_codec.hpp"

namespace poplarroute::node
{

struct ingress_call;
struct ingress_result;

/// Hands requests of this host's callers to hosts that reach the endpoints,
/// while this one does not. A request is handed on once: the other host does
/// not do so again.
class relay_client
{
public:
    relay_client(context& with, const wire_codec& codec);

    /// \return whether a request has to be handed on without a try of this
    /// host.
    bool has_lost(const core::service_id& service);

    /// Hands a request on and passes the answer to the caller. An answer that
    /// has begun goes on after the events that the caller has.
    /// \param resume_after id of the last of them, if the answer has begun.
    /// \return false when no host took it; then it has not run.
    awaitable<bool> hand_on(
        drivers::http_exchange& exchange,
        ingress_call& call,
        ingress_result& result,
        std::optional<std::int64_t> resume_after = std::nullopt);

private:
    /// Hosts that the leader named for a service.
    struct known_hosts
    {
        std::vector<std::string> addresses_;
        core::time_point heard_at_;
        core::time_point asked_at_; ///< Others do not ask meanwhile.
    };

    /// How one attempt to hand a request on ended.
    enum class attempt_result
    {
        answered, ///< The caller has its answer, or its connection is closed.
        declined, ///< Not run there; another host may take it.
        lost,     ///< It may have run.
    };

    awaitable<std::vector<std::string>> find_hosts(core::service_id service);
    awaitable<attempt_result> send(
        std::string address,
        drivers::http_exchange& exchange,
        ingress_call& call,
        ingress_result& result,
        std::optional<std::int64_t> resume_after);
    awaitable<void> pass_answer(
        drivers::http_stream& answer,
        drivers::http_exchange& exchange,
        ingress_call& call,
        ingress_result& result);
    drivers::http_call make_call(
        const std::string& address,
        const drivers::http_exchange& exchange,
        const ingress_call& call,
        std::optional<std::int64_t> resume_after) const;

    context& with_;
    const wire_codec& codec_;
    std::map<core::service_id, known_hosts> hosts_;
    std::map<std::string, std::size_t> in_flight_; ///< Requests, by address.
};

} // namespace poplarroute::node
