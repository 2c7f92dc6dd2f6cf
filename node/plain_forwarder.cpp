#include "node/plain_forwarder.hpp"

#include <algorithm>
#include <utility>

namespace poplarroute::node
{

using policy::send_result;

namespace
{

/// An endpoint that does not accept a connection within this time is treated as
/// unreachable; a round trip between zones takes some milliseconds.
constexpr core::duration max_connect_timeout{150};

/// Retry-After of a refusal when there is no endpoint, or none with capacity.
constexpr core::duration no_endpoint_retry_after{150};

constexpr int min_error_status = 500;

} // namespace

plain_forwarder::plain_forwarder(
    ingress_context& ingress, ingress_call& call, ingress_result& result)
    : ingress_(ingress),
      call_(call),
      result_(result),
      balancer_(ingress.balancers_
                    .try_emplace(
                        call.service_,
                        static_cast<std::uint64_t>(core::steady_now().ms_))
                    .first->second),
      retry_state_(
          {call.route_.kind_ == control::call_kind::idempotent,
           static_cast<int>(call.route_.most_endpoints_)})
{
}

plain_forwarder::~plain_forwarder()
{
    // An attempt is still in progress only when the caller has disconnected.
    finish_attempt(policy::call_outcome::shed);
}

void plain_forwarder::finish_attempt(policy::call_outcome outcome)
{
    if (!endpoint_.empty())
    {
        balancer_.end(
            endpoint_, outcome, attempt_started_at_, core::steady_now());
        endpoint_.clear();
    }
    if (!counted_send_)
    {
        return;
    }
    switch (outcome)
    {
    case policy::call_outcome::answered:
        counted_send_->record_good(core::steady_now() - attempt_started_at_);
        break;
    case policy::call_outcome::errored:
    case policy::call_outcome::broken:
        counted_send_->record_bad();
        break;
    case policy::call_outcome::shed:
    case policy::call_outcome::unreachable:
        break;
    }
    counted_send_.reset();
}

bool plain_forwarder::choose_endpoint()
{
    const core::time_point now = core::steady_now();
    const context& with = ingress_.with_;
    const std::vector<policy::plain_endpoint> endpoints = plain_endpoints_of(
        with.board_.section<catalog_section>(),
        with.board_.section<endpoint_section>(),
        call_.service_,
        with.board_.section<group_section>().hosts_,
        now);
    balancer_.set_endpoints(endpoints);
    const std::vector<control::rollout_role> roles =
        ingress_.rollouts_.choose_roles(call_.service_, target_failed_);
    return std::any_of(
        roles.begin(),
        roles.end(),
        [this](control::rollout_role role)
        {
            return choose_endpoint_of(role);
        });
}

/// Chooses an endpoint of a role, and takes the permission to send the call
/// there.
bool plain_forwarder::choose_endpoint_of(control::rollout_role role)
{
    const core::time_point now = core::steady_now();
    std::set<core::endpoint_id> avoid =
        ingress_.rollouts_.excluded_endpoints(call_.service_, role);
    avoid.insert(avoid_.begin(), avoid_.end());
    avoid.merge(ingress_.unreached_endpoints(call_.service_));
    const core::duration objective_left =
        call_.arrived_at_ + call_.route_.target_latency_ - now;
    const policy::call_time_left left{
        std::max(objective_left, core::duration{0}), time_left(call_)};
    const auto chosen = balancer_.begin(
        ingress_.with_.board_.section<settings_section>().settings_.zone_,
        avoid,
        now,
        left);
    if (!chosen)
    {
        return false;
    }
    endpoint_ = *chosen;
    result_.endpoint_ = endpoint_;
    attempt_started_at_ = now;
    const known_endpoint* endpoint = ingress_.find_endpoint(endpoint_);
    const auto permission = endpoint != nullptr
                                ? ingress_.rollouts_.permit(*endpoint)
                                : std::nullopt;
    if (!permission)
    {
        finish_attempt(policy::call_outcome::shed);
        return false;
    }
    permission_ = *permission;
    target_failed_ = target_failed_ || role == control::rollout_role::target;
    return true;
}

awaitable<send_result> plain_forwarder::send()
{
    const known_endpoint* endpoint = ingress_.find_endpoint(endpoint_);
    if (endpoint == nullptr)
    {
        finish_attempt(policy::call_outcome::unreachable);
        co_return send_result::nothing_sent;
    }
    const send_plan plan = make_send_plan(*endpoint, call_);
    drivers::http_call out = ingress_.codec_.encode_call(call_.request_, plan);
    out.timeout_ = retry_state_.patience(plan.deadline_);
    out.connect_timeout_ = std::min(max_connect_timeout, out.timeout_);
    out.send_before_ = permission_.until_;
    ++result_.sends_;
    counted_send_.emplace(ingress_.rollouts_, *endpoint, call_.route_.name_);
    const core::endpoint_id to = endpoint_;
    core::result<drivers::http_response> reply =
        co_await ingress_.endpoints_.request(
            to, policy::call_purpose::request, std::move(out));
    co_return classify_reply(std::move(reply));
}

send_result plain_forwarder::classify_reply(
    core::result<drivers::http_response> reply)
{
    using policy::call_outcome;
    if (!core::is_ok(reply))
    {
        const core::error& error = core::failure(reply);
        result_.detail_ = error.message_;
        const bool is_withheld = error.code_ == core::errc::withheld;
        if (is_withheld || error.code_ == core::errc::unreachable)
        {
            result_.unreached_ = result_.unreached_ || !is_withheld;
            --result_.sends_;
            counted_send_->record_not_sent();
            finish_attempt(
                is_withheld ? call_outcome::shed : call_outcome::unreachable);
            return is_withheld ? send_result::withheld
                               : send_result::nothing_sent;
        }
        if (error.code_ == core::errc::broken)
        {
            ingress_.check_for_crash(
                call_,
                endpoint_,
                policy::evidence::just_started,
                true,
                attempt_started_at_);
        }
        finish_attempt(
            error.code_ == core::errc::timeout ? call_outcome::timed_out
                                               : call_outcome::broken);
        return send_result::may_have_run;
    }
    const drivers::http_response& response = core::value(reply);
    const response_metadata metadata = ingress_.codec_.facts_of(
        call_.request_, response.status_, response.headers_);
    if (metadata.running_)
    {
        balancer_.record_load(
            endpoint_,
            *metadata.running_,
            metadata.waiting_,
            metadata.pace_percent_,
            core::steady_now());
    }
    if (metadata.misdirected_ || metadata.not_run_)
    {
        result_.detail_ =
            metadata.misdirected_ ? "misdirected" : "rejected by the endpoint";
        result_.note_refusal(endpoint_, response.status_, response.connection_);
        finish_attempt(
            metadata.misdirected_ ? call_outcome::unreachable
                                  : call_outcome::shed);
        return send_result::not_run;
    }
    if (!metadata.signed_ || !metadata.echoes_attempt_)
    {
        result_.detail_ = "the response does not match the request";
        finish_attempt(call_outcome::broken);
        return send_result::may_have_run;
    }
    if (promises_not_run(response.status_))
    {
        result_.detail_ = "the endpoint answered " +
                          std::to_string(response.status_) +
                          " to a request that it may have run";
        finish_attempt(call_outcome::errored);
        return send_result::may_have_run;
    }
    ingress_.report_answered(call_);
    const bool is_error = response.status_ >= min_error_status;
    finish_attempt(is_error ? call_outcome::errored : call_outcome::answered);
    reply_ = std::move(core::value(reply));
    return send_result::answered;
}

bool plain_forwarder::can_retry()
{
    if (!retry_state_.may_retry(time_left(call_)))
    {
        return false;
    }
    return !retry_state_.needs_retry_allowance() ||
           ingress_.take_retry_allowance(call_.service_);
}

awaitable<void> plain_forwarder::run(drivers::http_exchange& exchange)
{
    send_result last = send_result::nothing_sent;
    bool retrying = true;
    while (retrying)
    {
        const bool chosen = choose_endpoint();
        if (!chosen)
        {
            break;
        }
        const core::endpoint_id tried = endpoint_;
        last = co_await send();
        retry_state_.note(last);
        avoid_.insert(tried);
        retrying = can_retry();
    }
    if (last != send_result::answered)
    {
        const bool may_hand_on =
            result_.unreached_ && retry_state_.ending(time_left(call_)) ==
                                      policy::call_failure::not_run;
        if (may_hand_on &&
            co_await ingress_.relay_.hand_on(exchange, call_, result_))
        {
            co_return;
        }
        co_await answer_failure(exchange);
        co_return;
    }
    result_.status_ = reply_.status_;
    result_.outcome_ = "answered";
    drivers::header_list headers =
        ingress_.codec_.caller_response_headers(reply_.headers_);
    co_await exchange.send(
        reply_.status_, std::move(headers), std::move(reply_.body_));
}

awaitable<void> plain_forwarder::answer_failure(
    drivers::http_exchange& exchange)
{
    std::optional<core::duration> retry_after;
    switch (retry_state_.ending(time_left(call_)))
    {
    case policy::call_failure::not_run:
        result_.status_ = status_unavailable;
        result_.outcome_ = "refused_no_endpoint";
        retry_after = std::max(
            no_endpoint_retry_after,
            ingress_.time_until_return(call_.service_));
        break;
    case policy::call_failure::lost:
        result_.status_ = status_bad_gateway;
        result_.outcome_ = "endpoint_lost";
        break;
    case policy::call_failure::timed_out:
        result_.status_ = status_timeout;
        result_.outcome_ = "timed_out";
        break;
    }
    co_await send_local_response(
        exchange,
        ingress_.codec_,
        call_.request_,
        result_.status_,
        retry_after);
}

} // namespace poplarroute::node
