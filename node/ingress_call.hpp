#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "node/context.hpp"
#include "node/endpoint_client.hpp"
#include "node/fleet_sections.hpp"
#include "node/origin_client.hpp"
#include "node/reach_monitor.hpp"
#include "node/relay_client.hpp"
#include "node/rollout_client.hpp"
#include "node/wire_codec.hpp"
#include "policy/prompt_part_quarantine.hpp"
#include "policy/quarantine.hpp"
#include "policy/retry_allowance.hpp"
#include "policy/stream_times.hpp"

namespace poplarroute::node
{

/// State of a caller's request while this host handles it.
struct ingress_call
{
    ingress_request request_;
    core::time_point arrived_at_;
    /// The caller's deadline or the end of the route's time limit, whichever is
    /// earlier.
    core::time_point deadline_;
    std::shared_ptr<const control::catalog_view> catalog_;
    control::catalog_route route_;
    core::service_id service_;
    core::account_id account_; ///< Empty: no account is charged.
    int priority_ = 0;
    std::int64_t price_ = 0; ///< Tokens or calls that the account is charged.
    bool charged_ = false;   ///< Whether the price has been charged.
    std::string digest_;     ///< Equal for repeated requests.
    bool relayed_ = false;   ///< Another host has handed it to this one.
};

/// How a call ended, for the log and the metrics.
struct ingress_result
{
    int status_ = 0; ///< 0: the connection was closed without a response.
    std::string outcome_ = "caller_left";
    std::string detail_;
    /// The answers that state that the request was not run, in the order of
    /// their arrival: "endpoint:status@connection".
    std::string refusals_;
    core::endpoint_id endpoint_;
    core::endpoint_id reader_; ///< Prefill engine; empty: none.
    std::string version_;      ///< Of the endpoint's software, as listed.
    std::string began_; ///< Version that began the stream; empty: none has.
    /// How the version of a stream that a caller takes up was found out, or why
    /// the stream cannot go on; empty: it is not taken up.
    std::string origin_;
    std::string relayed_to_; ///< Host that it was handed to; empty: none.
    bool unreached_ = false; ///< No connection to an endpoint could be made.
    int sends_ = 0;          ///< Number of times it was sent to an endpoint.

    /// Whether another host has the request and has not yet reported whether it
    /// was sent.
    bool is_handed_on_ = false;
    std::int64_t waited_ms_ = -1;      ///< Time in the queue; -1: none.
    std::int64_t read_ms_ = -1;        ///< Prefill time; -1: none.
    std::int64_t first_event_ms_ = -1; ///< Since the arrival; -1: none.
    std::int64_t events_ = 0;
    bool opened_ = false; ///< Whether a stream's response has begun.

    /// Records an answer that states that the request was not run.
    void note_refusal(
        const core::endpoint_id& from, int status, std::uint64_t connection)
    {
        refusals_ += (refusals_.empty() ? "" : " ") + from + ":" +
                     std::to_string(status) + "@" + std::to_string(connection);
    }
};

/// State that the controller and the forwarders of an entry host share.
struct ingress_context
{
    context& with_;
    const wire_codec& codec_;
    rollout_client& rollouts_;
    std::map<core::service_id, policy::retry_allowance> retry_allowances_;
    std::map<core::service_id, policy::plain_balancer> balancers_;
    endpoint_client endpoints_;
    origin_client origins_;
    relay_client relay_;
    std::map<core::service_id, policy::stream_times> stream_times_ = {};

    /// Takes one retry from the service's allowance.
    /// \return whether there was one.
    bool take_retry_allowance(const core::service_id& service)
    {
        return retry_allowances_[service].take(1, core::steady_now());
    }

    /// Checks whether an endpoint that broke a connection has crashed, and if
    /// so reports to the group that it crashed while it ran a request.
    /// \param weight how strongly the crash implicates the request.
    /// \param has_just_begun whether the endpoint had only begun to answer,
    /// which implicates the parts of the prompt.
    /// \param sent_at when the request was sent to the endpoint.
    void check_for_crash(
        const ingress_call& call,
        const core::endpoint_id& endpoint,
        policy::evidence weight,
        bool has_just_begun,
        core::time_point sent_at);

    /// Reports a request that is wholly answered to the group, while the leader
    /// suspects any: it cannot be one that crashes endpoints.
    void report_answered(const ingress_call& call);

    /// \return whether the request or a part of its prompt is quarantined.
    bool is_quarantined(const ingress_call& call) const;

    /// \return when the first of a service's endpoints that all turned this
    /// host away takes calls again; 0 if one takes calls now, or none ever
    /// will.
    core::duration time_until_return(const core::service_id& service) const
    {
        return node::time_until_return(
                   with_.board_.section<catalog_section>(),
                   with_.board_.section<endpoint_section>(),
                   service,
                   core::steady_now())
            .value_or(core::duration{0});
    }

    /// \return the endpoints of a service to avoid, since this host did not
    /// reach them a short while ago; none when there are no others.
    std::set<core::endpoint_id> unreached_endpoints(
        const core::service_id& service) const
    {
        const core::time_point now = core::steady_now();
        std::set<core::endpoint_id> out =
            with_.board_.section<reach_section>().services_[service].unreached(
                now);
        const std::set<core::endpoint_id> usable =
            out.empty() ? out : usable_endpoints(with_.board_, service, now);
        const bool has_others = !std::includes(
            out.begin(), out.end(), usable.begin(), usable.end());
        return has_others ? out : std::set<core::endpoint_id>();
    }

    /// \return an endpoint of the list, or null when it is no longer listed.
    const known_endpoint* find_endpoint(const core::endpoint_id& name) const
    {
        const auto& all = with_.board_.section<endpoint_section>().endpoints_;
        const auto found = all.find(name);
        return found == all.end() ? nullptr : &found->second;
    }

    /// \return an endpoint that takes requests now, or null. A placement may be
    /// older than what this host has heard of the endpoint since.
    const known_endpoint* find_usable_endpoint(
        const core::endpoint_id& name) const
    {
        const known_endpoint* found = find_endpoint(name);
        const bool usable =
            found != nullptr && is_usable(
                                    with_.board_.section<catalog_section>(),
                                    with_.board_.section<endpoint_section>(),
                                    found->listed_,
                                    core::steady_now());
        return usable ? found : nullptr;
    }
};

inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_misdirected = 421;
inline constexpr int status_too_many = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_timeout = 504;

/// \return whether a status promises callers that the request has not run. An
/// endpoint's answer with one is not passed on unless it states so itself.
inline bool promises_not_run(int status)
{
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

/// \return the time left until a call's deadline, at least 0.
inline core::duration time_left(const ingress_call& call)
{
    const core::duration left = call.deadline_ - core::steady_now();
    return left.ms_ > 0 ? left : core::duration{0};
}

/// \return the plan to send a call to an endpoint with its remaining time.
inline send_plan make_send_plan(
    const known_endpoint& to, const ingress_call& call)
{
    send_plan out;
    out.address_ = to.listed_.address_;
    out.endpoint_ = to.listed_.name_;
    out.account_ = call.account_;
    out.deadline_ = time_left(call);
    return out;
}

/// Sends a response that this host generates itself.
/// \param retry_after when the caller should retry, for refusals.
awaitable<void> send_local_response(
    drivers::http_exchange& exchange,
    const wire_codec& codec,
    const ingress_request& request,
    int status,
    std::optional<core::duration> retry_after);

} // namespace poplarroute::node
