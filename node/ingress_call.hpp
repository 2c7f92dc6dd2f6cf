#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "node/context.hpp"
#include "node/fleet_sections.hpp"
#include "node/wire_codec.hpp"
#include "policy/quarantine.hpp"
#include "policy/resend_allowance.hpp"

namespace poplarroute::node
{

/// A caller's request on its way through this host.
struct edge_call
{
    edge_request request_;
    core::time_point arrived_;
    core::time_point due_; ///< The caller's deadline or the route's limit.
    std::shared_ptr<const control::catalog_view> catalog_;
    control::catalog_route route_;
    core::service_id service_;
    core::account_id account_; ///< Empty: the route is open.
    int priority_ = 0;
    std::int64_t price_ = 0; ///< What it counts for its account.
    bool paid_ = false;      ///< The price has been charged.
    std::string digest_;     ///< Equal for the same request sent again.
};

/// How a call ended, for its log line and the metrics.
struct edge_end
{
    int status_ = 0; ///< 0: the connection was ended without an answer.
    std::string outcome_ = "caller_left";
    std::string detail_;
    core::endpoint_id endpoint_;
    core::endpoint_id reader_;
    int sends_ = 0; ///< Times it was given to an endpoint.
    std::int64_t waited_ms_ = -1;
    std::int64_t read_ms_ = -1;
    std::int64_t first_event_ms_ = -1;
    std::int64_t events_ = 0;
    bool opened_ = false; ///< A stream's answer has begun.
};

/// What the parts of the edge share.
struct edge_tools
{
    context& with_;
    const wire_dialect& dialect_;
    std::map<core::service_id, policy::resend_allowance> resends_;
    std::map<core::service_id, policy::plain_balancer> balancers_;

    /// \return whether a request may be sent once more.
    bool may_resend(const core::service_id& service)
    {
        return resends_[service].take(1, core::steady_now());
    }

    /// Checks whether an endpoint that broke a connection has crashed, and if
    /// so reports to the group that it crashed while it ran a request.
    /// \param weight how strongly the crash implicates the request.
    void suspect(
        const edge_call& call,
        const core::endpoint_id& endpoint,
        policy::evidence weight);

    /// \return an endpoint of the list, or nothing when it is gone.
    const known_endpoint* find(const core::endpoint_id& name) const
    {
        const auto& all = with_.board_.section<endpoint_section>().endpoints_;
        const auto found = all.find(name);
        return found == all.end() ? nullptr : &found->second;
    }
};

inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_too_many = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_timeout = 504;

/// \return the time left until a call is due, at least 0.
inline core::duration time_left(const edge_call& call)
{
    const core::duration left = call.due_ - core::steady_now();
    return left.ms_ > 0 ? left : core::duration{0};
}

/// \return how a call goes to an endpoint with the time that it has left.
inline send_plan plan_to(const known_endpoint& to, const edge_call& call)
{
    send_plan out;
    out.address_ = to.listed_.address_;
    out.endpoint_ = to.listed_.name_;
    out.account_ = call.account_;
    out.deadline_ = time_left(call);
    return out;
}

/// Sends an answer of this host's own.
/// \param retry_after when the caller should come back, for refusals.
awaitable<void> answer_own(
    drivers::http_exchange& exchange,
    const wire_dialect& dialect,
    const edge_request& request,
    int status,
    std::optional<core::duration> retry_after);

} // namespace poplarroute::node
